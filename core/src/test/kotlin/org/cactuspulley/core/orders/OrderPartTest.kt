package org.cactuspulley.core.orders

import io.kotest.core.spec.style.FunSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeMonotonicallyIncreasing
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.cactuspulley.core.model.WeightsVersion

private const val FAULTS_UNTIL_MILLIS = 60_000L
private const val END_MILLIS = 110_000L

/**
 * Guards against orders that reach a target out of sequence and against too many concurrent weight loads. The simulation
 * includes pauses, crashes, slow and lost answers, late appends, and instances that each believe to be the only live one.
 */
class OrderPartTest : FunSpec({
    test("targets receive orders in sequence, keep to the limit of concurrent weight loads, and reach the configured weights") {
        checkAll(PropTestConfig(seed = 20_260_101, iterations = 100), Arb.long()) { seed ->
            val simulation = OrderSimulation(seed, FAULTS_UNTIL_MILLIS)
            for (version in 2..6) {
                simulation.runUntilMillis(version * 8_000L)
                simulation.changeWeights(version)
            }
            simulation.runUntilMillis(END_MILLIS)

            simulation.engines.values.forAll {
                it.fencingNumbers.shouldBeMonotonicallyIncreasing()
                it.weightsVersions.shouldBeMonotonicallyIncreasing()
                it.weights shouldBe WeightsVersion("6")
            }
            simulation.maxConcurrentLoads shouldBeInRange 1..2
        }
    }
})
