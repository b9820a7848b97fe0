package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.ForwardingRoute
import org.cactuspulley.core.forwarding.NextStep
import org.cactuspulley.core.forwarding.Repeatability
import org.cactuspulley.core.forwarding.RequestProgress
import org.cactuspulley.core.forwarding.SendFailure
import org.cactuspulley.core.forwarding.ServiceTimes
import org.cactuspulley.core.forwarding.WeightedPool
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.settings.FleetBounds
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val POOL = PoolName("engines")
private val TICK = 100.milliseconds

/** The window in which repeats and requests are counted. */
private val WINDOW = 10.seconds

/** A fleet, the [slack] of its retry budget and the rate of the requests to one pool. */
private data class FleetCase(val instances: Int, val slack: Double, val requestsPerSecond: Double) {
    override fun toString() = "$instances instances, slack $slack, $requestsPerSecond requests/s"
}

private val SMALL_FLEETS = listOf(
    FleetCase(7, 54.0, 16.0),
    FleetCase(7, 54.0, 45.0),
    FleetCase(8, 56.0, 16.0),
    FleetCase(8, 56.0, 45.0),
)
private val LARGE_FLEETS = listOf(FleetCase(80, 200.0, 50.0), FleetCase(95, 230.0, 50.0))

/** The repeats in the window that exceeds most what the limits of the fleet allow. */
private data class WorstWindow(val fleet: FleetCase, val repeats: Int, val allowed: Double) {
    override fun toString() = "$fleet: $repeats repeats in a window, $allowed allowed"
}

/**
 * Sends requests to one pool through random instances that are up, and repeats those that the targets refuse as often as the instances
 * decide to.
 */
private class PoolTraffic(private val simulation: ExchangeSimulation, private val fleet: FleetCase, private val bounds: FleetBounds) {
    private val random = Random(1)
    private val now get() = simulation.now
    private val grant = ForwardingRoute(
        RouteName("ask"), "desk.example", "/ask/", Repeatability.RESUMABLE, isStream = true, isAnonymous = true,
        timeout = 15.seconds, latencyObjective = 1.seconds, maximumAttempts = 2, priority = 1, split = listOf(WeightedPool(POOL, 1.0)),
    ).let { ForwardingGrant(it, POOL, null, cost = 1.0, configurationVersion = 1) }
    private val serviceTimes = ServiceTimes()
    private val requests = mutableListOf<MonotonicTime>()
    private val repeats = mutableListOf<MonotonicTime>()
    private val waiting = mutableListOf<RequestProgress>()
    private val startedAt = now
    private var pendingRequests = 0.0

    /** Whether the targets refuse all requests, because they are full. */
    var areTargetsFull = false

    /** Whether refused requests wait until the targets have asked to be sent requests again. */
    var arePaused = false
        set(value) {
            field = value
            if (!value) {
                val due = waiting.toList()
                waiting.clear()
                due.forEach(::sendAgain)
            }
        }

    fun run(duration: Duration) = repeat((duration / TICK).toInt()) {
        simulation.runTimers(TICK)
        pendingRequests += fleet.requestsPerSecond * (TICK / 1.seconds)
        while (pendingRequests >= 1.0) {
            pendingRequests -= 1.0
            send()
        }
    }

    private fun send() {
        requests += now
        val instance = simulation.instances.filterNot { it.isDown }.random(random)
        val progress = RequestProgress(grant, null, now, instance.state.retryBudget(POOL, now), serviceTimes)
        progress.recordSent()
        if (areTargetsFull) refused(progress)
    }

    private fun sendAgain(progress: RequestProgress) {
        repeats += now
        progress.recordSent()
        if (areTargetsFull) refused(progress)
    }

    private fun refused(progress: RequestProgress) {
        if (progress.recordFailure(TargetId("t-1"), SendFailure.NOT_RUN_FULL, now) != NextStep.Retry) return
        if (arePaused) waiting += progress else sendAgain(progress)
    }

    /** The requests that count for a window are those in it, in the window before or half a window before, whichever are most. */
    fun worstWindow(): WorstWindow = (0..((now - startedAt) / TICK).toInt())
        .map { startedAt + TICK * it }
        .map { end ->
            val counted = listOf(end, end - WINDOW / 2, end - WINDOW).maxOf { requests.countUntil(it) }
            WorstWindow(fleet, repeats.countUntil(end), bounds.retryRatio * counted + bounds.retrySlack)
        }
        .maxBy { it.repeats - it.allowed }

    private fun List<MonotonicTime>.countUntil(end: MonotonicTime) = count { it > end - WINDOW && it <= end }
}

