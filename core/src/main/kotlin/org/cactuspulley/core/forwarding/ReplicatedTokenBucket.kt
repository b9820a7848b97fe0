package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * How much a workspace may use over all instances, as a bucket.
 *
 * @property refillPerSecond units a second.
 * @property capacity the most units that may be used at once.
 */
public data class TokenBucketLimit(val refillPerSecond: Double, val capacity: Double)

/**
 * One instance's use of a workspace's allowance, as it tells its peers.
 *
 * @property total what it used since its start.
 * @property perSecond how fast it uses at present.
 * @property available what it believes is left.
 */
public data class TokenBucketUsage(val total: Double, val perSecond: Double, val available: Double)

/**
 * One workspace's bucket, replicated on every instance.
 *
 * Each instance takes from its own copy and tells its peers how much it took. Between two reports a
 * peer is taken to go on as fast as before, so that the copies of a busy workspace settle at shares
 * that together are the refill, and an instance that hears nothing keeps about its last share. A fresh
 * copy holds little until it refills or a peer tells what is left, so that a restart of all gives nothing out twice.
 */
public class ReplicatedTokenBucket(private var limit: TokenBucketLimit, private val startedAt: MonotonicTime) {
    private class PeerUsage(val incarnation: InstanceIncarnation, var usage: TokenBucketUsage, var receivedAt: MonotonicTime)

    private val peers = HashMap<InstanceId, PeerUsage>()
    private var level = limit.capacity * INITIAL_FILL_FRACTION
    private var updatedAt = startedAt
    private var total = 0.0
    private var ratePerSecond = 0.0
    private var rateUpdatedAt = startedAt

    /** Whether so little is left that peers should hear of each admission soon. */
    public fun isRunningLow(now: MonotonicTime): Boolean = available(now) < limit.capacity * LOW_LEVEL_FRACTION

    /** What this instance tells its peers. */
    public fun usage(now: MonotonicTime): TokenBucketUsage {
        decayRate(now)
        return TokenBucketUsage(total, ratePerSecond, available(now))
    }

    /** Changes the limit; what is saved up beyond the new depth is lost. */
    public fun changeLimit(newLimit: TokenBucketLimit, now: MonotonicTime) {
        addRefill(now)
        limit = newLimit
        level = level.coerceAtMost(newLimit.capacity)
    }

    /** Takes [cost] units if they are there. */
    public fun tryConsume(cost: Double, now: MonotonicTime): Boolean {
        if (available(now) < cost) return false
        level -= cost
        total += cost
        decayRate(now)
        ratePerSecond += cost / RATE_WINDOW_SECONDS
        return true
    }

    /** Gives back [cost] units of a request that did not run. */
    public fun refund(cost: Double, now: MonotonicTime) {
        addRefill(now)
        level = (level + cost).coerceAtMost(limit.capacity)
        total -= cost
    }

    /** How long until [cost] units are there, at the speed at which peers use them now. */
    public fun timeUntilAvailable(cost: Double, now: MonotonicTime): Duration {
        val missing = cost - available(now)
        if (missing <= 0) return Duration.ZERO
        val netRefill = (limit.refillPerSecond - peers.values.sumOf { it.usage.perSecond }).coerceAtLeast(limit.refillPerSecond * MIN_REFILL_FRACTION).coerceAtLeast(1.0)
        return (missing / netRefill * MILLIS_PER_SECOND).milliseconds
    }

    /** Charges what a peer used since its last report. */
    public fun recordPeerUsage(peer: InstanceId, incarnation: InstanceIncarnation, usage: TokenBucketUsage, now: MonotonicTime) {
        addRefill(now)
        val previous = peers[peer]
        if (previous == null || previous.incarnation != incarnation) {
            peers[peer] = PeerUsage(incarnation, usage, now)
            if (now - startedAt < STARTUP_PERIOD) level = maxOf(level, usage.available.coerceAtMost(limit.capacity))
            return
        }
        level = (level - (usage.total - previous.usage.total)).coerceAtMost(limit.capacity)
        previous.usage = usage
        previous.receivedAt = now
    }

    /** The units that may be used now. */
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

        /** Below this part of the depth, admissions of peers matter before their next regular report. */
        const val LOW_LEVEL_FRACTION = 0.5

        /** The part of the refill that an instance counts on even where its peers use it all: about its own share. */
        const val MIN_REFILL_FRACTION = 0.1

        /** What a fresh copy holds of the depth; sixteen instances that start at once give one depth out together. */
        const val INITIAL_FILL_FRACTION = 0.0625

        /** A copy this young has given out next to nothing and takes over what a peer says is left. */
        val STARTUP_PERIOD = 2_000.milliseconds

        /** Long enough that single large prompts do not swing the rate, short against the windows in which limits are judged. */
        const val RATE_WINDOW_SECONDS = 1.5

        /** A peer that has been silent for longer may have ended; its share then falls to the others. */
        val MAX_EXTRAPOLATION = 3_000.milliseconds
    }
}
