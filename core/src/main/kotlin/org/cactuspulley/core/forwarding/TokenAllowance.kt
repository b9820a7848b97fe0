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
public data class AllowanceShape(val refill: Double, val depth: Double)

/** One instance's use of a workspace's allowance since its start, as it tells its peers. */
public data class AllowanceUse(val total: Double, val perSecond: Double)

/**
 * One workspace's bucket, replicated on every instance.
 *
 * Each instance takes from its own copy and tells its peers how much it took. Between two reports a
 * peer is taken to go on as fast as before, so that the copies of a busy workspace settle at shares
 * that together are the refill, and an instance that hears nothing keeps about its last share.
 */
public class TokenAllowance(private var shape: AllowanceShape, startedAt: MonotonicTime) {
    private class PeerUse(val incarnation: InstanceIncarnation, var use: AllowanceUse, var heardAt: MonotonicTime)

    private val peers = HashMap<InstanceId, PeerUse>()
    private var level = shape.depth / UNKNOWN_FLEET
    private var updatedAt = startedAt
    private var total = 0.0
    private var ratePerSecond = 0.0
    private var rateAt = startedAt

    /** What this instance tells its peers. */
    public fun use(now: MonotonicTime): AllowanceUse {
        decayRate(now)
        return AllowanceUse(total, ratePerSecond)
    }

    /** Changes the limit; what is saved up beyond the new depth is lost. */
    public fun reshape(newer: AllowanceShape, now: MonotonicTime) {
        refill(now)
        shape = newer
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
    public fun giveBack(cost: Double) {
        level = (level + cost).coerceAtMost(shape.depth)
        total -= cost
    }

    /** How long until [cost] units are there, if nobody else takes them. */
    public fun timeUntil(cost: Double, now: MonotonicTime): Duration {
        val missing = cost - available(now)
        if (missing <= 0 || shape.refill <= 0) return Duration.ZERO
        return (missing / shape.refill * MILLIS_PER_SECOND).milliseconds
    }

    /** Charges what a peer used since its last report. */
    public fun heard(peer: InstanceId, incarnation: InstanceIncarnation, use: AllowanceUse, now: MonotonicTime) {
        refill(now)
        val known = peers[peer]
        if (known == null || known.incarnation != incarnation) {
            peers[peer] = PeerUse(incarnation, use, now)
            return
        }
        level -= use.total - known.use.total
        known.use = use
        known.heardAt = now
    }

    private fun available(now: MonotonicTime): Double {
        refill(now)
        return level -
            peers.values.sumOf { it.use.perSecond * (now - it.heardAt).coerceAtMost(EXTRAPOLATION).toDouble(DurationUnit.SECONDS) }
    }

    private fun refill(now: MonotonicTime) {
        if (now <= updatedAt) return
        level = (level + shape.refill * (now - updatedAt).toDouble(DurationUnit.SECONDS)).coerceAtMost(shape.depth)
        updatedAt = now
    }

    private fun decayRate(now: MonotonicTime) {
        if (now <= rateAt) return
        ratePerSecond *= exp(-(now - rateAt).toDouble(DurationUnit.SECONDS) / RATE_WINDOW_SECONDS)
        rateAt = now
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** A fresh instance knows of nobody's use; eight of them (the largest first deployment) start with one depth together. */
        const val UNKNOWN_FLEET = 8

        /** Long enough that single large prompts do not swing the rate, short against the windows in which limits are judged. */
        const val RATE_WINDOW_SECONDS = 1.5

        /** A peer that has been silent for longer may have ended; its share then falls to the others. */
        val EXTRAPOLATION = 3_000.milliseconds
    }
}
