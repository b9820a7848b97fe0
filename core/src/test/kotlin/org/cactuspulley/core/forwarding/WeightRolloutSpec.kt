package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun member(id: String, incarnation: Long = 1) =
    FleetMember(InstanceId(id), InstanceIncarnation(incarnation), ZoneName("zone-a"), "10.0.0.9:1", "10.0.0.9:2")

/** Simulates a rollout in virtual time over targets that take [loadTime] to load weights. */
private class RolloutSimulation(targets: Int, private val loadTime: Duration = 450.milliseconds) {
    val directory = TargetDirectory().apply { (1..targets).forEach { upsert(entry("t-$it")) } }
    val desired = DesiredWeightsTracker()
    val fleet = FleetView(member("i-1"))
    val serviceTimes = ServiceTimesRegistry()
    val lease = OrderLease(InstanceId("i-1"), fleet, RolloutSettings())
    val rollout = WeightRollout(InstanceId("i-1"), directory, desired, fleet, serviceTimes, lease = lease)
    var now = START
    var claims = 0
    var renewals = 0

    /** The token of the newest claim in the store. */
    var lastToken = 0L

    /** The store's answer to a claim that is made with a new token at some time. */
    var claimAnswer: (ClaimNumber, MonotonicTime) -> ClaimAnswer = ClaimAnswer::Granted
    var orderAnswer = OrderAnswer.ACCEPTED
    val orders = mutableListOf<RolloutAction.Order>()
    private val loads = HashMap<TargetId, Pair<Long, MonotonicTime>>()
    private val versions = HashMap<TargetId, Long>()
    var mostLoading = 0

    /** Lets the usual time of a complete response be [duration]. */
    fun observeTotals(duration: Duration) =
        repeat(10) { serviceTimes.of(POOL, RouteName("route/ask/")).recordTotal(duration, now) }

    fun run(duration: Duration) {
        val until = now + duration
        while (now < until) {
            loads.filterValues { it.second <= now }.forEach { (target, load) ->
                versions[target] = load.first
                loads.remove(target)
            }
            perform(rollout.step(now))
            mostLoading = maxOf(mostLoading, rollout.loading.size)
            now += 10.milliseconds
        }
    }

    private fun perform(actions: List<RolloutAction>) {
        for (action in actions) {
            when (action) {
                is RolloutAction.Claim -> {
                    if (action.last != null || rollout.mayClaim(now)) {
                        if (action.last == null) claims++ else renewals++
                        rollout.onClaimAnswer(claimAnswer(ClaimNumber(0, ++lastToken), now), now)
                    } else {
                        rollout.onClaimAnswer(ClaimAnswer.Lost, now)
                    }
                }

                is RolloutAction.RequestReport -> perform(rollout.onReport(action.target, report(action.target), now))

                is RolloutAction.Order -> {
                    orders += action
                    if (orderAnswer == OrderAnswer.ACCEPTED) loads[action.target] = action.weights.version to now + loadTime
                    rollout.onOrderAnswer(action.target, orderAnswer, now)
                }
            }
        }
    }

    private fun report(target: TargetId) =
        TargetReport(mapOf(MODEL to (versions[target] ?: 1L)), isBusy = target in loads, ordersAccepted = 0, running = 0, waiting = 0)
}

