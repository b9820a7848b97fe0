package org.cactuspulley.core.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class QuarantineSpec : DescribeSpec({
    fun expectTwoTargetCrashes(createSimulation: (Long) -> QuarantineSimulation) = SEEDS.forEach { seed ->
        val simulation = createSimulation(seed)
        simulation.run()
        withClue("seed $seed") {
            simulation.targetCrashes shouldBe 2
            simulation.refused shouldBeGreaterThan 0
        }
    }

    describe("a request that crashes every target and is resubmitted to all instances after the first crash") {
        it("crashes exactly two targets") {
            expectTwoTargetCrashes { seed -> QuarantineSimulation(seed, messageLoss = 0.0) }
        }

        it("crashes exactly two targets when messages between instances are lost") {
            expectTwoTargetCrashes { seed -> QuarantineSimulation(seed, messageLoss = 0.2) }
        }

        it("crashes exactly two targets while the log is unavailable") {
            expectTwoTargetCrashes { seed -> QuarantineSimulation(seed, messageLoss = 0.0, logAvailable = false) }
        }

        it("crashes at most two targets when instances restart in the meantime") {
            SEEDS.forEach { seed ->
                val simulation = QuarantineSimulation(seed, messageLoss = 0.0, restarts = 4)
                simulation.run()
                withClue("seed $seed") { (simulation.targetCrashes <= 2) shouldBe true }
            }
        }
    }
})

private val SEEDS = 1L..200L
