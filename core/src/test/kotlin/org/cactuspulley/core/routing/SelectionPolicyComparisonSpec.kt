package org.cactuspulley.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo

private const val SECONDS = 50
private const val SEED = 1L

/** Compares the policies over the same traffic in virtual time, eight instances each knowing only its own part. */
class SelectionPolicyComparisonSpec : DescribeSpec({
    for (deployment in listOf(Deployment.CASCADIA, Deployment.QUEENSLAND)) {
        fun run(mode: SelectionMode) = SelectionSimulation(deployment, mode, SEED).run(SECONDS)

        describe("the prefix-aware choice for ${deployment.name}") {
            val chosen = run(SelectionMode.Production(SelectionPolicy.PREFIX_AWARE))
            val oracle = run(ORACLE)
            val leastLoaded = run(SelectionMode.Production(SelectionPolicy.LEAST_LOADED))
            val roundRobin = run(SelectionMode.Production(SelectionPolicy.ROUND_ROBIN))

            it("hits the cache within a twentieth of exact knowledge") {
                chosen.hitRate shouldBeGreaterThanOrEqualTo oracle.hitRate * 0.95
            }

            it("answers the slowest hundredth in half the time of round robin and before least loaded") {
                chosen.timeToFirstTokenMillis(99.0) shouldBeLessThanOrEqualTo roundRobin.timeToFirstTokenMillis(99.0) / 2
                chosen.timeToFirstTokenMillis(99.0) shouldBeLessThan leastLoaded.timeToFirstTokenMillis(99.0)
            }

            it("recomputes less than half of what least loaded does") {
                chosen.recomputedTokens * 2 shouldBeLessThan leastLoaded.recomputedTokens
            }
        }
    }
})
