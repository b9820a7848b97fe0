/*
 * Start-time fair queueing over cost tokens. Each workspace under each profile is one flow with its own weight, so a
 * flow that offers more than its share delays its own requests and not those of other flows. The interactive requests of
 * a pool are started before requests that may wait, and a part of the queue is reserved for them. The waiting time of a
 * request is estimated from the measured drain rate of the pool, so that a request which would start after its deadline is
 * refused when it is offered.
 */
package org.cactuspulley.core.queueing

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.earliest
import java.util.TreeSet

/**
 * The limits of the queue.
 *
 * @property capacity the maximum number of waiting requests per pool.
 * @property interactiveReserve the number of places in [capacity] that only interactive requests may take.
 * @property capacityPerFlow the maximum number of waiting requests of one workspace under one profile per pool.
 */
public data class QueueSettings(
    val capacity: Int = 4096,
    val interactiveReserve: Int = 1024,
    val capacityPerFlow: Int = 1024,
)

/** A [RequestQueue] that shares each pool among workspaces by weight. */
public class FairRequestQueue(private val settings: QueueSettings = QueueSettings()) : RequestQueue {
    private val pools = HashMap<PoolName, PoolQueue>()
    private val poolOf = HashMap<RequestId, PoolQueue>()
    private val byDeadline = TreeSet(compareBy<QueuedRequest> { it.deadline }.thenBy { it.id.text })

    override val size: Int get() = poolOf.size

    override val nextDeadline: MonotonicTime?
        get() = if (byDeadline.isEmpty()) null else byDeadline.first().deadline

    override fun offer(request: QueuedRequest, now: MonotonicTime): OfferResult {
        if (request.id in poolOf) return OfferResult.Queued
        val pool = pools.getOrPut(request.pool) { PoolQueue(settings) }
        val result = pool.offer(request, now)
        if (result == OfferResult.Queued) {
            poolOf[request.id] = pool
            byDeadline.add(request)
        }
        return result
    }

    override fun remove(request: RequestId): Boolean {
        val pool = poolOf.remove(request) ?: return false
        byDeadline.remove(pool.remove(request))
        return true
    }

    override fun expire(now: MonotonicTime): List<QueuedRequest> {
        val expired = byDeadline.takeWhile { it.deadline <= now }
        expired.forEach { remove(it.id) }
        return expired
    }

    override fun drain(pool: PoolName, now: MonotonicTime, start: (QueuedRequest) -> Boolean) {
        pools[pool]?.drain(now) { request ->
            val started = start(request)
            if (started) {
                poolOf.remove(request.id)
                byDeadline.remove(request)
            }
            started
        }
    }

    /** Returns when [request] would start if it were offered now, or null if the drain rate is not known yet. */
    public fun expectedStart(request: QueuedRequest, now: MonotonicTime): MonotonicTime? =
        pools[request.pool]?.expectedStart(request, now)
}
