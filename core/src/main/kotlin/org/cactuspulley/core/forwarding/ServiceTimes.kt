/*
 * Observed service times. How long a request may wait, when a silent attempt is given up and how long a target is drained are
 * derived from what recent requests of the same route took.
 */
package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The most recent observations of a duration. Old ones are discarded, because service times change with the load. */
public class RecentDurations {
    private class Observation(val duration: Duration, val expiresAt: MonotonicTime)

    private val observations = ArrayDeque<Observation>()
    private var sorted: List<Duration> = emptyList()

    /** The number of observations that [sorted] lacks. */
    private var unsorted = 0

    /** Records that [duration] was observed at [now]. */
    public fun record(duration: Duration, now: MonotonicTime) {
        if (observations.size == CAPACITY) observations.removeFirst()
        observations.addLast(Observation(duration, now + LIFETIME))
        unsorted++
    }

    /** Returns the smallest duration that at least [fraction] of the observations do not exceed; null if there are too few at [now]. */
    public fun quantile(fraction: Double, now: MonotonicTime): Duration? {
        sort(now)
        if (sorted.size < MIN_OBSERVATIONS) return null
        return sorted[(ceil(fraction * sorted.size).toInt() - 1).coerceAtLeast(0)]
    }

    private fun sort(now: MonotonicTime) {
        val hasExpired = observations.firstOrNull()?.let { it.expiresAt <= now } ?: false
        val isNearlySorted = unsorted == 0 || (sorted.size == CAPACITY && unsorted < CAPACITY / SORT_INTERVAL)
        if (!hasExpired && isNearlySorted) return
        while (observations.firstOrNull()?.let { it.expiresAt <= now } == true) observations.removeFirst()
        sorted = observations.map { it.duration }.sorted()
        unsorted = 0
    }

    private companion object {
        const val CAPACITY = 128

        /** Quantiles of fewer observations say little about the next request. */
        const val MIN_OBSERVATIONS = 5

        /** Full observations are sorted again when one in this many is new. */
        const val SORT_INTERVAL = 8

        /** Loads and caches change within this time. */
        val LIFETIME = 30.seconds
    }
}

/** What requests of one route have recently taken at the targets of one pool, counted from their sending. */
public class ServiceTimes {
    private val starts = RecentDurations()
    private val totals = RecentDurations()
    private val pauses = RecentDurations()

    /** Records at [now] that the first event of a stream, or the head of another response, took [duration]. */
    public fun recordStart(duration: Duration, now: MonotonicTime): Unit = starts.record(duration, now)

    /** Records at [now] that a complete response took [duration]. */
    public fun recordTotal(duration: Duration, now: MonotonicTime): Unit = totals.record(duration, now)

    /** Records at [now] that [duration] was the longest time between two consecutive events of a complete stream. */
    public fun recordLongestPause(duration: Duration, now: MonotonicTime): Unit = pauses.record(duration, now)

    /** Returns the shortest time of a complete response; zero if it is not known. No request is known to take less. */
    public fun shortestTotal(now: MonotonicTime): Duration = totals.quantile(0.0, now) ?: Duration.ZERO

    /** Returns the median time of a complete response; zero if it is not known. */
    public fun medianTotal(now: MonotonicTime): Duration = totals.quantile(MEDIAN, now) ?: Duration.ZERO

    /** Returns the median time to the first event of a stream, or to the head of another response; zero if it is not known. */
    public fun medianStart(now: MonotonicTime): Duration = starts.quantile(MEDIAN, now) ?: Duration.ZERO

    /** Returns the time within which almost all responses were complete; null if it is not known. */
    public fun usualTotal(now: MonotonicTime): Duration? = totals.quantile(ALMOST_ALL, now)

    /** Returns the time after which a response that is not complete is unusually slow; null if it is not known. */
    public fun totalLimit(now: MonotonicTime): Duration? = usualTotal(now)?.times(SAFETY_FACTOR)

    /**
     * Returns the time after which an attempt that has received nothing is unusually slow. Before there are enough observations, it
     * is the initial timeout of a TCP retransmission (RFC 6298).
     */
    public fun startLimit(now: MonotonicTime): Duration =
        starts.quantile(ALMOST_ALL, now)?.let { maxOf(it * SAFETY_FACTOR, UNNOTICED_DELAY) } ?: INITIAL_LIMIT

    /**
     * Returns the pause after which a stream that has begun is unusually slow. It is no less than for a start, because a target reads
     * the prompt of a run that it has preempted again before the run goes on.
     */
    public fun pauseLimit(now: MonotonicTime): Duration =
        maxOf(startLimit(now), (pauses.quantile(ALMOST_ALL, now) ?: INITIAL_LIMIT) * SAFETY_FACTOR)

    private companion object {
        const val MEDIAN = 0.5
        const val ALMOST_ALL = 0.95

        /** Requests wait in queues that grow, so that the next one may take longer than almost all before. */
        const val SAFETY_FACTOR = 2

        /** Delays of the event loop up to this length go unnoticed and must not count as silence of a target. */
        val UNNOTICED_DELAY = 250.milliseconds
        val INITIAL_LIMIT = 1.seconds
    }
}

/** The [ServiceTimes] of all routes. */
public class ServiceTimesRegistry {
    private val byPool = HashMap<PoolName, HashMap<RouteName, ServiceTimes>>()

    /** Returns the service times of [route] in [pool]. */
    public fun of(pool: PoolName, route: RouteName): ServiceTimes =
        byPool.getOrPut(pool) { HashMap() }.getOrPut(route) { ServiceTimes() }

    /** Returns the time within which almost all requests of every route in [pool] were complete; null if it is not known. */
    public fun usualTotal(pool: PoolName, now: MonotonicTime): Duration? =
        byPool[pool]?.values?.mapNotNull { it.usualTotal(now) }?.maxOrNull()

    /**
     * Returns the median time of a complete response in [pool], averaged over its routes; null if it is not known. Routes count alike,
     * whatever their number of requests.
     */
    public fun averageTotal(pool: PoolName, now: MonotonicTime): Duration? {
        val medians = byPool[pool]?.values?.map { it.medianTotal(now) }?.filter { it.isPositive() }.orEmpty()
        return if (medians.isEmpty()) null else medians.fold(Duration.ZERO, Duration::plus) / medians.size
    }

    /** Discards the service times of routes that [configuration] does not contain. */
    public fun retain(configuration: ForwardingConfiguration) {
        val names = configuration.routes.map { it.name }.toSet()
        byPool.values.forEach { it.keys.retainAll(names) }
    }
}