/** Returns the worst windows of those [fleets] that exceed their limits under [traffic], with further instances [joining]. */
private fun exceeded(
    fleets: List<FleetCase>,
    joining: Int = 0,
    traffic: ExchangeSimulation.(PoolTraffic) -> Unit,
): List<WorstWindow> = fleets.map { fleet ->
    val bounds = FleetBounds(retryRatio = 0.2, retrySlack = fleet.slack)
    simulate(fleet.instances + joining, bounds = bounds, joining = joining) {
        runTimers(4.seconds)
        PoolTraffic(this, fleet, bounds).also { traffic(it) }.worstWindow()
    }
}.filter { it.repeats > it.allowed }

class FleetRetryBudgetSpec : DescribeSpec({
    describe("the repeats of all instances in a window, while the targets refuse everything") {
        it("stay within the limits of the fleet if no instance starts or stops") {
            exceeded(SMALL_FLEETS + LARGE_FLEETS) { traffic ->
                traffic.run(20.seconds)
                traffic.areTargetsFull = true
                traffic.run(12.seconds)
            } shouldBe emptyList()
        }

        // Guards against a fleet that has its whole retry budget again after each restart.
        for (restarts in 1..3) {
            it("stay within the limits of the fleet though all instances restart, $restarts in a row") {
                exceeded(SMALL_FLEETS + LARGE_FLEETS) { traffic ->
                    traffic.run(20.seconds)
                    traffic.areTargetsFull = true
                    repeat(restarts) {
                        traffic.run(2.seconds)
                        instances.forEach { it.restart() }
                    }
                    traffic.run(12.seconds)
                } shouldBe emptyList()
            }
        }

        // Guards against instances that join with shares of a budget that the others have spent.
        it("stay within the limits of the fleet though further instances join") {
            exceeded(SMALL_FLEETS, joining = 5) { traffic ->
                traffic.run(20.seconds)
                traffic.areTargetsFull = true
                traffic.run(2.seconds)
                instances.filter { it.isDown }.forEach { it.join() }
                traffic.run(12.seconds)
            } shouldBe emptyList()
        }

        // Guards against shares for a small fleet in a large one, for a pool that gets its first request after the fleet has formed.
        it("stay within the limits of the fleet in a pool that gets its first requests") {
            listOf(0.seconds, WINDOW).flatMap { timeWithoutRequests ->
                exceeded(SMALL_FLEETS + LARGE_FLEETS) { traffic ->
                    runTimers(timeWithoutRequests)
                    traffic.areTargetsFull = true
                    traffic.run(12.seconds)
                }
            } shouldBe emptyList()
        }

        // Guards against instances that divide the budget among the few that they hear from, while the others also spend theirs.
        it("stay within the limits of the fleet while its zones are cut from each other") {
            exceeded(LARGE_FLEETS) { traffic ->
                areZonesCut = true
                traffic.run(5.seconds)
                instances.groupBy { it.member.zone }.values.forEach { it.first().restart() }
                traffic.run(75.seconds)
                traffic.areTargetsFull = true
                traffic.run(12.seconds)
            } shouldBe emptyList()
        }

        // Guards against waiting requests whose repeats are sent in the same window as those that the budget earns while they wait.
        it("stay within the limits of the fleet when the targets accept requests again for which repeats have waited") {
            exceeded(SMALL_FLEETS + LARGE_FLEETS) { traffic ->
                traffic.run(20.seconds)
                traffic.areTargetsFull = true
                traffic.arePaused = true
                traffic.run(10.seconds)
                traffic.arePaused = false
                traffic.run(12.seconds)
            } shouldBe emptyList()
        }
    }

    describe("the retry budget of an instance") {
        fun ForwardingState.repeats(
            now: MonotonicTime,
        ): Int = retryBudget(POOL, now).let { budget -> generateSequence { budget.tryTake() }.takeWhile { it }.count() }

        // Guards against first requests that are given up though the fleet has used none of its budget.
        for (size in 1..3) {
            it("allows a repeat of the first request after the start of a fleet of $size") {
                simulate(size) { instances.first().state.repeats(now) shouldBeGreaterThan 0 }
            }
        }

        it("is full for the first request of a pool when a window has passed since the start") {
            simulate(7, bounds = FleetBounds(retrySlack = 54.0)) {
                val state = instances.first().state
                state.repeats(now + WINDOW) shouldBe 6
                state.retryBudget(PoolName("other"), now).hasRetry shouldBe false
            }
        }

        // Guards against instances that each take themselves for the whole fleet.
        it("allows no repeat before the instance knows its fleet") {
            val member = FleetMember(InstanceId("i-1"), InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2")
            ForwardingState(member, FleetBounds(), MonotonicTime.ZERO).repeats(MonotonicTime.ZERO) shouldBe 0
        }
    }
})
