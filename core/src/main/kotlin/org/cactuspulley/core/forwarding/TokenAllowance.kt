package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** How many units a workspace may use within any span of [window], over all instances. */
public data class AllowanceLimit(val units: Double, val window: Duration)

/**
 * One instance's use of a workspace's allowance, as it tells its peers.
 *
 * @property total what it used since its start.
 * @property perSecond how fast it uses at present.
 * @property windowUse what it believes all instances used within the last window.
 */
public data class AllowanceUse(val total: Double, val perSecond: Double, val windowUse: Double)

/**
 * One workspace's use within a sliding window, replicated on every instance.
 *
 * Each instance counts what it admits and what its peers tell that they admitted. Between two reports a
 * peer is taken to go on as fast as before, so that the instances of a busy workspace settle at shares
 * that together are the limit, and one that hears nothing keeps about its last share. A fresh instance,
 * which knows nothing of the last window, takes most of it as used until a peer tells.
 */
public class TokenAllowance(private var limit: AllowanceLimit, private val startedAt: MonotonicTime) {
    private class PeerUse(val incarnation: InstanceIncarnation, var use: AllowanceUse, var heardAt: MonotonicTime)

    private class Slice(val endsAt: MonotonicTime, var units: Double)

    private val peers = HashMap<InstanceId, PeerUse>()
    private val slices = ArrayDeque<Slice>()
    private var used = 0.0
    private var total = 0.0
    private var ratePerSecond = 0.0
    private var rateAt = startedAt
    private var unknownUse = limit.units * UNKNOWN_SHARE

    /** Whether so much is used that peers should hear of each admission soon. */
    public fun isTight(now: MonotonicTime): Boolean = available(now) < limit.units * TIGHT_SHARE

    /** What this instance tells its peers. */
    public fun use(now: MonotonicTime): AllowanceUse {
        decayRate(now)
        return AllowanceUse(total, ratePerSecond, limit.units - available(now))
    }

    /** Changes the limit. */
    public fun reshape(newer: AllowanceLimit) {
        unknownUse *= newer.units / limit.units
        limit = newer
    }

    /** Takes [cost] units if the limit leaves them. */
    public fun take(cost: Double, now: MonotonicTime): Boolean {
        if (available(now) < cost) return false
        record(cost, now)
        total += cost
        decayRate(now)
        ratePerSecond += cost / RATE_WINDOW_SECONDS
        return true
    }

    /** Gives back [cost] units of a request that did not run. */
    public fun giveBack(cost: Double, now: MonotonicTime) {
        record(-cost, now)
        total -= cost
    }

    /** How long until [cost] units are left, if nobody uses any more; the whole window if the limit is below that. */
    public fun timeUntil(cost: Double, now: MonotonicTime): Duration {
        var missing = cost - available(now)
        for (slice in slices) {
            if (missing <= 0) return (slice.endsAt - now).coerceAtLeast(Duration.ZERO)
            missing -= slice.units
        }
        return limit.window
    }

    /** Counts what a peer used since its last report. */
    public fun heard(peer: InstanceId, incarnation: InstanceIncarnation, use: AllowanceUse, now: MonotonicTime) {
        val known = peers[peer]
        if (known == null || known.incarnation != incarnation) {
            peers[peer] = PeerUse(incarnation, use, now)
            if (now - startedAt < limit.window) unknownUse = minOf(unknownUse, use.windowUse.coerceAtLeast(0.0))
            return
        }
        record(use.total - known.use.total, now)
        known.use = use
        known.heardAt = now
    }

    /** The units that may be used now. */
    public fun available(now: MonotonicTime): Double {
        while (slices.isNotEmpty() && slices.first().endsAt <= now) used -= slices.removeFirst().units
        val unheard = peers.values.sumOf { it.use.perSecond * seconds((now - it.heardAt).coerceAtMost(EXTRAPOLATION)) }
        val unknown = unknownUse * (1 - seconds(now - startedAt) / seconds(limit.window)).coerceAtLeast(0.0)
        return limit.units - used - unheard - unknown
    }

    private fun record(units: Double, now: MonotonicTime) {
        if (units == 0.0) return
        val endsAt = now + limit.window
        val last = slices.lastOrNull()
        if (last != null && endsAt - last.endsAt < SLICE) last.units += units else slices.addLast(Slice(endsAt, units))
        used += units
    }

    private fun decayRate(now: MonotonicTime) {
        if (now <= rateAt) return
        ratePerSecond *= exp(-seconds(now - rateAt) / RATE_WINDOW_SECONDS)
        rateAt = now
    }

    private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

    private companion object {
        /** The part of the window that a fresh instance takes as used: after a restart of all, use before and after stays within an eighth over. */
        const val UNKNOWN_SHARE = 0.75

        /** Below this part of the limit, admissions of peers matter before their next regular report. */
        const val TIGHT_SHARE = 0.3

        /** Long enough that single large prompts do not swing the rate, short against the windows in which limits are judged. */
        const val RATE_WINDOW_SECONDS = 1.5

        /** Uses this close together leave the window together; keeps a window in some eighty slices. */
        val SLICE = 100.milliseconds

        /** A peer that has been silent for longer may have ended; its share then falls to the others. */
        val EXTRAPOLATION = 3_000.milliseconds
    }
}
