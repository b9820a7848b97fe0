/*
 * The events of a trace, as docs/TRACES.md describes them: requests of callers, changes by operators and faults.
 * Times are in milliseconds since the start of the trace.
 */
package org.cactuspulley.standins.trace

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName

/** One event of a trace; a trace file has one event per line. */
@Serializable
public sealed interface TraceEvent {
    /** When the event happens, in milliseconds since the start of the trace. */
    public val atMillis: Long
}

/**
 * The first event of every trace; it names the parameters that the trace was generated with.
 *
 * @property format the version of the trace format.
 * @property deployment the name of the deployment.
 * @property seed the seed of the trace generator.
 * @property seconds the length of the trace, in seconds.
 * @property faults the name of the fault set.
 */
@Serializable
@SerialName("start")
public data class TraceStart(
    @SerialName("at_ms") override val atMillis: Long = 0,
    val format: Int = FORMAT,
    val deployment: String,
    val seed: Long,
    val seconds: Int,
    val faults: String,
) : TraceEvent {
    public companion object {
        /** The version of the trace format that this code reads and writes. */
        public const val FORMAT: Int = 1
    }
}

/** A request of a caller. */
@Serializable
public sealed interface TraceArrival : TraceEvent {
    /** The id of the request, unique in the trace. */
    public val id: String
    public val workspace: WorkspaceId
    public val profile: ProfileName

    /** Whether the caller sends the workspace's old key instead of its current one. */
    public val oldKey: Boolean

    /** The id of the request that this one repeats with the same body and idempotency key; null for a first send. */
    public val resendOf: String?
}

/**
 * A request for a completion.
 *
 * @property prompt the nested levels, the most widely shared first; equal ids stand for equal texts.
 * @property outputTokens the maximum number of tokens that the request asks for.
 * @property mayWait whether the request may wait behind interactive ones.
 * @property poison whether the prompt crashes the engine that starts to compute it.
 */
@Serializable
@SerialName("completion")
public data class TraceCompletion(
    @SerialName("at_ms") override val atMillis: Long,
    override val id: String,
    override val workspace: WorkspaceId,
    override val profile: ProfileName,
    val model: ModelName,
    val prompt: List<PromptLevel>,
    @SerialName("output_tokens") val outputTokens: Int,
    @SerialName("may_wait") val mayWait: Boolean = false,
    val poison: Boolean = false,
    @SerialName("old_key") override val oldKey: Boolean = false,
    @SerialName("resend_of") override val resendOf: String? = null,
) : TraceArrival

/**
 * One level of a prompt.
 *
 * @property id the identity of the text; equal ids stand for equal texts.
 * @property tokens the length of the text, in tokens.
 */
@Serializable
public data class PromptLevel(val id: String, val tokens: Int)

/** A call of a plain service; the call may run at most once. */
@Serializable
@SerialName("call")
public data class TraceCall(
    @SerialName("at_ms") override val atMillis: Long,
    override val id: String,
    override val workspace: WorkspaceId,
    override val profile: ProfileName,
    val path: String,
    @SerialName("old_key") override val oldKey: Boolean = false,
    @SerialName("resend_of") override val resendOf: String? = null,
) : TraceArrival

/** A change by an operator or an injected fault. */
@Serializable
public sealed interface TraceIncident : TraceEvent

/** A target crashes and restarts with a new incarnation. */
@Serializable
@SerialName("target_crash")
public data class TargetCrash(@SerialName("at_ms") override val atMillis: Long, val target: TargetId) : TraceIncident

/** An operator marks a target as leaving. */
@Serializable
@SerialName("target_leaving")
public data class TargetLeaving(@SerialName("at_ms") override val atMillis: Long, val target: TargetId) : TraceIncident

/** Instances crash at the same time and restart at [backMillis]. [instances] are their indices in the deployment. */
@Serializable
@SerialName("instance_crash")
public data class InstanceCrash(
    @SerialName("at_ms") override val atMillis: Long,
    val instances: List<Int>,
    @SerialName("back_ms") val backMillis: Long,
) : TraceIncident

/** An instance is suspended until [untilMillis]. */
@Serializable
@SerialName("instance_pause")
public data class InstancePause(
    @SerialName("at_ms") override val atMillis: Long,
    val instance: Int,
    @SerialName("until_ms") val untilMillis: Long,
) : TraceIncident

/** The log is unreachable until [untilMillis]. */
@Serializable
@SerialName("log_outage")
public data class LogOutage(
    @SerialName("at_ms") override val atMillis: Long,
    @SerialName("until_ms") val untilMillis: Long,
) : TraceIncident

/** Every answer of the log is delayed by [delayMillis] until [untilMillis]. */
@Serializable
@SerialName("log_slow")
public data class LogSlow(
    @SerialName("at_ms") override val atMillis: Long,
    @SerialName("until_ms") val untilMillis: Long,
    @SerialName("delay_ms") val delayMillis: Long,
) : TraceIncident

/** The next [count] appends take effect and their answers are lost. */
@Serializable
@SerialName("lost_append_answers")
public data class LostAppendAnswers(@SerialName("at_ms") override val atMillis: Long, val count: Int) : TraceIncident

/** The next [count] calls of a plain service run and their answers are lost. */
@Serializable
@SerialName("lost_call_answers")
public data class LostCallAnswers(@SerialName("at_ms") override val atMillis: Long, val target: TargetId, val count: Int) : TraceIncident

/** A [share], from 0 to 1, of a target's cache events is lost until [untilMillis]. */
@Serializable
@SerialName("event_gaps")
public data class EventGaps(
    @SerialName("at_ms") override val atMillis: Long,
    @SerialName("until_ms") val untilMillis: Long,
    val target: TargetId,
    val share: Double,
) : TraceIncident

/** The next [count] requests at a target are answered with the answer to another request. */
@Serializable
@SerialName("foreign_answers")
public data class ForeignAnswers(@SerialName("at_ms") override val atMillis: Long, val target: TargetId, val count: Int) : TraceIncident

/** The next [count] streams of a target break off. */
@Serializable
@SerialName("cut_streams")
public data class CutStreams(@SerialName("at_ms") override val atMillis: Long, val target: TargetId, val count: Int) : TraceIncident

/** An operator withdraws a workspace's old key. */
@Serializable
@SerialName("key_withdrawn")
public data class KeyWithdrawn(@SerialName("at_ms") override val atMillis: Long, val workspace: WorkspaceId) : TraceIncident

/** An operator raises a profile's rate and burst. */
@Serializable
@SerialName("limit_raised")
public data class LimitRaised(
    @SerialName("at_ms") override val atMillis: Long,
    val profile: ProfileName,
    @SerialName("tokens_per_second") val tokensPerSecond: Long,
    @SerialName("burst_tokens") val burstTokens: Long,
) : TraceIncident

/** An operator changes the weights of a model. */
@Serializable
@SerialName("weights_changed")
public data class WeightsChanged(
    @SerialName("at_ms") override val atMillis: Long,
    val model: ModelName,
    val weights: WeightsVersion,
) : TraceIncident

/** Every target of a zone is unreachable until [untilMillis]. */
@Serializable
@SerialName("zone_cut")
public data class ZoneCut(
    @SerialName("at_ms") override val atMillis: Long,
    @SerialName("until_ms") val untilMillis: Long,
    val zone: ZoneName,
) : TraceIncident

/**
 * The popularity of prefixes changes. This event has no effect at replay, because the requests that follow in the trace
 * already use the other prefixes.
 */
@Serializable
@SerialName("hot_prefix_shift")
public data class HotPrefixShift(@SerialName("at_ms") override val atMillis: Long) : TraceIncident
