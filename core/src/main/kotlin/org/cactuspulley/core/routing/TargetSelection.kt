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
 * The properties of a request that the selection of a target depends on.
 *
 * @property workspace the workspace that the request belongs to; null on a route that is open to all.
 * @property mayWait whether the request yields to interactive requests.
 * @property excluded the targets that must not be selected, such as those that already failed this request.
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

/** Selects the target of an attempt and learns from the result of the attempt. */
public interface TargetSelection : CorePart {
    /** Selects a target for [request]. It changes no state. */
    public fun choose(request: SelectionRequest, now: MonotonicTime): TargetDecision

    /** Records that [attempt] starts at the target of [choice]. */
    public fun attemptStarted(
        attempt: AttemptId,
        request: SelectionRequest,
        choice: TargetDecision.Chosen,
        now: MonotonicTime,
    ): List<CoreEffect>

    /** Records how [attempt] ended. */
    public fun attemptFinished(attempt: AttemptId, report: AttemptReport, now: MonotonicTime): List<CoreEffect>
}

/** The decision which target a request is sent to. */
public sealed interface TargetDecision {
    /**
     * The request is sent to [target].
     *
     * @property weights the version of the weights that the target serves; null for a plain service.
     * @property cacheScope the salt under which the engine must keep the request's cache entries; empty for a plain service.
     * @property expectedCachedTokens the number of prompt tokens that the target is expected to have cached.
     * @property cacheTransfer the transfer of cached prompt pieces to run first; null if computing them is cheaper.
     */
    public data class Chosen(
        val target: TargetId,
        val incarnation: TargetIncarnation?,
        val weights: WeightsVersion?,
        val cacheScope: String,
        val expectedCachedTokens: Int,
        val cacheTransfer: CacheTransfer? = null,
    ) : TargetDecision

    /**
     * All targets that can serve the request are full for requests of its kind. A retry is useful at [retryAt], or earlier if an
     * attempt ends.
     */
    public data class Busy(val retryAt: MonotonicTime) : TargetDecision

    /** No target can serve the request. */
    public data class None(val reason: NoTargetReason) : TargetDecision
}

/** The reason why no target can serve a request. */
public enum class NoTargetReason { POOL_EMPTY, ALL_UNHEALTHY, ALL_EXCLUDED, MODEL_UNKNOWN }

/**
 * A transfer of cached pieces to the selected target before the attempt.
 *
 * @property source the cache store or engine that has the pieces cached.
 * @property lastPieceHash the chained hash of the last piece to transfer.
 * @property tokens the number of tokens from the start of the prompt to the end of that piece.
 */
public data class CacheTransfer(val source: TargetId, val lastPieceHash: Long, val tokens: Int)

/** The result of an attempt. */
public sealed interface AttemptReport {
    /** The target sent a complete answer. [cachedTokens] is the number of prompt tokens it reused; null if it did not report it. */
    public data class Completed(val promptTokens: Int, val cachedTokens: Int?, val outputTokens: Int) : AttemptReport

    /** The target failed. [crashed] is true if the connection broke or the answer was empty. */
    public data class Failed(val crashed: Boolean) : AttemptReport

    /** This instance cancelled the attempt. */
    public data object Cancelled : AttemptReport
}
