/*
 * Decides which requests leave the zone of their instance. A zone's own targets serve its requests as long as they can do so in time;
 * the share of requests that leave grows and shrinks gradually beyond that.
 */
package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.ZoneName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What the choice of a zone depends on in a request.
 *
 * @property objectiveAt until when a start of the response is on time.
 * @property latestStart until when a response must start so that it can be complete by its deadline.
 * @property units the load that the request places on its target until its response starts, in the units of [TargetLoad].
 * @property usualTotal what a whole response of the route usually takes; zero if it is not known.
 * @property bodyBytes the size of the body, which crosses the border of the zone with the request.
 */
public data class RequestTerms(
    val objectiveAt: MonotonicTime,
    val latestStart: MonotonicTime,
    val units: Double,
    val usualTotal: Duration,
    val bodyBytes: Int,
)

/** The requests of one route to one pool, for which the zone is decided in common. */
public data class ZoneFlow(val pool: PoolName, val route: RouteName)

/** A change of the share of a flow's requests that leave the zone. */
public data class ZoneShareChange(val flow: ZoneFlow, val share: Double)

/**
 * Decides whether requests stay in the [zone] of this instance or go to targets of other zones.
 *
 * A request may leave if it can start in time in another zone, with a margin that leaves that zone room for its own requests. The share of
 * the requests that do leave grows while requests would miss their objectives in the own zone, and shrinks when they would
 * clearly meet them. In between it stays, so that the zones do not exchange their load back and forth.
 *
 * @property minimumTargets the number of targets that a pool must have in the zone for any of this to apply to it.
 */
