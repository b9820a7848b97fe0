package org.cactuspulley.core.timeline

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId

/**
 * An event or a decision that is recorded on the timeline of a process.
 *
 * The subtypes are in files of this package, one for each part of the core.
 */
@Serializable
public sealed interface TimelineEvent {
    /** The request that the event concerns, or null if it concerns none. */
    public val request: RequestId? get() = null

    /** The workspace that the event concerns, or null if it concerns none. */
    public val workspace: WorkspaceId? get() = null

    /** The target that the event concerns, or null if it concerns none. */
    public val target: TargetId? get() = null
}
