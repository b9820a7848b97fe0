package org.cactuspulley.core.queueing

import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.limits.BucketLimit
import org.cactuspulley.core.limits.TokenBucket
import org.cactuspulley.core.limits.unitsOf
import org.cactuspulley.core.limits.unitsPerNanosecond
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.WorkspaceId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A simulation in virtual time of a fair queue in front of a server of fixed capacity. The requests of each workspace pass
 * its token bucket before they are queued.
 *
 * @property overloadFactor the load of the first workspace relative to that of each other one.
 * @property rateLimited whether requests pass token buckets before they are queued.
 */
internal class WaitingSimulation(seed: Long, private val overloadFactor: Int, private val rateLimited: Boolean = true) {
    private class Event(val time: Long, val order: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val queue = FairRequestQueue()
    private val events = PriorityQueue(compareBy<Event> { it.time }.thenBy { it.order })
    private val offeredAt = HashMap<RequestId, Long>()
    private val waits = mutableListOf<Long>()
    private val buckets = List(WORKSPACES) {
        val limit = BucketLimit(unitsPerNanosecond(RATE, 0), unitsOf(BURST))
        TokenBucket(limit, MonotonicTime.ZERO).apply { credit(unitsOf(BURST)) }
    }
    private var time = 0L
    private var order = 0L
    private var busySlots = 0

    /** Returns the 99th percentile of the waiting time of all workspaces but the first, in milliseconds. */
    fun waitingP99Milliseconds(): Double {
        (0 until WORKSPACES).forEach { arrive(it, Random(random.nextLong())) }
        while (events.isNotEmpty() && events.peek().time < DURATION_NANOSECONDS) {
            val next = events.remove()
            time = next.time
            next.action()
        }
        return waits.sorted()[waits.size * 99 / 100] / 1e6
    }

    private fun schedule(delay: Double, action: () -> Unit) {
        events.add(Event(time + (delay * 1e9).toLong() + 1, order++, action))
    }

    private fun arrive(workspace: Int, ownRandom: Random) {
        val factor = if (workspace == 0) overloadFactor else 1
        val gap = MEAN_COST / (RATE * OFFERED_SHARE * factor) * -ln(1 - ownRandom.nextDouble())
        schedule(gap) {
            val cost = ownRandom.nextLong(MEAN_COST / 5, MEAN_COST * 9 / 5)
            if (!rateLimited || spend(buckets[workspace], cost)) offer(workspace, cost)
            arrive(workspace, ownRandom)
        }
    }

    private fun spend(bucket: TokenBucket, cost: Long): Boolean {
        bucket.accrue(MonotonicTime(time))
        if (bucket.levelUnits < unitsOf(cost)) return false
        bucket.spend(unitsOf(cost))
        return true
    }

    private fun offer(workspace: Int, cost: Long) {
        val now = MonotonicTime(time)
        val id = RequestId("r${order++}")
        val bucket = BucketId(WorkspaceId("w$workspace"), ProfileName("p"))
        offeredAt[id] = time
        queue.offer(QueuedRequest(id, bucket, POOL, 1, false, cost, now + 5.minutes), now)
        serve()
    }

    private fun serve(): Unit = queue.drain(POOL, MonotonicTime(time)) { request ->
        if (busySlots >= SLOTS) return@drain false
        busySlots++
        val waited = time - offeredAt.getValue(request.id)
        if (request.bucket.workspace != OVERLOADED_WORKSPACE && time > WARM_UP_NANOSECONDS) waits.add(waited)
        schedule(request.costTokens.toDouble() * SLOTS / CAPACITY) {
            busySlots--
            serve()
        }
        true
    }

    private companion object {
        val POOL = PoolName("pool")
        val OVERLOADED_WORKSPACE = WorkspaceId("w0")
        const val WORKSPACES = 10
        const val SLOTS = 16

        /** The capacity of the server, in cost tokens per second. */
        const val CAPACITY = 100_000L

        /** The rate of every workspace, in tokens per second. */
        const val RATE = 9_000L
        const val BURST = 18_000L
        const val OFFERED_SHARE = 0.9

        /** The mean cost of a request, in tokens. */
        const val MEAN_COST = 2_000L
        const val DURATION_NANOSECONDS = 1_200_000_000_000L
        const val WARM_UP_NANOSECONDS = 30_000_000_000L
    }
}
