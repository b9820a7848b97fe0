package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.rollout.ReleaseStage
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val DURATION = 12.seconds

/** The time after the order in which the end of a release has been published. */
private val END_LIMIT = DURATION + 1.seconds
private const val EXPOSURE_RATIO = 0.1
private const val EXPOSURE_SLACK = 50

private fun ReleaseSimulation.failHalf() {
    val random = Random(2)
    fails = { version -> version == "v2" && random.nextBoolean() }
}

private fun ReleaseSimulation.exposureOf(version: String) = requests[version] ?: 0

/** The largest number of requests that a faulty version may have got so far. */
private val ReleaseSimulation.exposureLimit get() = (EXPOSURE_RATIO * requests.values.sum() + EXPOSURE_SLACK).toInt()

private fun ReleaseSimulation.stages() = instances.map { it.stage }.toSet()

class ReleaseDriverSpec : DescribeSpec({
    describe("a release under 200 requests a second at each of three instances") {
        it("of a good version is completed by its deadline on all instances") {
            simulateRelease {
                order(DURATION)
                runUntil(END_LIMIT) { lastProgress == ReleaseProgress.COMPLETED } shouldBe true
                run(1.seconds)
                stages() shouldBe setOf(ReleaseStage.Completed)
                statuses.first() shouldBe ReleaseStatus(RELEASED_POOL, "v2", ReleaseProgress.RUNNING)
            }
        }

        // Guards against a faulty version that is completed, or that gets more requests than operators allow.
        it("of a version with failures is rolled back on all instances, within the bound on its requests") {
            simulateRelease {
                failHalf()
                order(DURATION)
                runUntil(END_LIMIT) { lastProgress == ReleaseProgress.ROLLED_BACK } shouldBe true
                run(1.seconds)
                stages() shouldBe setOf(ReleaseStage.RolledBack)
                exposureOf("v2") shouldBeGreaterThan 0
                exposureOf("v2") shouldBeLessThanOrEqualTo exposureLimit
                val before = exposureOf("v2")
                run(3.seconds)
                exposureOf("v2") shouldBe before
            }
        }
    }

    describe("an instance of the previous release in the fleet") {
        // Guards against a fleet that can't release while its instances are being replaced: such an instance tells nothing of releases.
        it("does not keep the others from completing the release") {
            simulateRelease {
                instances[0].isOfPreviousRelease = true
                order(DURATION)
                runUntil(END_LIMIT) { lastProgress == ReleaseProgress.COMPLETED } shouldBe true
            }
        }
    }

    describe("an instance that reaches the store but none of its peers") {
        // Guards against requests to a version that was rolled back, from an instance that no peer can tell.
        it("reads from the store that the release was rolled back") {
            simulateRelease {
                failHalf()
                order(DURATION)
                run(1.seconds)
                val cut = instances.first { !it.isHolder }
                cut.isCutFromPeers = true
                runUntil(END_LIMIT) { lastProgress == ReleaseProgress.ROLLED_BACK } shouldBe true
                run(2.seconds)
                cut.stage shouldBe ReleaseStage.RolledBack
            }
        }

        // Guards against exposure without anyone who would notice the faults: the holder of the lease may be gone.
        it("sends nothing to the new version once the last confirmation is two seconds old") {
            simulateRelease {
                order(DURATION)
                run(2.seconds)
                instances.forEach { it.isCutFromPeers = true }
                instances.forEach { it.isCutFromStore = true }
                run(3.seconds)
                val before = exposureOf("v2")
                run(2.seconds)
                exposureOf("v2") shouldBe before
            }
        }
    }

    describe("an instance that restarts during a release") {
        it("continues the release from the state in the store, also if it decided on it") {
            simulateRelease {
                order(DURATION)
                runUntil(DURATION) { storedStates > 0 && holder != null } shouldBe true
                val decider = checkNotNull(holder)
                decider.restart()
                runUntil(END_LIMIT) { lastProgress == ReleaseProgress.COMPLETED } shouldBe true
                run(1.seconds)
                stages() shouldBe setOf(ReleaseStage.Completed)
            }
        }

        // Guards against a version that was rolled back and gets requests of an instance that knows nothing of that.
        it("sends nothing to a version that was rolled back before") {
            simulateRelease {
                failHalf()
                order(DURATION)
                runUntil(END_LIMIT) { lastProgress == ReleaseProgress.ROLLED_BACK } shouldBe true
                run(1.seconds)
                instances.forEach { it.restart() }
                val before = exposureOf("v2")
                run(3.seconds)
                exposureOf("v2") shouldBe before
                stages() shouldBe setOf(ReleaseStage.RolledBack)
            }
        }
    }

    describe("the loss of the instance that decides") {
        // Guards against a release that nobody ends, and against requests to the new version without anyone who decides.
        it("leaves the release to another one, which ends it by its deadline") {
            simulateRelease {
                failHalf()
                order(DURATION)
                runUntil(DURATION) { storedStates > 0 && holder != null } shouldBe true
                checkNotNull(holder).stop()
                runUntil(END_LIMIT) { lastProgress == ReleaseProgress.ROLLED_BACK } shouldBe true
                exposureOf("v2") shouldBeLessThanOrEqualTo exposureLimit
            }
        }
    }

    describe("a store that was restored from a copy without the end of a release") {
        // Guards against a release that returns to running, and against a copy that keeps showing operators an earlier state.
        it("gets the end of the release again, with its status") {
            simulateRelease {
                failHalf()
                order(DURATION)
                runUntil(END_LIMIT) { lastProgress == ReleaseProgress.ROLLED_BACK } shouldBe true
                run(2.seconds)
                restoreStore(kept = 1)
                statuses.clear()
                runUntil(10.seconds) { lastProgress == ReleaseProgress.ROLLED_BACK } shouldBe true
                run(1.seconds)
                statuses.map { it.progress } shouldNotContain ReleaseProgress.RUNNING
                storedStates shouldBeGreaterThan 1
                stages() shouldBe setOf(ReleaseStage.RolledBack)
            }
        }
    }

    describe("targets with a version that was never ordered") {
        // Guards against targets that stay unused because no order names their version, as in deployments without releases.
        it("get requests once the operators' topic has been read") {
            simulateRelease(size = 1) {
                startTargets("v7")
                run(20.milliseconds)
                exposureOf("v7") shouldBe 0
                run(1.seconds)
                exposureOf("v7") shouldBeGreaterThan 0
            }
        }
    }
})