public class ZoneBalance(
    private val zone: ZoneName,
    private val random: Random = Random.Default,
    public val minimumTargets: Int = MINIMUM_TARGETS,
) {
    private class FlowState {
        val model = StartTimeModel()
        var share = 0.0
        var reportedShare = 0.0
        var updatedAt: MonotonicTime? = null
        var meanBytes: Double? = null
    }

    private class ZoneLink {
        /** The additional start latency in seconds of requests to the zone. */
        var seconds = INITIAL_LATENCY.toDouble(DurationUnit.SECONDS)

        /** Whether requests reach the zone, judged like the health of a single target. */
        val health = TargetHealth()
    }

    private val flows = HashMap<ZoneFlow, FlowState>()
    private val links = HashMap<ZoneName, ZoneLink>()

    /** The smoothed part of all recent requests that left the zone. */
    private var leavingPart = 0.0
    private var decidedAt: MonotonicTime? = null

    /** Records that a request of [flow] started [latency] after it was sent to a target in [destination], where it found [work]. */
    public fun recordStart(
        flow: ZoneFlow,
        destination: ZoneName,
        work: ExpectedWork,
        usualTotal: Duration,
        latency: Duration,
        now: MonotonicTime,
    ) {
        val model = flows.getOrPut(flow) { FlowState() }.model
        val withoutSlotWait = (latency - usualTotal * work.fullSlotRounds).coerceAtLeast(Duration.ZERO)
        if (destination == zone) return model.record(work.units, withoutSlotWait)
        val link = links.getOrPut(destination) { ZoneLink() }
        link.health.recordSuccess(now)
        val expected = model.estimate(work.units)
        if (expected == null) {
            model.record(work.units, (withoutSlotWait - link.seconds.seconds).coerceAtLeast(Duration.ZERO))
        } else {
            val additional = (withoutSlotWait - expected).coerceAtLeast(MINIMUM_LATENCY)
            link.seconds += (additional.toDouble(DurationUnit.SECONDS) - link.seconds) * LATENCY_SMOOTHING
        }
    }

    /** Records that a request to [destination] ended with [failure]. */
    public fun recordFailure(destination: ZoneName, failure: SendFailure, now: MonotonicTime) {
        if (destination == zone || (failure != SendFailure.UNREACHABLE && failure != SendFailure.SILENT)) return
        // A single target without a connection may have crashed; only two failures in a row mean that the link is lost.
        links.getOrPut(destination) { ZoneLink() }.health.recordFailure(SendFailure.SILENT, now)
    }

    /** Returns whether requests seem to reach [destination]. */
    public fun isReachable(destination: ZoneName, now: MonotonicTime): Boolean =
        destination == zone || links[destination]?.health?.isExcluded(now) != true

    /**
     * Returns the time after which a request of [flow] will probably have started at a target in [destination], where it finds [work] that
     * takes [slowdown] times as long as usual; null if it is not known.
     */
    public fun expectedStart(flow: ZoneFlow, destination: ZoneName, work: ExpectedWork, usualTotal: Duration, slowdown: Double): Duration? {
        val start = flows[flow]?.model?.estimate(work.units) ?: return null
        val network = if (destination == zone) Duration.ZERO else links[destination]?.seconds?.seconds ?: INITIAL_LATENCY
        return (start + usualTotal * work.fullSlotRounds) * slowdown + network
    }

    /**
     * Decides at [now] whether a request of [flow] leaves the zone; it is expected to start after [own] at the best target of its own zone
     * and after [other] at the best one of the other zones.
     */
    public fun leaves(flow: ZoneFlow, terms: RequestTerms, own: Duration?, other: Duration?, now: MonotonicTime): Boolean {
        if (own == null || other == null) return false.also { recordDecision(it, now) }
        val state = flows.getOrPut(flow) { FlowState() }
        val limit = limit(terms, minOf(own, other), now)
        val isOtherInTime = limit.isPositive() && other <= limit * OTHER_ZONE_MARGIN
        val pressure = if (limit.isPositive()) own / limit else Double.POSITIVE_INFINITY
        val perSecond = when {
            pressure > LEAVING_PRESSURE && isOtherInTime -> pressure.coerceAtMost(MAX_GROWTH)
            pressure > LEAVING_PRESSURE || pressure < RETURNING_PRESSURE -> -RETURN_RATE
            else -> 0.0
        }
        changeShare(state, perSecond, now)
        val meanBytes = state.meanBytes ?: terms.bodyBytes.toDouble()
        state.meanBytes = meanBytes + (terms.bodyBytes - meanBytes) * BYTES_SMOOTHING
        val isLeaving = isOtherInTime && state.share > 0 && random.nextDouble() < state.share * bytesFactor(state.share, meanBytes, terms)
        recordDecision(isLeaving, now)
        return isLeaving
    }

    /** Records that a request of [flow] had to leave, because no target of its own zone accepts it. */
    public fun recordForcedLeaving(flow: ZoneFlow, now: MonotonicTime) {
        changeShare(flows.getOrPut(flow) { FlowState() }, MAX_GROWTH, now)
        recordDecision(true, now)
    }

    /** Returns whether the targets of the own zone suffice for most of its requests, so that callers need not connect elsewhere. */
    public fun hasCapacity(now: MonotonicTime): Boolean {
        val last = decidedAt ?: return true
        return now - last > DECISION_LIFETIME || leavingPart < STEERING_PART
    }

    /** Returns the share of the requests of [flow] that leave the zone. */
    public fun share(flow: ZoneFlow): Double = flows[flow]?.share ?: 0.0

    /** Returns the shares that have changed noticeably since they were last returned. */
    public fun drainShareChanges(): List<ZoneShareChange> = flows.mapNotNull { (flow, state) ->
        val change = state.share - state.reportedShare
        val hasReachedEnd = change != 0.0 && (state.share == 0.0 || state.share == 1.0)
        if (!hasReachedEnd && change < REPORTED_CHANGE && change > -REPORTED_CHANGE) return@mapNotNull null
        state.reportedShare = state.share
        ZoneShareChange(flow, state.share)
    }

    /** Discards what is known of routes that [configuration] does not contain. */
    public fun retain(configuration: ForwardingConfiguration) {
        val names = configuration.routes.map { it.name }.toSet()
        flows.keys.removeIf { it.route !in names }
    }

    /** The time in which the request must start: within its objective if the [best] zone can still meet that, else within its deadline. */
    private fun limit(terms: RequestTerms, best: Duration, now: MonotonicTime): Duration {
        val untilObjective = terms.objectiveAt - now
        return if (best <= untilObjective) untilObjective else terms.latestStart - now
    }

    private fun changeShare(state: FlowState, perSecond: Double, now: MonotonicTime) {
        val elapsed = state.updatedAt?.let { (now - it).coerceIn(Duration.ZERO, LONGEST_STEP) } ?: Duration.ZERO
        state.updatedAt = now
        state.share = (state.share + perSecond * elapsed.toDouble(DurationUnit.SECONDS)).coerceIn(0.0, 1.0)
    }

    /** Requests with large bodies leave less often, because what crosses the border costs money. */
    private fun bytesFactor(share: Double, meanBytes: Double, terms: RequestTerms): Double =
        if (share == 1.0 || terms.bodyBytes <= meanBytes) 1.0 else meanBytes / terms.bodyBytes

    private fun recordDecision(isLeaving: Boolean, now: MonotonicTime) {
        leavingPart += ((if (isLeaving) 1.0 else 0.0) - leavingPart) * DECISION_SMOOTHING
        decidedAt = now
    }

    private companion object {
        /** With five targets, the others take the load of one that is lost within the load limit of 1.25 times the mean. */
        const val MINIMUM_TARGETS = 5

        /** A round trip between zones, at 1 ms to 2 ms one way, until starts there have been observed. */
        val INITIAL_LATENCY = 4.milliseconds

        /** The shortest round trip between zones. */
        val MINIMUM_LATENCY = 2.milliseconds

        /** The weight of the newest start in another zone; a link that slows down is noticed within 16 requests. */
        const val LATENCY_SMOOTHING = 1.0 / 16

        /** The part of a request's time that a start in the own zone may take; above it, the request would be late. */
        const val LEAVING_PRESSURE = 1.0

        /** Below this part the own zone can take requests back: a start may then take a third longer than expected and is still on time. */
        const val RETURNING_PRESSURE = 0.75

        /** A start in another zone may take this part of the request's time, so that the requests of that zone are on time beside it. */
        const val OTHER_ZONE_MARGIN = 0.75

        /** The largest growth of a share per second: all requests leave after 250 ms, which is no sooner than the next digests of peers. */
        const val MAX_GROWTH = 4.0

        /** The decrease of a share per second: the own zone gets all its requests back within two digest periods and a service time. */
        const val RETURN_RATE = 1.0

        /** The longest time for which one request changes the share: a digest period, after which the peers' loads are known again. */
        val LONGEST_STEP = 400.milliseconds

        /** The weight of the newest body in the mean size. */
        const val BYTES_SMOOTHING = 1.0 / 64

        /** The weight of the newest decision; 64 of them are less than a second of a busy instance. */
        const val DECISION_SMOOTHING = 1.0 / 64

        /** Callers are sent to other zones if more than this part of the requests leaves anyway. */
        const val STEERING_PART = 0.25

        /** After this time without a request, the last decisions no longer describe the zone; callers keep addresses for 1 s. */
        val DECISION_LIFETIME = 5.seconds

        /** A smaller change of a share is not reported. */
        const val REPORTED_CHANGE = 0.1
    }
}
