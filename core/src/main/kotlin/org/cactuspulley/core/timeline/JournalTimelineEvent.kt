package org.cactuspulley.core.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.WorkspaceId

/** A decision of the journal about a non-repeatable request. */
@Serializable
public sealed interface JournalTimelineEvent : TimelineEvent {
    /** The journal decided whether a request may run; [decision] is a fixed label. */
    @Serializable
    @SerialName("claim_decided")
    public data class ClaimDecided(
        override val request: RequestId,
        override val workspace: WorkspaceId?,
        val decision: String,
    ) : JournalTimelineEvent
}
