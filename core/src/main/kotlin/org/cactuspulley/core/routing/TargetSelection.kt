package org.cactuspulley.core.routing

import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.requests.PromptPiece

/**
 * What the choice of a target depends on.
 *
 * @property workspace the owner of the request; null on a route that is open to all.
 * @property excluded targets that must not be chosen, such as those that failed this request.
 */
public data class SelectionRequest(
    val request: RequestId,
    val workspace: WorkspaceId?,
    val pool: PoolName,
    val model: ModelName?,
    val adapter: AdapterName?,
    val prompt: List<PromptPiece>,
    val maximumOutputTokens: Int,
    val mayWait: Boolean,
    val deadline: MonotonicTime,
    val excluded: Set<TargetId> = emptySet(),
)

/** Chooses the target of an attempt and learns from what became of it. */
public interface TargetSelection : CorePart {
    /** Chooses a target now; changes nothing. */
    public fun choose(request: SelectionRequest, now: MonotonicTime): TargetDecision

    /** Takes note that [attempt] starts at the target of [choice]. */
    public fun attemptStarted(
        attempt: AttemptId,
        request: SelectionRequest,
        choice: TargetDecision.Chosen,
        now: MonotonicTime,
    ): List<CoreEffect>

    /** Takes note of how an attempt ended. */
    public fun attemptFinished(attempt: AttemptId, report: AttemptReport, now: MonotonicTime): List<CoreEffect>
}

/** Where a request goes. */
public sealed interface TargetDecision {
    /**
     * The request goes to [target].
     *
     * @property weights the weights version the target has in force; null for a plain service.
     * @property cacheScope the salt that the engine must keep the request's cache entries under; empty for a plain service.
     * @property expectedCachedTokens prompt tokens that the target is expected to have cached.
     * @property cacheTransfer where cached prompt pieces should be imported from first, if that is cheaper.
     */
    public data class Chosen(
        val target: TargetId,
        val incarnation: TargetIncarnation?,
        val weights: WeightsVersion?,
        val cacheScope: String,
        val expectedCachedTokens: Int,
        val cacheTransfer: CacheTransfer? = null,
    ) : TargetDecision

    /** Every fitting target is full for this class of traffic; asking again is of use at [retryAt] or when an attempt ends. */
    public data class Busy(val retryAt: MonotonicTime) : TargetDecision

    /** No target can serve the request. */
    public data class None(val reason: NoTargetReason) : TargetDecision
}

/** Why no target fits. */
public enum class NoTargetReason { POOL_EMPTY, ALL_UNHEALTHY, ALL_EXCLUDED, MODEL_UNKNOWN }

/**
 * An import of cached blocks before the attempt.
 *
 * @property source the cache store or engine that holds the blocks.
 * @property lastPieceHash the chained hash of the last piece to import.
 */
public data class CacheTransfer(val source: TargetId, val lastPieceHash: Long, val tokens: Int)

/** How an attempt ended. */
public sealed interface AttemptReport {
    /** The target answered whole; [cachedTokens] is what it really reused, null if it did not say. */
    public data class Completed(val promptTokens: Int, val cachedTokens: Int?, val outputTokens: Int) : AttemptReport

    /** The target failed; [crashed] when the connection broke or the answer was empty. */
    public data class Failed(val crashed: Boolean) : AttemptReport

    /** The attempt was cancelled by our side. */
    public data object Cancelled : AttemptReport
}
