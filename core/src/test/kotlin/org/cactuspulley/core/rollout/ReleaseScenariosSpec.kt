package org.cactuspulley.core.rollout

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cactuspulley.core.forwarding.POOL
import org.cactuspulley.core.rollout.ReleaseStage.Canary
import org.cactuspulley.core.rollout.ReleaseStage.Completed
import org.cactuspulley.core.rollout.ReleaseStage.RolledBack
import org.cactuspulley.core.rollout.ReleaseStage.Shifting
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun simulation(seed: Int = 1, behavior: (Sent) -> Response = { Response() }) =
    ReleaseSimulation(seed, behavior = behavior).apply {
        run(1.seconds)
        addTargets("v2")
        order("v2")
    }

/** Ends the holder now, or as soon as it is about to perform an action that [matches]; another instance takes over [later]. */
private fun ReleaseSimulation.loseHolder(later: Duration, matches: ((ReleaseAction) -> Boolean)? = null) {
    val lose = { instance: ReleaseSimulation.Instance ->
        instance.isLive = false
        hasHolder = false
    }
    if (matches == null) lose(instances.first()) else onAction = { instance, action -> if (matches(action) && hasHolder) lose(instance) }
    while (hasHolder) run(100.milliseconds)
    onAction = { _, _ -> }
    val share = toNew
    run(2_100.milliseconds)
    val afterPermission = toNew
    run(later - 2_100.milliseconds)
    withClue("without a holder, requests return to the old version") { toNew shouldBe afterPermission }
    withClue("the exposure does not grow much meanwhile") { (afterPermission - share) shouldBeLessThanOrEqualTo total / 20 }
    hasHolder = true
}

private fun ReleaseSimulation.shouldRollBack(duration: Duration = 12.seconds) {
    run(duration)
    stages shouldContainExactly setOf(RolledBack)
    statuses.last() shouldBe RolledBack
    withClue("the exposure bound holds without its slack") { toNew shouldBeLessThanOrEqualTo total / 10 }
    stoppedInTime shouldBe true
}

