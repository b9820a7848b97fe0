package org.cactuspulley.core.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.WorkspaceId

/** A decision about requests that crash targets. */
@Serializable
public sealed interface QuarantineTimelineEvent : TimelineEvent {
    /** A fingerprint became suspect or quarantined; [bodyHash] is its hash of the body and [verdict] a fixed label. */
    @Serializable
    @SerialName("fingerprint_judged")
    public data class FingerprintJudged(
        override val workspace: WorkspaceId?,
        val bodyHash: Long,
        val verdict: String,
    ) : QuarantineTimelineEvent
}
