/*
 * Start-time fair queueing over cost tokens. Each workspace under each profile is one flow with its own weight, so a
 * flow that offers more than its share delays its own requests and not those of other flows. The interactive requests of
 * a pool are started before requests that may wait, and a part of the queue is reserved for them. The waiting time of a
 * request is estimated from the measured drain rate of the pool, so that a request which would start after its deadline is
 * refused when it is offered.
 *
 * The forwarding path uses the same queue in other orders (see QueueOrder): its requests differ in what they need of a target, so that
 * one which finds none does not hold up those behind it.
 */
package org.cactuspulley.core.queueing

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.earliest
import java.util.TreeSet
import kotlin.time.Duration

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

/**
 * A [RequestQueue] that shares each pool among workspaces in the given order. Only [QueueOrder.FairByCost] observes weights, traffic
 * classes and limits of flows; in the other orders a request may be offered again while it waits, with new due times.
 */
public class FairRequestQueue(
    private val settings: QueueSettings = QueueSettings(),
    private val order: QueueOrder = QueueOrder.FairByCost,
) : RequestQueue {
    private val pendingPools = HashMap<PoolName, WaitingPool>()
    private val poolOf = HashMap<RequestId, WaitingPool>()
    private val byDeadline = TreeSet(compareBy<QueuedRequest> { it.deadline }.thenBy { it.id.text })

    override val size: Int get() = poolOf.size

    override val nextDeadline: MonotonicTime?
        get() = if (byDeadline.isEmpty()) null else byDeadline.first().deadline

    /** The pools for which requests wait or have waited. */
    public val pools: List<PoolName> get() = pendingPools.keys.toList()

    override fun offer(request: QueuedRequest, now: MonotonicTime): OfferResult {
        val known = poolOf[request.id]
        if (known is PoolQueue) return OfferResult.Queued
        val pool = known ?: pendingPools.getOrPut(request.pool, ::newPool)
        val result = pool.offer(request, now)
        if (result == OfferResult.Queued && known == null) {
            poolOf[request.id] = pool
            byDeadline.add(request)
        }
        return result
    }

    private fun newPool(): WaitingPool =
        if (order == QueueOrder.FairByCost) PoolQueue(settings) else RankedPoolQueue(order, settings.capacity)

    override fun remove(request: RequestId): Boolean {
        val pool = poolOf.remove(request) ?: return false
        byDeadline.remove(pool.remove(request))
        return true
    }

    /** Removes and returns the last waiting request of the same pool if [request] precedes it; null otherwise. */
    public fun displaceFor(request: QueuedRequest, now: MonotonicTime): QueuedRequest? =
        ranked(request.pool)?.displaceFor(request, now)?.also(::forget)

    /** Returns the waiting requests of [pool] in their order at [now]; none in an order that offers them by [drain] only. */
    public fun ordered(pool: PoolName, now: MonotonicTime): List<QueuedRequest> = ranked(pool)?.ordered(now).orEmpty()

    /** Returns whether a waiting request precedes [request], which does not wait. */
    public fun hasPreceding(request: QueuedRequest, now: MonotonicTime): Boolean =
        order is QueueOrder.FairByDueTime && ranked(request.pool)?.hasPreceding(request, now) ?: false

    /** Records that a request for [pool] found a target without being offered one by [drain]; it need not have waited. */
    public fun start(request: RequestId, pool: PoolName, now: MonotonicTime) {
        ranked(pool)?.start(request, now)?.let(::forget)
    }

    /** Returns the mean time between two starts in [pool] while requests wait; null if it was not measured. */
    public fun startInterval(pool: PoolName): Duration? = ranked(pool)?.startInterval

    private fun ranked(pool: PoolName) = pendingPools[pool] as? RankedPoolQueue

    private fun forget(request: QueuedRequest) {
        poolOf.remove(request.id)
        byDeadline.remove(request)
    }

    override fun expire(now: MonotonicTime): List<QueuedRequest> {
        val expired = byDeadline.takeWhile { it.deadline <= now }
        expired.forEach { remove(it.id) }
        return expired
    }

    override fun drain(pool: PoolName, now: MonotonicTime, start: (QueuedRequest) -> Boolean) {
        pendingPools[pool]?.drain(now) { request -> start(request).also { if (it) forget(request) } }
    }

    /** Returns when [request] would start if it were offered now, or null if the drain rate is not known yet. */
    public fun expectedStart(request: QueuedRequest, now: MonotonicTime): MonotonicTime? =
        pendingPools[request.pool]?.expectedStart(request, now)
}
