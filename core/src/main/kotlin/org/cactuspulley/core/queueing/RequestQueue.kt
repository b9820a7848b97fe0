package org.cactuspulley.core.queueing

import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import kotlin.time.Duration

/**
 * A request that waits for a target.
 *
 * @property bucket the workspace and profile of the request, which are its flow.
 * @property pool the pool whose targets can run the request.
 * @property weight the share of the flow relative to other flows; values below 1 count as 1.
 * @property mayWait whether interactive requests are started before this one.
 * @property costTokens the expected work of the request, in tokens.
 * @property deadline when the request expires if it was not started before.
 * @property dueTimes the times that decide how urgent the request is; null if its order does not depend on them.
 */
public data class QueuedRequest(
    val id: RequestId,
    val bucket: BucketId,
    val pool: PoolName,
    val weight: Int,
    val mayWait: Boolean,
    val costTokens: Long,
    val deadline: MonotonicTime,
    val dueTimes: DueTimes? = null,
) {
    internal val due: DueTimes get() = dueTimes ?: DueTimes(0, deadline, deadline, deadline, Duration.ZERO)
}

/** Orders waiting requests so that workspaces share targets by weight and interactive requests start first. */
public interface RequestQueue {
    /** The number of waiting requests. */
    public val size: Int

    /** The earliest deadline of a waiting request, or null. */
    public val nextDeadline: MonotonicTime?

    /** Adds [request], or returns why it is refused. */
    public fun offer(request: QueuedRequest, now: MonotonicTime): OfferResult

    /** Removes [request]; returns false if it was not waiting. */
    public fun remove(request: RequestId): Boolean

    /** Removes and returns the requests whose deadline has passed. */
    public fun expire(now: MonotonicTime): List<QueuedRequest>

    /**
     * Passes waiting requests of [pool] to [start] in fair order, first the interactive ones and then those that may wait,
     * each until [start] returns false. A request for which [start] returns true is removed.
     */
    public fun drain(pool: PoolName, now: MonotonicTime, start: (QueuedRequest) -> Boolean)
}

/** The outcome of [RequestQueue.offer]. */
public sealed interface OfferResult {
    /** The request waits. */
    public data object Queued : OfferResult

    /** The queue has reached a limit of its capacity. */
    public data object Full : OfferResult

    /**
     * The request would start after its deadline.
     *
     * @property expectedStart when the request is expected to start.
     */
    public data class TooLate(val expectedStart: MonotonicTime) : OfferResult
}
