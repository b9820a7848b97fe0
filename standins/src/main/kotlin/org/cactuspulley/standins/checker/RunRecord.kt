/*
 * Everything that was seen of one run from outside the system: by callers, targets and operators.
 * Times are on the monotonic clock of the process that ran all of them.
 */
package org.cactuspulley.standins.checker

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.load.ObservedRequest
import org.cactuspulley.standins.server.ObservedCall
import org.cactuspulley.standins.trace.TraceIncident

/** The record of one run under one policy. */
public data class RunRecord(
    val plan: DeploymentPlan,
    val policy: String,
    val startNanoseconds: Long,
    val endNanoseconds: Long,
    val requests: List<ObservedRequest>,
    val calls: List<ObservedCall>,
    val changes: List<AcceptedChange> = emptyList(),
    val probes: List<ConfigurationProbe> = emptyList(),
    val incidents: List<ExecutedIncident> = emptyList(),
    val timeline: List<TimelineEntry> = emptyList(),
)

/** A change that an operator read back in the log at [atNanoseconds]. */
public sealed interface AcceptedChange {
    public val atNanoseconds: Long

    /** The plain [key] of [workspace] was withdrawn. */
    public data class KeyWithdrawal(override val atNanoseconds: Long, val workspace: WorkspaceId, val key: String) : AcceptedChange

    /** [target] was marked as leaving. */
    public data class Leaving(override val atNanoseconds: Long, val target: TargetId) : AcceptedChange

    /** A profile got another rate and burst. */
    public data class LimitChange(
        override val atNanoseconds: Long,
        val profile: ProfileName,
        val tokensPerSecond: Long,
        val burstTokens: Long,
    ) : AcceptedChange

    /** A model was added that only serves to be seen by callers who ask for the models. */
    public data class MarkerModelAddition(override val atNanoseconds: Long, val model: ModelName) : AcceptedChange
}

/** The models that one instance named to a caller; [incarnation] counts the starts of the instance. */
public data class ConfigurationProbe(
    val instance: Int,
    val incarnation: Int,
    val startNanoseconds: Long,
    val endNanoseconds: Long,
    val models: Set<ModelName>,
)

/**
 * An incident of the trace as it was carried out.
 *
 * @property failure why it was not carried out, or null.
 */
public data class ExecutedIncident(
    val incident: TraceIncident,
    val startNanoseconds: Long,
    val endNanoseconds: Long,
    val addresses: Set<String> = emptySet(),
    val failure: String? = null,
)
