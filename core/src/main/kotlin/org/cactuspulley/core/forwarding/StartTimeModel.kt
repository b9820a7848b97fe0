package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimates the start latency of a request, the time to its first event or response head, from the work ahead of it at its target.
 *
 * A straight line is fitted to the recent observations of one route in one pool, with weights that decrease exponentially with each
 * newer observation.
 */
public class StartTimeModel {
    private var count = 0
    private var meanWork = 0.0
    private var meanSeconds = 0.0
    private var workVariance = 0.0
    private var covariance = 0.0

    /** The smoothed absolute difference in seconds between observations and estimates. */
    private var deviation = 0.0

    /** Whether there are enough observations for an estimate. */
    public val isKnown: Boolean get() = count >= MIN_OBSERVATIONS

    /** Records that a request started after [latency] at a target where [work] was ahead of it, its own included. */
    public fun record(work: Double, latency: Duration) {
        val seconds = latency.toDouble(DurationUnit.SECONDS)
        if (isKnown) deviation += (abs(seconds - estimateSeconds(work)) - deviation) * SMOOTHING
        count++
        val weight = maxOf(SMOOTHING, 1.0 / count)
        val workOffset = work - meanWork
        val secondsOffset = seconds - meanSeconds
        meanWork += weight * workOffset
        meanSeconds += weight * secondsOffset
        workVariance = (1 - weight) * (workVariance + weight * workOffset * workOffset)
        covariance = (1 - weight) * (covariance + weight * workOffset * secondsOffset)
    }

    /**
     * Returns the start latency that a request with [work] ahead of it will probably not exceed: the estimate and the usual deviation
     * from it; null if there are too few observations.
     */
    public fun estimate(work: Double): Duration? = if (isKnown) (estimateSeconds(work) + deviation).seconds else null

    /** Returns the mean start latency of requests with [work] ahead of them; null if there are too few observations. */
    public fun mean(work: Double): Duration? = if (isKnown) estimateSeconds(work).seconds else null

    private fun estimateSeconds(work: Double): Double = (meanSeconds + slope() * (work - meanWork)).coerceAtLeast(0.0)

    /** The seconds for each unit of work. While the work has hardly varied, a unit is assumed to take as long as the mean start. */
    private fun slope(): Double {
        val assumed = meanSeconds / maxOf(meanWork, 1.0)
        return ((covariance + assumed * ASSUMED_VARIANCE) / (workVariance + ASSUMED_VARIANCE)).coerceAtLeast(0.0)
    }

    private companion object {
        /** A line through fewer points says little about the next request. */
        const val MIN_OBSERVATIONS = 5

        /** The weight of the newest observation; about 64 of them, a second of a busy route, determine the estimate. */
        const val SMOOTHING = 1.0 / 64

        /** The variance of the work below which the assumed slope outweighs the observed one: that of work spread by 0.2 units. */
        const val ASSUMED_VARIANCE = 0.04
    }
}

/**
 * The work that a request finds at a target, as far as the target's load is known.
 *
 * @property units the work ahead of the request, its own included, as [StartTimeModel] counts it.
 * @property fullSlotRounds how many times all slots must become free before the request gets one; 0 if a slot is free.
 */
public data class ExpectedWork(val units: Double, val fullSlotRounds: Double) {
    /** Derivation from a target's load. */
    public companion object {
        /**
         * Returns the work ahead of a request that places [units] of load on [target]. An engine reads prompts one after the other, so
         * that all load counts; a plain service runs as many requests at the same time as it has slots, and others wait for these.
         */
        public fun at(target: Target, units: Double, hasPrompt: Boolean, now: MonotonicTime): ExpectedWork {
            val reported = target.health.load(now)
            val slots = (reported?.slots?.takeIf { it > 0 } ?: target.entry.slots).coerceAtLeast(1)
            val reportedCount = reported?.run { running + waiting } ?: 0
            if (hasPrompt) return ExpectedWork(target.load.total(now) + units, rounds(reportedCount.toDouble(), slots))
            return ExpectedWork(rounds(maxOf(target.load.total(now), reportedCount.toDouble()), slots), fullSlotRounds = 0.0)
        }

        private fun rounds(requests: Double, slots: Int): Double = (requests + 1 - slots).coerceAtLeast(0.0) / slots
    }
}
