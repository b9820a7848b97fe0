/*
 * The observations that callers, targets and operators made of one run from outside the system.
 * All times are on the monotonic clock of the one process in which callers, targets and operators run.
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

/**
 * The observations of one run under one routing policy.
 *
 * @property plan the deployment that the run used.
 * @property policy the name of the routing policy.
 * @property startNanoseconds when the replay of the trace started.
 * @property endNanoseconds when the last request and incident had ended.
 * @property requests every request of a caller, in its caller's view.
 * @property calls every call in the view of the target that received it.
 * @property changes the configuration changes that operators read back from the log.
 * @property probes the configuration that instances showed to callers.
 * @property incidents the incidents that were executed, including those that failed.
 * @property timeline the merged time lines of all instances.
 */
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

/** A configuration change that an operator read back from the log. */
public sealed interface AcceptedChange {
    /** When the operator read the change back, in nanoseconds. */
    public val atNanoseconds: Long

    /** The withdrawal of the plain text [key] of [workspace]. */
    public data class KeyWithdrawal(override val atNanoseconds: Long, val workspace: WorkspaceId, val key: String) : AcceptedChange

    /** The marking of [target] as leaving. */
    public data class Leaving(override val atNanoseconds: Long, val target: TargetId) : AcceptedChange

    /** The change of the rate and burst of [profile]. */
    public data class LimitChange(
        override val atNanoseconds: Long,
        val profile: ProfileName,
        val tokensPerSecond: Long,
        val burstTokens: Long,
    ) : AcceptedChange

    /** The addition of a marker [model], which serves no requests but appears in the list of models that callers can read. */
    public data class MarkerModelAddition(override val atNanoseconds: Long, val model: ModelName) : AcceptedChange
}

/**
 * The answer of one instance to a caller that asked for the list of models.
 *
 * @property instance the index of the instance in the deployment.
 * @property incarnation the number of the instance's start; probes of different starts are not compared.
 * @property startNanoseconds when the caller sent its request.
 * @property endNanoseconds when the caller had received the answer.
 * @property models the models that the instance listed.
 */
public data class ConfigurationProbe(
    val instance: Int,
    val incarnation: Int,
    val startNanoseconds: Long,
    val endNanoseconds: Long,
    val models: Set<ModelName>,
)

/**
 * An incident of the trace and its execution.
 *
 * @property startNanoseconds when the execution started.
 * @property endNanoseconds when the execution ended.
 * @property addresses the caller addresses of the instances that crashed; empty for other incidents.
 * @property failure why the incident could not be carried out; null if it was.
 */
public data class ExecutedIncident(
    val incident: TraceIncident,
    val startNanoseconds: Long,
    val endNanoseconds: Long,
    val addresses: Set<String> = emptySet(),
    val failure: String? = null,
)
