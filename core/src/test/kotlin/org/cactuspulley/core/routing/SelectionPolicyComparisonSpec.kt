package org.cactuspulley.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo

private const val SECONDS = 50
private const val SEED = 1L

/** Compares the policies on the same simulated traffic. Each of eight instances selects targets for its own share of the requests. */
class SelectionPolicyComparisonSpec : DescribeSpec({
    for (deployment in listOf(Deployment.CASCADIA, Deployment.QUEENSLAND)) {
        fun run(mode: SelectionMode) = SelectionSimulation(deployment, mode, SEED).run(SECONDS)

        describe("the prefix-aware policy for ${deployment.name}") {
            val chosen = run(SelectionMode.Production(SelectionPolicy.PREFIX_AWARE))
            val oracle = run(ORACLE)
            val leastLoaded = run(SelectionMode.Production(SelectionPolicy.LEAST_LOADED))
            val roundRobin = run(SelectionMode.Production(SelectionPolicy.ROUND_ROBIN))

            it("reaches at least 95 percent of the cache hit rate of the oracle") {
                chosen.hitRate shouldBeGreaterThanOrEqualTo oracle.hitRate * 0.95
            }

            it("has at most half the p99 time to first token of round robin, and a lower one than least loaded") {
                chosen.timeToFirstTokenMillis(99.0) shouldBeLessThanOrEqualTo roundRobin.timeToFirstTokenMillis(99.0) / 2
                chosen.timeToFirstTokenMillis(99.0) shouldBeLessThan leastLoaded.timeToFirstTokenMillis(99.0)
            }

            it("recomputes less than half as many tokens as least loaded") {
                chosen.recomputedTokens * 2 shouldBeLessThan leastLoaded.recomputedTokens
            }
        }
    }
})
