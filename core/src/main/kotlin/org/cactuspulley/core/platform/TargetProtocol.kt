/*
 * Message bodies and headers of targets and the weight store, as specified in docs/PLATFORM.md.
 */
package org.cactuspulley.core.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.WeightsVersion

/** The names of the HTTP headers that targets and instances use. */
public object TargetHeaders {
    public const val REQUEST_ID: String = "X-Request-Id"
    public const val CACHE_SCOPE: String = "X-Cache-Scope"
    public const val PRIORITY: String = "X-Priority"
    public const val WEIGHTS_VERSION: String = "X-Weights-Version"
    public const val RESUME_FROM: String = "X-Resume-From"
    public const val CALLER_DEADLINE_MILLIS: String = "X-Caller-Deadline-Ms"
    public const val CHAIN: String = "X-Chain"
    public const val TOKENS: String = "X-Tokens"
    public const val SCOPE: String = "X-Scope"
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"
}

/** Whether a target accepts work. */
@Serializable
public enum class TargetState { SERVING, LOADING, DRAINING }

/**
 * The status that a target reports.
 *
 * @property load the load of the target at an earlier time; the lag depends on the target.
 * @property models the models that the target has loaded; empty for a plain service.
 */
@Serializable
public data class TargetStatus(
    val incarnation: Long,
    val state: TargetState = TargetState.SERVING,
    val load: TargetLoad = TargetLoad(),
    val models: List<ServedModel> = emptyList(),
    val role: TargetRole = TargetRole.MIXED,
)

/** A model that an engine has loaded, with the version of its [weights] and its loaded [adapters]. */
@Serializable
public data class ServedModel(
    val model: ModelName,
    val weights: WeightsVersion,
    val adapters: List<AdapterName> = emptyList(),
)

/** The phases of a request that an engine computes. */
@Serializable
public enum class TargetRole { MIXED, PREFILL, DECODE }

/**
 * The load of a target.
 *
 * @property running the number of requests that are being served.
 * @property waiting the number of requests that are queued at the target.
 * @property waitingPrefillTokens the number of prompt tokens of running and waiting requests that are not yet computed.
 * @property prefillTokensPerSecond the target's own estimate of its prefill rate, in tokens per second; 0 if it reports none.
 * @property decodeSlots the maximum number of requests that are computed together; 0 if the target reports none.
 */
@Serializable
public data class TargetLoad(
    val running: Int = 0,
    val waiting: Int = 0,
    @SerialName("waiting_prefill_tokens") val waitingPrefillTokens: Long = 0,
    @SerialName("prefill_tokens_per_second") val prefillTokensPerSecond: Long = 0,
    @SerialName("decode_slots") val decodeSlots: Int = 0,
)

/**
 * A page of cache events of one incarnation of an engine.
 *
 * @property next the number of the event that follows [events].
 * @property missing the number of events in the requested range that are permanently lost.
 */
@Serializable
public data class CacheEventPage(
    val incarnation: Long,
    val events: List<CacheEvent>,
    val next: Long,
    val missing: Long = 0,
)

/**
 * One change of an engine's prefix cache.
 *
 * @property number the sequence number of the event.
 * @property chain the chained hash of the piece.
 * @property tokens the number of tokens in the piece.
 */
@Serializable
public data class CacheEvent(val number: Long, val kind: CacheEventKind, val chain: Long, val tokens: Int)

/** The kind of change of the cache: a piece was stored or evicted, or the whole cache was cleared. */
@Serializable
public enum class CacheEventKind { STORED, EVICTED, CLEARED }

/**
 * An order to a target.
 *
 * @property fencing the fencing number, which is the log offset of the decision. A target that checks it refuses an order
 *   with a lower number than it has seen.
 * @property issuer the id of the instance that sends the order.
 */
@Serializable
public data class TargetOrder(val fencing: Long, val issuer: String, val action: OrderAction)

/** The action that an order requires. */
@Serializable
public sealed interface OrderAction {
    /** Serve [model] with [weights] from now on. The target drops cache entries of other weights. */
    @Serializable
    @SerialName("load_weights")
    public data class LoadWeights(val model: ModelName, val weights: WeightsVersion) : OrderAction

    /** Load [adapter] on top of [model]. */
    @Serializable
    @SerialName("load_adapter")
    public data class LoadAdapter(val model: ModelName, val adapter: AdapterName) : OrderAction

    /** Change to [role]. */
    @Serializable
    @SerialName("change_role")
    public data class ChangeRole(val role: TargetRole) : OrderAction
}

/** The weight store's description of one weights version; [bytes] is its size in bytes. */
@Serializable
public data class WeightsDescription(val model: ModelName, val weights: WeightsVersion, val bytes: Long)