class ReleaseScenariosSpec : DescribeSpec({
    describe("a good version") {
        // Guards against an end that is written after the deadline, and against false alarms.
        it("is completed before the deadline") {
            (1..8).forEach { seed ->
                val simulation = simulation(seed)
                simulation.run(11.seconds)
                withClue("seed $seed: ${simulation.instances[0].controller.verdict(POOL)}") {
                    simulation.statuses shouldContainExactly listOf(Canary, Completed)
                    simulation.stored?.reportedEra shouldBe 0
                }
                val before = simulation.toNew
                simulation.run(1.seconds)
                withClue("after the end only the new version serves") { simulation.toNew - before shouldBe 200 }
            }
        }

        // Guards against a failing old target that makes the new version look better or worse than it is.
        it("is completed beside a target of the old version that fails") {
            val simulation = simulation { Response(fails = it.target == "v1-1" && it.chance < 0.5) }
            simulation.run(12.seconds)
            simulation.statuses.last() shouldBe Completed
        }

        // Guards against a release that a store which fails at the start or for a while makes impossible.
        it("is completed although the store fails twice") {
            val simulation = simulation()
            simulation.isStoreUp = false
            simulation.run(1.seconds)
            simulation.isStoreUp = true
            simulation.run(3.seconds)
            simulation.isStoreUp = false
            simulation.run(1.seconds)
            simulation.isStoreUp = true
            simulation.run(7.seconds)
            simulation.statuses shouldContainExactly listOf(Canary, Completed)
        }
    }

    describe("a bad version is rolled back within its bounds") {
        // Each guards against one kind of fault that goes unnoticed until the version serves alone.
        mapOf<String, (Sent) -> Response>(
            "bad at once" to { Response(fails = it.chance < 0.3) },
            "failing always" to { Response(fails = true) },
            "bad late" to { Response(fails = it.at > 7.seconds && it.chance < 0.4) },
            "bad under load" to { Response(fails = it.load >= 9 && it.chance < 0.5) },
            "bad on one route" to { Response(fails = it.route == "/b/" && it.chance < 0.4) },
            "slow only" to { Response(factor = if (it.chance < 0.4) 4.0 else 1.0) },
        ).forEach { (name, fault) ->
            it(name) {
                (1..4).forEach { seed ->
                    withClue("seed $seed") { simulation(seed) { if (it.version == "v2") fault(it) else Response() }.shouldRollBack() }
                }
            }
        }

        // Guards against an old target whose failures or slowness excuse the same faults of the new version.
        it("beside a target of the old version that has the same faults") {
            val simulation = simulation { sent ->
                val isBad = (sent.version == "v2" || sent.target == "v1-1") && sent.chance < 0.4
                Response(fails = isBad && sent.chance < 0.2, factor = if (isBad) 5.0 else 1.0)
            }
            simulation.shouldRollBack()
        }

        // Guards against a version that fails only when it gets most of the requests, right before its end.
        it("turning bad in the shift") {
            val simulation = simulation { Response(fails = it.version == "v2" && it.at > 9_400.milliseconds && it.chance < 0.5) }
            simulation.shouldRollBack()
        }

        // Guards against completing a release about which nothing is known.
        it("not receiving any request") {
            val simulation = simulation()
            simulation.removeTargets("v2")
            simulation.shouldRollBack()
        }
    }

    describe("the loss of the holder") {
        // Guards against a release that stays open, or against traffic that nobody watches.
        it("in the canary stage delays the release only") {
            val simulation = simulation()
            simulation.run(2.seconds)
            simulation.loseHolder(4.seconds)
            simulation.run(7.seconds)
            simulation.statuses.last() shouldBe Completed
        }

        it("before the shift is written leads to a rollback, as the remaining time is too short") {
            val simulation = simulation()
            simulation.loseHolder(4.seconds) { it is ReleaseAction.WriteState && it.state.stage == Shifting }
            simulation.run(1.seconds)
            simulation.stages shouldContainExactly setOf(RolledBack)
            simulation.statuses.last() shouldBe RolledBack
        }

        it("between the final state and its status lets the next holder write the status") {
            val simulation = simulation()
            simulation.loseHolder(3.seconds) { it is ReleaseAction.WriteStatus && it.stage == Completed }
            simulation.instances.filter { it.isLive }.forEach { it.releases.recordStored(checkNotNull(simulation.stored), simulation.now) }
            simulation.run(1.seconds)
            simulation.statuses shouldContainExactly listOf(Canary, Completed)
        }
    }

    describe("successive releases") {
        // Guards against a rollback to a version that no longer serves, and against a second trial of a bad version.
        it("go on from the version of the last one, and a version that was rolled back is never used again") {
            val simulation = ReleaseSimulation { Response(fails = it.version == "v3" && it.chance < 0.4) }
            simulation.run(1.seconds)
            simulation.addTargets("v2")
            simulation.order("v2", offset = 5)
            simulation.run(12.seconds)
            simulation.removeTargets("v1")
            simulation.addTargets("v3")
            simulation.order("v3", offset = 9)
            simulation.shouldRollBack()
            simulation.instances.forEach { it.releases.state(POOL)?.servedVersions shouldBe setOf("v1", "v2") }
            simulation.order("v2", offset = 11)
            simulation.run(100.milliseconds)
            simulation.order("v3", offset = 12)
            simulation.run(2.seconds)
            simulation.toNew shouldBe 0
            simulation.statuses.last() shouldBe RolledBack
        }
    }

    describe("a restored store") {
        // Guards against a completed release that runs again because the store shows its order and its first state again.
        it("gets the final state and status again") {
            val simulation = simulation()
            simulation.run(3.seconds)
            val copy = checkNotNull(simulation.stored)
            simulation.run(9.seconds)
            simulation.statuses.clear()
            simulation.stored = copy
            simulation.instances.forEach {
                it.releases.recordEra(1)
                it.releases.recordStored(copy, simulation.now)
            }
            simulation.order("v2", offset = 5, era = 1)
            simulation.run(3.seconds)
            simulation.stages shouldContainExactly setOf(Completed)
            simulation.statuses shouldContainExactly listOf(Completed)
            simulation.stored?.stage shouldBe Completed
            simulation.stored?.reportedEra shouldBe 1
        }

        // Guards against the order of an earlier release that a restored store shows as the newest one.
        it("does not bring back an order that a later one replaced") {
            val simulation = simulation()
            simulation.run(12.seconds)
            simulation.addTargets("v3")
            simulation.order("v3", offset = 9)
            simulation.run(3.seconds)
            simulation.instances.forEach { instance ->
                val old = ReleaseOrder.seen(POOL, "v2", ReleaseOrderId(1, 5), 12.seconds, simulation.now)
                instance.controller.recordOrder(old, simulation.now) shouldBe false
                instance.releases[POOL]?.targetVersion shouldBe "v3"
            }
            simulation.statuses.clear()
            simulation.run(9.seconds)
            simulation.statuses.first() shouldNotBe Completed
            simulation.statuses.last() shouldBe Completed
        }
    }

    describe("an instance that hears neither the holder nor the store") {
        // Guards against requests to a version that was rolled back meanwhile; peers of the previous release send no states.
        it("sends nothing to the new version after two seconds") {
            val simulation = simulation()
            simulation.run(3.seconds)
            simulation.isPeerContact = false
            simulation.hasHolder = false
            simulation.run(2_100.milliseconds)
            val before = simulation.toNew
            simulation.run(3.seconds)
            simulation.toNew shouldBe before
            simulation.statuses shouldNotContain Completed
        }
    }
})
