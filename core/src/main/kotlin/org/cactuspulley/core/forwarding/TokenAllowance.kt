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
 * @property refill units a second.
 * @property depth the most units that may be used at once.
 */
public data class AllowanceLimit(val refill: Double, val depth: Double)

/**
 * One instance's use of a workspace's allowance, as it tells its peers.
 *
 * @property total what it used since its start.
 * @property perSecond how fast it uses at present.
 * @property available what it believes is left.
 */
public data class AllowanceUse(val total: Double, val perSecond: Double, val available: Double)

/**
 * One workspace's bucket, replicated on every instance.
 *
 * Each instance takes from its own copy and tells its peers how much it took. Between two reports a
 * peer is taken to go on as fast as before, so that the copies of a busy workspace settle at shares
 * that together are the refill, and an instance that hears nothing keeps about its last share. A fresh
 * copy holds little until it refills or a peer tells what is left, so that a restart of all gives nothing out twice.
 */
public class TokenAllowance(private var limit: AllowanceLimit, private val startedAt: MonotonicTime) {
    private class PeerUse(val incarnation: InstanceIncarnation, var use: AllowanceUse, var heardAt: MonotonicTime)

    private val peers = HashMap<InstanceId, PeerUse>()
    private var level = limit.depth * FRESH_SHARE
    private var updatedAt = startedAt
    private var total = 0.0
    private var ratePerSecond = 0.0
    private var rateAt = startedAt

    /** Whether so little is left that peers should hear of each admission soon. */
    public fun isTight(now: MonotonicTime): Boolean = available(now) < limit.depth * TIGHT_SHARE

    /** What this instance tells its peers. */
    public fun use(now: MonotonicTime): AllowanceUse {
        decayRate(now)
        return AllowanceUse(total, ratePerSecond, available(now))
    }

    /** Changes the limit; what is saved up beyond the new depth is lost. */
    public fun reshape(newer: AllowanceLimit, now: MonotonicTime) {
        refill(now)
        limit = newer
        level = level.coerceAtMost(newer.depth)
    }

    /** Takes [cost] units if they are there. */
    public fun take(cost: Double, now: MonotonicTime): Boolean {
        if (available(now) < cost) return false
        level -= cost
        total += cost
        decayRate(now)
        ratePerSecond += cost / RATE_WINDOW_SECONDS
        return true
    }

    /** Gives back [cost] units of a request that did not run. */
    public fun giveBack(cost: Double, now: MonotonicTime) {
        refill(now)
        level = (level + cost).coerceAtMost(limit.depth)
        total -= cost
    }

    /** How long until [cost] units are there, at the speed at which peers use them now. */
    public fun timeUntil(cost: Double, now: MonotonicTime): Duration {
        val missing = cost - available(now)
        if (missing <= 0) return Duration.ZERO
        val gain = (limit.refill - peers.values.sumOf { it.use.perSecond }).coerceAtLeast(limit.refill * LEAST_GAIN).coerceAtLeast(1.0)
        return (missing / gain * MILLIS_PER_SECOND).milliseconds
    }

    /** Charges what a peer used since its last report. */
    public fun heard(peer: InstanceId, incarnation: InstanceIncarnation, use: AllowanceUse, now: MonotonicTime) {
        refill(now)
        val known = peers[peer]
        if (known == null || known.incarnation != incarnation) {
            peers[peer] = PeerUse(incarnation, use, now)
            if (now - startedAt < FRESH) level = maxOf(level, use.available.coerceAtMost(limit.depth))
            return
        }
        level = (level - (use.total - known.use.total)).coerceAtMost(limit.depth)
        known.use = use
        known.heardAt = now
    }

    /** The units that may be used now. */
    public fun available(now: MonotonicTime): Double {
        refill(now)
        return level - peers.values.sumOf { it.use.perSecond * seconds((now - it.heardAt).coerceAtMost(EXTRAPOLATION)) }
    }

    private fun refill(now: MonotonicTime) {
        if (now <= updatedAt) return
        level = (level + limit.refill * seconds(now - updatedAt)).coerceAtMost(limit.depth)
        updatedAt = now
    }

    private fun decayRate(now: MonotonicTime) {
        if (now <= rateAt) return
        ratePerSecond *= exp(-seconds(now - rateAt) / RATE_WINDOW_SECONDS)
        rateAt = now
    }

    private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Below this part of the depth, admissions of peers matter before their next regular report. */
        const val TIGHT_SHARE = 0.5

        /** The part of the refill that an instance counts on even where its peers use it all: about its own share. */
        const val LEAST_GAIN = 0.1

        /** What a fresh copy holds of the depth; sixteen instances that start at once give one depth out together. */
        const val FRESH_SHARE = 0.0625

        /** A copy this young has given out next to nothing and takes over what a peer says is left. */
        val FRESH = 2_000.milliseconds

        /** Long enough that single large prompts do not swing the rate, short against the windows in which limits are judged. */
        const val RATE_WINDOW_SECONDS = 1.5

        /** A peer that has been silent for longer may have ended; its share then falls to the others. */
        val EXTRAPOLATION = 3_000.milliseconds
    }
}
