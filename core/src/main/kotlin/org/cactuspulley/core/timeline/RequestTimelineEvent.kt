package org.cactuspulley.core.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId

/** An event of a caller's request. */
@Serializable
public sealed interface RequestTimelineEvent : TimelineEvent {
    /** An attempt was started at its target. */
    @Serializable
    @SerialName("attempt_started")
    public data class AttemptStarted(
        override val request: RequestId,
        override val workspace: WorkspaceId?,
        override val target: TargetId,
        val attempt: AttemptId,
    ) : RequestTimelineEvent

    /** An attempt ended; [outcome] is a fixed label. */
    @Serializable
    @SerialName("attempt_ended")
    public data class AttemptEnded(
        override val request: RequestId,
        override val workspace: WorkspaceId?,
        override val target: TargetId,
        val attempt: AttemptId,
        val outcome: String,
    ) : RequestTimelineEvent

    /**
     * A request was refused.
     *
     * @property kind the error type that the caller got.
     * @property notRun true only if no part of the request can have run or can still run.
     */
    @Serializable
    @SerialName("request_refused")
    public data class RequestRefused(
        override val request: RequestId,
        override val workspace: WorkspaceId?,
        val kind: String,
        val notRun: Boolean,
    ) : RequestTimelineEvent
}
