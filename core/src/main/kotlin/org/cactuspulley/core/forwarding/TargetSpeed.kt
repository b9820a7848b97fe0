/*
 * How fast targets are. They share their machines with others, so that their speeds differ and change; what the targets report and
 * what is observed of them is smoothed here before it influences where requests go.
 */
package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The observations of a time span, and their median. */
private class RecentMedian {
    private class Observation(val value: Double, val at: MonotonicTime)

    private val observations = ArrayDeque<Observation>()

    /** The time of the last observation; null if there was none. */
    var lastAt: MonotonicTime? = null
        private set

    fun record(value: Double, now: MonotonicTime) {
        if (observations.size == CAPACITY) observations.removeFirst()
        observations.addLast(Observation(value, now))
        lastAt = now
    }

    /** Returns the median of the observations within [span] before [now], or of the last three if those are fewer; null without three. */
    fun median(span: Duration, now: MonotonicTime): Double? {
        while (observations.firstOrNull()?.let { now - it.at > LIFETIME } == true) observations.removeFirst()
        if (observations.size < MIN_OBSERVATIONS) return null
        val count = observations.count { now - it.at <= span }.coerceAtLeast(MIN_OBSERVATIONS)
        val sorted = observations.takeLast(count).map { it.value }.sorted()
        return (sorted[(sorted.size - 1) / 2] + sorted[sorted.size / 2]) / 2
    }

    private companion object {
        const val CAPACITY = 64

        /** Of three observations, one may be an outlier without influence on the median. */
        const val MIN_OBSERVATIONS = 3

        /** Targets are slow for seconds; older observations say nothing about them. */
        val LIFETIME = 10.seconds
    }
}

/**
 * The smoothed slowdown of one target: 1.0 if work takes as long as usual, 2.0 if it takes twice as long.
 *
 * It is the median of what was observed within the time that a request takes, so that a change counts once it has lasted for half of that,
 * and a single outlier never does.
 */
public class TargetSpeed {
    private class PeerSlowdown(val value: Double, val expiresAt: MonotonicTime)

    private val reported = RecentMedian()
    private val observed = RecentMedian()
    private val peers = HashMap<InstanceId, PeerSlowdown>()

    /** The newest estimate of this instance, and its time; it is kept while nothing is observed. */
    private var estimate = USUAL
    private var estimatedAt: MonotonicTime? = null
    private var probedAt: MonotonicTime? = null
    private var lastDrained = USUAL

    /** Whether the target has reported how long work takes there. */
    public val isReported: Boolean get() = reported.lastAt != null

    /** Records the slowdown that the target reported; a request takes [requestTime]. */
    public fun recordReport(slowdown: Double, requestTime: Duration, now: MonotonicTime) {
        reported.record(slowdown.coerceIn(FASTEST, SLOWEST), now)
        update(requestTime, now)
    }

    /** Records that a request started [ratio] times as late as the same work does at the pool's median target. */
    public fun recordStart(ratio: Double, requestTime: Duration, now: MonotonicTime) {
        observed.record(ratio.coerceIn(FASTEST, SLOWEST), now)
        update(requestTime, now)
    }

    /** Records the slowdown that [peer] estimates, which counts until [expiresAt]. */
    public fun recordPeer(peer: InstanceId, slowdown: Double, expiresAt: MonotonicTime) {
        if (slowdown.isFinite() && slowdown > 0) peers[peer] = PeerSlowdown(slowdown.coerceIn(FASTEST, SLOWEST), expiresAt)
    }

    /** Returns the slowdown at [now]: this instance's recent estimate, else the mean of the peers', else 1.0. */
    public fun slowdown(now: MonotonicTime): Double {
        val at = estimatedAt
        if (at != null && now - at < FRESH_TIME) return estimate
        peers.values.removeIf { it.expiresAt <= now }
        if (peers.isNotEmpty()) return peers.values.sumOf { it.value } / peers.size
        return if (at != null && now - at < ESTIMATE_LIFETIME) estimate else USUAL
    }

    /** Returns the estimate to report to peers; null if it is outdated or does not differ from usual by more than the noise. */
    public fun reportToPeers(now: MonotonicTime): Double? {
        val at = estimatedAt ?: return null
        return estimate.takeIf { now - at < FRESH_TIME && abs(it - USUAL) > NOISE }
    }

    /** Whether work at the target takes longer than usual by more than the noise. */
    public fun isSlow(now: MonotonicTime): Boolean = slowdown(now) > USUAL + NOISE

    /** Returns the slowdown if it has changed by more than [REPORTED_FACTOR] since it was last returned; null otherwise. */
    public fun drainChange(now: MonotonicTime): Double? {
        val current = slowdown(now)
        if (maxOf(current / lastDrained, lastDrained / current) < REPORTED_FACTOR) return null
        lastDrained = current
        return current
    }

