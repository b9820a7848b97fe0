package org.cactuspulley.core.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.TargetId

/** A change of what this instance knows about a target. */
@Serializable
public sealed interface TargetTimelineEvent : TimelineEvent

/** The health of a target changed from [before] to [after], which are names of `TargetHealth` constants. */
@Serializable
@SerialName("target_health_changed")
public data class TargetHealthChanged(override val target: TargetId, val before: String, val after: String) : TargetTimelineEvent

/** A target restarted as [incarnation]; its cache contents are lost. */
@Serializable
@SerialName("target_restarted")
public data class TargetRestarted(override val target: TargetId, val incarnation: Long) : TargetTimelineEvent
