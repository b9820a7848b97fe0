package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.queueing.FairRequestQueue
import org.cactuspulley.core.queueing.OfferResult
import org.cactuspulley.core.queueing.QueuedRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Has the requests in [queue] look for a target periodically, in the order of the queue, so that the first gets the first place that
 * becomes free. Confined to the event loop.
 */
internal class WaitingRequests(
    private val queue: FairRequestQueue,
    private val now: () -> MonotonicTime,
    private val schedule: (Duration, () -> Unit) -> Unit,
    private val execute: (() -> Unit) -> Unit,
    private val beforeRetries: () -> Unit = {},
) {
    private class Waiting(val retry: () -> Unit, val refuse: (MonotonicTime?) -> Unit, val since: MonotonicTime)

    private val waiting = HashMap<RequestId, Waiting>()
    private var isScheduled = false
    private var lastId = 0L

    /** The number of waiting requests. */
    val size: Int get() = waiting.size

    /** Returns an id for a request of this instance; the ids that callers give may not be unique. */
    fun nextId(): RequestId = RequestId((++lastId).toString())

    /**
     * Has [request] wait, and calls [retry] when it looks for a target next; it must be offered again if it finds none. If the queue is
     * full, the last request gives up its place to one that precedes it, and its [refuse] is called with the time at which it was
     * expected to start, if that is known.
     */
    fun offer(request: QueuedRequest, retry: () -> Unit, refuse: (MonotonicTime?) -> Unit = {}): OfferResult {
        var result = queue.offer(request, now())
        if (result == OfferResult.Full) {
            val displaced = queue.displaceFor(request, now()) ?: return result
            val expectedStart = queue.expectedStart(displaced, now())
            waiting.remove(displaced.id)?.let { victim -> execute { victim.refuse(expectedStart) } }
            result = queue.offer(request, now())
        }
        if (result == OfferResult.Queued) {
            waiting[request.id] = Waiting(retry, refuse, waiting[request.id]?.since ?: now())
            scheduleRetries()
        }
        return result
    }

    /** Returns whether [request], which does not wait yet, must leave the next target to a waiting one. */
    fun mustYield(request: QueuedRequest): Boolean = queue.hasPreceding(request, now())

    /** Returns when [request] is expected to start; null if that is not known. */
    fun expectedStart(request: QueuedRequest): MonotonicTime? = queue.expectedStart(request, now())

    /** Returns the mean time between two starts of waiting requests of [pool]; null if it was not measured. */
    fun startInterval(pool: PoolName): Duration? = queue.startInterval(pool)

    /** Records that a request has found a target in [pool]; returns how long it waited, or null if it did not wait. */
    fun started(request: RequestId, pool: PoolName): Duration? {
        queue.start(request, pool, now())
        return waiting.remove(request)?.let { now() - it.since }
    }

    /** Ends the wait of a request that needs no target any more. */
    fun remove(request: RequestId) {
        queue.remove(request)
        waiting.remove(request)
    }

    private fun scheduleRetries() {
        if (isScheduled) return
        isScheduled = true
        schedule(POLL_INTERVAL, ::retryAll)
    }

    private fun retryAll() {
        isScheduled = false
        beforeRetries()
        // Each runs as a task of its own, so that one that fails does not end the wait of the others.
        queue.pools.forEach { pool ->
            queue.ordered(pool, now()).forEach { request -> execute { retry(request.id) } }
        }
        if (waiting.isNotEmpty()) scheduleRetries()
    }

    /** Lets one request look for a target; it no longer waits unless it is offered again, which replaces its entry. */
    private fun retry(request: RequestId) {
        val entry = waiting[request] ?: return
        try {
            entry.retry()
        } finally {
            if (waiting[request] === entry) remove(request)
        }
    }

    private companion object {
        /** How often waiting requests look for a target; it is about the processing time of a plain service. */
        val POLL_INTERVAL = 20.milliseconds
    }
}