    /** Whether the target counts as slow but was not observed recently, so that its recovery would go unnoticed. */
    public fun needsProbe(now: MonotonicTime): Boolean =
        isSlow(now) && (lastObservedAt?.let { now - it >= FRESH_TIME } ?: true)

    /** Whether a probe was sent at or after which nothing was observed yet. */
    public fun isBeingProbed(now: MonotonicTime): Boolean {
        val at = probedAt ?: return false
        return now - at < PROBE_TIMEOUT && (lastObservedAt?.let { it < at } ?: true)
    }

    /** Records that a request is sent to the target to observe its speed. */
    public fun recordProbe(now: MonotonicTime) {
        probedAt = now
    }

    private val lastObservedAt: MonotonicTime? get() = listOfNotNull(reported.lastAt, observed.lastAt).maxOrNull()

    /** The target's own figures say more than start latencies, which also depend on work that this instance does not know of. */
    private fun update(requestTime: Duration, now: MonotonicTime) {
        val span = requestTime.coerceIn(SHORTEST_SPAN, LONGEST_SPAN)
        estimate = reported.median(span, now) ?: observed.median(span, now) ?: return
        estimatedAt = now
    }

    private companion object {
        const val USUAL = 1.0

        /** Estimates beyond these are outliers of the measurement; a factor of ten is more than shared machines differ by. */
        const val FASTEST = 0.1
        const val SLOWEST = 10.0

        /** Smaller differences from usual are noise: figures of single responses vary by this much on an evenly loaded machine. */
        const val NOISE = 0.2

        /** The smallest change that is reported to operators; smaller ones happen all the time on shared machines. */
        const val REPORTED_FACTOR = 1.5

        /** The shortest span of observations; requests may take less, but speeds change many times a second. */
        val SHORTEST_SPAN = 500.milliseconds

        /** The longest span of observations; targets that are slow for seconds are noticed within one second. */
        val LONGEST_SPAN = 2.seconds

        /** The time without observations after which the peers' estimates count and a slow target is probed; two digest periods. */
        val FRESH_TIME = 800.milliseconds

        /** After this time an estimate is discarded; targets are slow for seconds. */
        val ESTIMATE_LIFETIME = 10.seconds

        /** The time after which an unanswered probe no longer prevents another one; a slow request takes several seconds. */
        val PROBE_TIMEOUT = 3.seconds
    }
}

/** Derives the speeds of targets from the start latencies of requests, compared with those of the same work at the whole pool. */
public class TargetSpeeds {
    private class PoolStarts {
        val model = StartTimeModel()
        val ratios = RecentMedian()
    }

    private val starts = HashMap<ZoneFlow, PoolStarts>()

    /**
     * Records that a request of [flow] started [latency] after it was sent to [target], where it found [work]; a whole response usually
     * takes [usualTotal]. Starts that waited for a slot show the length of the queue rather than the speed, and are ignored.
     */
    public fun recordStart(
        flow: ZoneFlow,
        target: Target,
        work: ExpectedWork,
        usualTotal: Duration,
        latency: Duration,
        now: MonotonicTime,
    ) {
        if (work.fullSlotRounds > 0 || !latency.isPositive()) return
        val pool = starts.getOrPut(flow) { PoolStarts() }
        val expected = pool.model.mean(work.units)
        pool.model.record(work.units, latency)
        if (expected == null || !expected.isPositive()) return
        val ratio = latency / expected
        pool.ratios.record(ratio, now)
        val usual = pool.ratios.median(POOL_SPAN, now) ?: return
        if (usual > 0) target.speed.recordStart(ratio / usual, usualTotal, now)
    }

    /**
     * Returns the target of [candidates] that the next request should go to in order to observe its speed; null if there is none. A target
     * with more load than the mean will show its speed without a probe.
     */
    public fun selectProbe(candidates: List<Target>, now: MonotonicTime): Target? {
        if (candidates.size < 2 || candidates.any { it.speed.isBeingProbed(now) }) return null
        val meanLoad = candidates.sumOf { it.load.total(now) } / candidates.size
        return candidates.firstOrNull { it.speed.needsProbe(now) && it.load.total(now) <= meanLoad }?.also { it.speed.recordProbe(now) }
    }

    /** Discards what is known of routes that [configuration] does not contain. */
    public fun retain(configuration: ForwardingConfiguration) {
        val names = configuration.routes.map { it.name }.toSet()
        starts.keys.removeIf { it.route !in names }
    }

    private companion object {
        /** The span over which the starts of a pool are compared; loads and caches change more slowly. */
        val POOL_SPAN = 10.seconds
    }
}
