package org.cactuspulley.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.quarantine.CrashNotice
import org.cactuspulley.core.quarantine.Fingerprint

/**
 * The trial has ended, or its permission is not needed.
 *
 * @property crashes the crashes that the sender knows of.
 */
@Serializable
public sealed interface QuarantineMessage : PeerMessage {
    /** Targets crashed, or a suspect request was answered whole. */
    @Serializable
    @SerialName("crash_notices")
    public data class CrashNotices(val notices: List<CrashNotice>) : QuarantineMessage

    /**
     * Asks the owner of [fingerprint] for the permission to run [request], or renews it.
     *
     * @property crashes what the sender knows of earlier crashes.
     * @property running whether the trial runs already.
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
