package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The rate limit of one workspace over all instances.
 *
 * @property refillPerSecond the units that the bucket gains per second.
 * @property capacity the most units that the bucket can hold.
 */
public data class TokenBucketLimit(val refillPerSecond: Double, val capacity: Double)

/**
 * One instance's consumption from a workspace's bucket, as reported to its peers.
 *
 * @property total the units consumed since the instance started.
 * @property perSecond the current consumption rate in units per second.
 * @property available the units that the instance estimates to be left in the bucket.
 */
public data class TokenBucketUsage(val total: Double, val perSecond: Double, val available: Double)

/**
 * A workspace's token bucket that is replicated on every instance.
 *
 * Each instance consumes from its own copy and reports its consumption to its peers. Between two reports of a peer,
 * the copy assumes that the peer keeps consuming at its last reported rate. The copies of a busy workspace therefore
 * converge on shares whose sum is the refill rate, and an instance that receives no reports keeps roughly its last
 * share. A new copy starts almost empty until it refills or a peer reports what is left, so that a restart of all
 * instances does not grant the same units twice.
 */
public class ReplicatedTokenBucket(private var limit: TokenBucketLimit, private val startedAt: MonotonicTime) {
    private class PeerUsage(val incarnation: InstanceIncarnation, var usage: TokenBucketUsage, var receivedAt: MonotonicTime)

    private val peers = HashMap<InstanceId, PeerUsage>()
    private var level = limit.capacity * INITIAL_FILL_FRACTION
    private var updatedAt = startedAt
    private var total = 0.0
    private var ratePerSecond = 0.0
    private var rateUpdatedAt = startedAt
    private var hasAdoptedLevel = false

    /** Returns whether the bucket is so low that peers should learn of each admission soon. */
    public fun isRunningLow(now: MonotonicTime): Boolean = available(now) < limit.capacity * LOW_LEVEL_FRACTION

    /** Returns the consumption of this instance to report to its peers. */
    public fun usage(now: MonotonicTime): TokenBucketUsage {
        decayRate(now)
        return TokenBucketUsage(total, ratePerSecond, available(now))
    }

    /**
     * Returns the units that all instances together consume per second at [now], as far as their reports are recent: what a peer that has
     * not reported for long consumes is not known.
     */
    public fun fleetRate(now: MonotonicTime): Double {
        decayRate(now)
        return ratePerSecond + peers.values.filter { now - it.receivedAt < MAX_EXTRAPOLATION }.sumOf { it.usage.perSecond }
    }

    /** Changes the limit to [newLimit]; units above the new capacity are lost. */
    public fun changeLimit(newLimit: TokenBucketLimit, now: MonotonicTime) {
        addRefill(now)
        limit = newLimit
        level = level.coerceAtMost(newLimit.capacity)
    }

    /** Consumes [cost] units if they are available; returns whether it did. */
    public fun tryConsume(cost: Double, now: MonotonicTime): Boolean {
        if (available(now) < cost) return false
        level -= cost
        total += cost
        decayRate(now)
        ratePerSecond += cost / RATE_WINDOW_SECONDS
        return true
    }

    /** Puts back [cost] units that were consumed for a request that did not run. */
    public fun refund(cost: Double, now: MonotonicTime) {
        addRefill(now)
        level = (level + cost).coerceAtMost(limit.capacity)
        total -= cost
    }

    /** Returns how long it takes until [cost] units are available at the current consumption rate of the peers. */
    public fun timeUntilAvailable(cost: Double, now: MonotonicTime): Duration {
        val missing = cost - available(now)
        if (missing <= 0) return Duration.ZERO
        val netRefill = (limit.refillPerSecond - peers.values.sumOf { it.usage.perSecond })
            .coerceAtLeast(limit.refillPerSecond * MIN_REFILL_FRACTION)
            .coerceAtLeast(1.0)
        return (missing / netRefill * MILLIS_PER_SECOND).milliseconds
    }

    /**
     * Deducts what [peer] has consumed since its last report. The first report of a peer deducts nothing, but a copy that is younger than
     * [STARTUP_PERIOD] adopts its level, less what this instance has consumed meanwhile. The first one after a restart of the
     * peer deducts what the peer has consumed since its start, and what it probably consumed between its last report and its end.
     */
    public fun recordPeerUsage(peer: InstanceId, incarnation: InstanceIncarnation, usage: TokenBucketUsage, now: MonotonicTime) {
        addRefill(now)
        val previous = peers[peer]
        if (previous == null || previous.incarnation != incarnation) {
            peers[peer] = PeerUsage(incarnation, usage, now)
            if (previous != null) {
                level -= usage.total + previous.usage.perSecond * seconds((now - previous.receivedAt).coerceAtMost(REPORT_PERIOD))
            }
            if (now - startedAt < STARTUP_PERIOD) adoptLevel(usage.available)
            return
        }
        level = (level - (usage.total - previous.usage.total)).coerceAtMost(limit.capacity)
        previous.usage = usage
        previous.receivedAt = now
    }

    /** Replaces the assumed level of a new copy by the first [reported] one, and by later ones that are higher. */
    private fun adoptLevel(reported: Double) {
        val adopted = reported.coerceAtMost(limit.capacity) - total
        level = if (hasAdoptedLevel) maxOf(level, adopted) else adopted
        hasAdoptedLevel = true
    }

    /** Returns the units that can be consumed now. */
    public fun available(now: MonotonicTime): Double {
        addRefill(now)
        return level - peers.values.sumOf { it.usage.perSecond * seconds((now - it.receivedAt).coerceAtMost(MAX_EXTRAPOLATION)) }
    }

    private fun addRefill(now: MonotonicTime) {
        if (now <= updatedAt) return
        level = (level + limit.refillPerSecond * seconds(now - updatedAt)).coerceAtMost(limit.capacity)
        updatedAt = now
    }

    private fun decayRate(now: MonotonicTime) {
        if (now <= rateUpdatedAt) return
        ratePerSecond *= exp(-seconds(now - rateUpdatedAt) / RATE_WINDOW_SECONDS)
        rateUpdatedAt = now
    }

    private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Below this fraction of the capacity, peers need to learn of admissions before the next regular report. */
        const val LOW_LEVEL_FRACTION = 0.5

        /**
         * The fraction of the refill rate that an instance always counts on, even if its peers consume all of it; it
         * is roughly its own share.
         */
        const val MIN_REFILL_FRACTION = 0.1

        /**
         * The fraction of the capacity that a new copy starts with; sixteen instances that start together grant one
         * capacity in total.
         */
        const val INITIAL_FILL_FRACTION = 0.0625

        /** A copy younger than this has granted almost nothing, so it adopts the level that a peer reports. */
        val STARTUP_PERIOD = 2_000.milliseconds

        /**
         * The averaging window of the consumption rate. It is long enough that single large prompts do not make the
         * rate jump, and short compared with the windows over which limits are checked.
         */
        const val RATE_WINDOW_SECONDS = 1.5

        /** The time between two regular reports, in which an instance that ends may have consumed units that it never reports. */
        val REPORT_PERIOD = 400.milliseconds

        /** A peer that has not reported for longer may have stopped; its share then goes to the other instances. */
        val MAX_EXTRAPOLATION = 3_000.milliseconds
    }
}
