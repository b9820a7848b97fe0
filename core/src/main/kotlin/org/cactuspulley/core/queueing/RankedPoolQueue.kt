package org.cactuspulley.core.queueing

import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** The waiting requests of one pool, in an order that changes as time passes and workspaces consume. */
internal class RankedPoolQueue(private val order: QueueOrder, private val capacity: Int) : WaitingPool {
    private class Waiting(var request: QueuedRequest, val arrival: Long) {
        /** The number of requests before this one when they were last ranked; null if it came later. */
        var position: Int? = null

        /** Whether the request was let wait on after it was known that it can only be late. */
        var isAcceptedLate = false
    }

    private val waiting = LinkedHashMap<RequestId, Waiting>()
    private val drainRate = DrainRate()
    private var nextArrival = 0L

    /** Whether a request that can only be late was waiting when the requests were last ranked. */
    private var hasLate = false

    /** The part of the starts, while late requests waited, that those which can be on time left to late ones. */
    private var leftShare = 1.0

    /** When the late requests that were let wait on have been served with their share of the starts; null if there were none. */
    private var lateServedUntil: MonotonicTime? = null

    override val size: Int get() = waiting.size

    /** The mean time between two starts while requests wait; null until it was measured. */
    val startInterval: Duration? get() = drainRate.nanosecondsPerToken?.nanoseconds

    /** Adds [request], or replaces what is known about it if it waits already; returns why it is refused if it is. */
    override fun offer(request: QueuedRequest, now: MonotonicTime): OfferResult {
        val known = waiting[request.id]
        if (order is QueueOrder.FairByDueTime) {
            val start = expectedStart(request, now)
            if (start != null && start > request.due.latestStart) return OfferResult.TooLate(start)
            if (known == null && waiting.size >= capacity) return OfferResult.Full
        }
        if (waiting.isEmpty()) drainRate.resume(now)
        val entry = known ?: Waiting(request, nextArrival++).also { waiting[request.id] = it }
        entry.request = request
        if (!entry.isAcceptedLate && request.due.canOnlyBeLate(now)) acceptLate(entry, now)
        return OfferResult.Queued
    }

    private fun acceptLate(entry: Waiting, now: MonotonicTime) {
        entry.isAcceptedLate = true
        val interval = startInterval ?: return
        lateServedUntil = maxOf(lateServedUntil ?: now, now) + interval / lateShare
    }

    private val lateShare: Double get() = leftShare.coerceAtLeast(MIN_LEFT_SHARE)

    override fun remove(request: RequestId): QueuedRequest? = waiting.remove(request)?.request

    /** Removes and returns the last of the waiting requests if it ranks after [request], which needs its place; null otherwise. */
    fun displaceFor(request: QueuedRequest, now: MonotonicTime): QueuedRequest? {
        val ranks = Ranks(now)
        val last = waiting.values.maxByOrNull { ranks.of(it) } ?: return null
        if (ranks.ofNew(request) >= ranks.of(last)) return null
        waiting.remove(last.request.id)
        return last.request
    }

    /** Returns the waiting requests in their order at [now]. */
    fun ordered(now: MonotonicTime): List<QueuedRequest> {
        if (waiting.isNotEmpty()) drainRate.record(0, now)
        val ranks = Ranks(now)
        val sorted = waiting.values.map { ranks.of(it) to it }.sortedBy { it.first }.map { it.second }
        sorted.forEachIndexed { index, entry -> entry.position = index }
        hasLate = sorted.any { it.request.due.canOnlyBeLate(now) }
        return sorted.map { it.request }
    }

    /** Returns whether a waiting request precedes [request], which does not wait. */
    fun hasPreceding(request: QueuedRequest, now: MonotonicTime): Boolean {
        if (waiting.isEmpty() || request.id in waiting) return false
        val ranks = Ranks(now)
        val own = ranks.ofNew(request)
        return waiting.values.any { ranks.of(it) < own }
    }

    /**
     * Records that a request has started, and removes it if it was waiting. One that did not wait counts too: it took a place that the
     * waiting ones may need.
     */
    fun start(request: RequestId, now: MonotonicTime): QueuedRequest? {
        if (waiting.isNotEmpty()) drainRate.record(1, now)
        val started = waiting.remove(request)?.request
        if (hasLate) {
            // A late request whose bound has passed takes its place from the others instead of being left one.
            val wasLeft = started != null && started.due.canOnlyBeLate(now) && now < started.due.yieldsUntil
            leftShare += ((if (wasLeft) 1.0 else 0.0) - leftShare) / LEFT_SHARE_STARTS
        }
        return started
    }

    override fun drain(now: MonotonicTime, start: (QueuedRequest) -> Boolean) {
        ordered(now).forEach { if (start(it)) this.start(it.id, now) }
    }

    override fun expectedStart(request: QueuedRequest, now: MonotonicTime): MonotonicTime? {
        val interval = startInterval ?: return null
        val known = waiting[request.id]
        val isNewlyLate = request.due.canOnlyBeLate(now) && known?.isAcceptedLate != true
        if (!isNewlyLate) known?.position?.let { return now + interval * it }
        val ranks = Ranks(now)
        val own = known?.let(ranks::of) ?: ranks.ofNew(request)
        val (late, onTime) = waiting.values.filter { it !== known && ranks.of(it) < own }.partition { it.request.due.canOnlyBeLate(now) }
        if (!isNewlyLate) return now + interval * (late.size + onTime.size)
        return maxOf(now + interval * (onTime.size + late.size / lateShare), lateServedUntil ?: now)
    }

    private companion object {
        /** The number of starts over which the share left to late requests is averaged; a pool of a few engines starts as many a second. */
        const val LEFT_SHARE_STARTS = 32

        /** Leaves seven eighths to requests that can be on time, and still shows when they need less. */
        const val MIN_LEFT_SHARE = 0.125
    }

    /** Computes ranks at [now]; what a flow consumes is looked up once. */
    private inner class Ranks(private val now: MonotonicTime) {
        private val consumptions = HashMap<BucketId, Double?>()

        fun of(entry: Waiting): QueueRank = of(entry.request, entry.isAcceptedLate, entry.arrival)

        fun ofNew(request: QueuedRequest): QueueRank = of(request, isAcceptedLate = false, nextArrival)

        private fun of(request: QueuedRequest, isAcceptedLate: Boolean, arrival: Long): QueueRank = when (order) {
            is QueueOrder.FairByDueTime -> {
                val consumption = consumptions.getOrPut(request.bucket) { order.consumption(request.bucket, now) }
                QueueRank.byDueTime(request.due, consumption, isAcceptedLate, arrival, now)
            }

            QueueOrder.ByLatestStart, QueueOrder.FairByCost -> QueueRank.byLatestStart(request.due, arrival)
        }
    }
}
