package org.cactuspulley.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.quarantine.CrashNotice
import org.cactuspulley.core.quarantine.Fingerprint

/** A message about requests that crash targets. */
@Serializable
public sealed interface QuarantineMessage : PeerMessage {
    /** Reports crashes of targets. A notice expires after its remaining time. */
    @Serializable
    @SerialName("crash_notices")
    public data class CrashNotices(val notices: List<CrashNotice>) : QuarantineMessage

    /**
     * Asks the owner of [fingerprint] for permission to run [request] as a trial, or renews the permission.
     *
     * @property crashes the earlier crashes that the sender knows of.
     * @property running whether the trial is already running.
     */
    @Serializable
    @SerialName("trial_request")
    public data class TrialRequest(
        val request: RequestId,
        val fingerprint: Fingerprint,
        val crashes: List<CrashNotice>,
        val running: Boolean,
    ) : QuarantineMessage

    /** The owner's answer to [TrialRequest]. The owner does not answer while another trial runs; the sender then asks again. */
    @Serializable
    @SerialName("trial_answer")
    public data class TrialAnswer(val request: RequestId, val fingerprint: Fingerprint, val granted: Boolean) : QuarantineMessage

    /**
     * The trial has ended, or its permission is not needed.
     *
     * @property crashes the crashes that the sender knows of.
     */
    @Serializable
    @SerialName("trial_ended")
    public data class TrialEnded(
        val request: RequestId,
        val fingerprint: Fingerprint,
        val crashes: List<CrashNotice>,
    ) : QuarantineMessage
}