class WeightRolloutSpec : DescribeSpec({
    describe("a rollout") {
        it("does nothing while no target is outdated") {
            val simulation = RolloutSimulation(8)
            simulation.desired.record(MODEL, 1, START)
            simulation.run(5.seconds)
            simulation.claims shouldBe 0
            simulation.rollout.nextDeadline shouldBe null
        }

        // Guards against a release that nobody decides, because the lease is claimed for weight orders only, and against a lease that is
        // renewed for ever.
        it("claims the lease for another use of it as long as that requires it") {
            val simulation = RolloutSimulation(8)
            simulation.lease.require(LeaseUse.RELEASES, true)
            simulation.run(5.seconds)
            simulation.lease.isHeld(simulation.now) shouldBe true
            simulation.orders.shouldBeEmpty()
            simulation.lease.require(LeaseUse.RELEASES, false)
            simulation.run(5.seconds)
            simulation.lease.isHeld(simulation.now) shouldBe false
        }

        it("updates all targets to the newest weights, at most half of them at a time, with one order each") {
            val simulation = RolloutSimulation(8)
            simulation.desired.record(MODEL, 2, START)
            simulation.run(6.seconds)
            simulation.rollout.isNeeded shouldBe false
            simulation.orders.groupBy { it.target }.values.forEach { it shouldHaveSize 1 }
            simulation.orders shouldHaveSize 8
            simulation.mostLoading shouldBe 4
            simulation.claims shouldBe 1
            simulation.renewals shouldBeLessThan 20
        }

        it("skips a version that was superseded before a target was updated") {
            val simulation = RolloutSimulation(8, loadTime = 900.milliseconds)
            simulation.desired.record(MODEL, 2, START)
            simulation.run(500.milliseconds)
            simulation.desired.record(MODEL, 3, simulation.now)
            simulation.run(8.seconds)
            simulation.rollout.isNeeded shouldBe false
            (simulation.orders.count { it.weights.version == 2L }) shouldBe 4
        }

        it("orders targets without running requests to let requests finish") {
            val simulation = RolloutSimulation(2)
            simulation.desired.record(MODEL, 2, START)
            simulation.run(4.seconds)
            simulation.orders.map { it.runs }.toSet() shouldBe setOf(RunsDuringLoad.FINISH)
        }

        // Guards against running requests that continue on other weights, where their output is unusable, although they would end soon.
        it("waits for running requests for as long as they usually take, and no longer") {
            val simulation = RolloutSimulation(1)
            simulation.observeTotals(1_200.milliseconds)
            simulation.directory[TargetId("t-1")]?.load?.add(1.0)
            simulation.desired.record(MODEL, 2, START)
            simulation.run(1_100.milliseconds)
            simulation.orders.shouldBeEmpty()
            simulation.run(200.milliseconds)
            simulation.orders shouldHaveSize 1
        }

        it("orders a target soon after its last request has ended, however long requests usually take") {
            val simulation = RolloutSimulation(1)
            simulation.observeTotals(1_200.milliseconds)
            simulation.directory[TargetId("t-1")]?.load?.add(1.0)
            simulation.desired.record(MODEL, 2, START)
            simulation.run(200.milliseconds)
            simulation.directory[TargetId("t-1")]?.load?.add(-1.0)
            simulation.run(150.milliseconds)
            simulation.orders shouldHaveSize 1
        }

        // Of the eight seconds until the limit for starts, the lease and the loading leave four for draining two batches.
        it("leaves the second batch as much time for draining as the first, if requests take longer than both") {
            val simulation = RolloutSimulation(2)
            simulation.observeTotals(10.seconds)
            simulation.directory.all.forEach { it.load.add(1.0) }
            simulation.desired.record(MODEL, 2, START)
            simulation.run(1_950.milliseconds)
            simulation.orders.shouldBeEmpty()
            simulation.run(150.milliseconds)
            simulation.orders shouldHaveSize 1
            simulation.run(1_800.milliseconds)
            simulation.orders shouldHaveSize 1
            simulation.run(250.milliseconds)
            simulation.orders shouldHaveSize 2
        }

        // Guards against targets that keep replaced weights past the limit because each new holder of the claim drains them anew.
        it("orders all targets within eight seconds of the naming if the claim is granted after almost seven, although all are busy") {
            val simulation = RolloutSimulation(13)
            simulation.directory.all.forEach { it.load.add(1.0) }
            simulation.desired.record(MODEL, 2, START)
            simulation.claimAnswer = { _, _ -> ClaimAnswer.Unknown }
            simulation.run(6.9.seconds)
            simulation.claimAnswer = ClaimAnswer::Granted
            simulation.run(1.1.seconds)
            simulation.orders.map { it.target }.toSet() shouldHaveSize 13
        }

        // Guards against starts on replaced weights by requests whose sender stands still and that only an order returns.
        it("orders the fullest targets first if the claim is granted after the time for draining") {
            val simulation = RolloutSimulation(4)
            simulation.directory.all.forEachIndexed { index, target -> target.load.add(index + 1.0) }
            simulation.desired.record(MODEL, 2, START)
            simulation.claimAnswer = { _, _ -> ClaimAnswer.Unknown }
            simulation.run(7.1.seconds)
            simulation.claimAnswer = ClaimAnswer::Granted
            simulation.run(0.7.seconds)
            simulation.orders.first().target shouldBe TargetId("t-4")
        }

        it("repeats an order that was lost") {
            val simulation = RolloutSimulation(1)
            simulation.orderAnswer = OrderAnswer.UNANSWERED
            simulation.desired.record(MODEL, 2, START)
            simulation.run(1.seconds)
            simulation.orderAnswer = OrderAnswer.ACCEPTED
            simulation.run(3.seconds)
            simulation.rollout.isNeeded shouldBe false
        }
    }

    // Guards against targets that get no requests for as long as the store is down.
    describe("a rollout whose claim cannot be renewed") {
        it("lets targets serve that it has not ordered") {
            val simulation = RolloutSimulation(4)
            simulation.directory.all.forEach { it.load.add(1.0) }
            simulation.desired.record(MODEL, 2, START)
            simulation.run(200.milliseconds)
            simulation.rollout.loading shouldHaveSize 2
            simulation.claimAnswer = { _, _ -> ClaimAnswer.Unknown }
            simulation.run(1.seconds)
            simulation.rollout.loading.shouldBeEmpty()
        }
    }

    describe("the claim") {
        it("is released when a target has seen a higher fencing token, and its token is not used again") {
            val simulation = RolloutSimulation(1)
            simulation.orderAnswer = OrderAnswer.FENCED
            simulation.desired.record(MODEL, 2, START)
            simulation.run(20.milliseconds)
            simulation.rollout.lastToken shouldBe null
            simulation.claimAnswer = { _, _ -> ClaimAnswer.Lost }
            simulation.run(2.seconds)
            simulation.orders shouldHaveSize 1
        }

        it("is not taken over until it has been known for its term and a lease") {
            val simulation = RolloutSimulation(1)
            simulation.fleet.recordContact(member("i-2"), serves = true, reachesStore = true, START)
            simulation.lastToken = 3
            simulation.rollout.recordClaim(InstanceId("i-2"), ClaimNumber(0, 3), START)
            simulation.desired.record(MODEL, 2, START)
            simulation.run(3.9.seconds)
            simulation.claims shouldBe 0
            simulation.run(700.milliseconds)
            simulation.claims shouldBe 1
        }

        // Guards against a claim that nobody takes over, because a former holder's report hides that the newest holder has stopped.
        it("of the newest holder is taken over after its lease although a former holder still reports an older one") {
            val simulation = RolloutSimulation(1)
            simulation.fleet.recordContact(member("i-2"), serves = true, reachesStore = true, START)
            simulation.lastToken = 3
            simulation.rollout.recordClaim(InstanceId("i-2"), ClaimNumber(0, 3), START)
            simulation.desired.record(MODEL, 2, START)
            simulation.run(1.seconds)
            simulation.rollout.recordClaim(InstanceId("i-3"), ClaimNumber(0, 2), simulation.now)
            repeat(8) {
                simulation.fleet.recordContact(member("i-3"), serves = true, reachesStore = true, simulation.now)
                simulation.run(500.milliseconds)
            }
            simulation.claims shouldBe 1
        }

        it("is made by the best-ranked instance first") {
            val simulation = RolloutSimulation(1)
            val rank = run {
                (2..9).forEach { simulation.fleet.recordContact(member("i-$it"), serves = true, reachesStore = true, START) }
                simulation.fleet.rank("weight-rollout", START)
            }
            simulation.desired.record(MODEL, 2, START)
            simulation.run(100.milliseconds)
            simulation.claims shouldBe if (rank == 0) 1 else 0
            rank shouldBeLessThan 9
        }

        it("is released when a peer holds a higher token") {
            val simulation = RolloutSimulation(1)
            simulation.desired.record(MODEL, 2, START)
            simulation.run(10.milliseconds)
            simulation.rollout.lastToken shouldBe 1
            simulation.rollout.recordClaim(InstanceId("i-2"), ClaimNumber(0, 7), simulation.now)
            simulation.rollout.lastToken shouldBe null
        }
    }
})
