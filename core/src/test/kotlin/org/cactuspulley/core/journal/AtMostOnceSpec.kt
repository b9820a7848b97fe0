package org.cactuspulley.core.journal

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class AtMostOnceSpec : DescribeSpec({
    fun simulate(seed: Long, faults: Faults) = JournalSimulation(seed, faults).apply { run() }

    describe("journals of several instances over one log") {
        it("execute each key at most once despite crashes, pauses, lost answers, duplicates and outages") {
            forEachSeed { seed ->
                val simulation = simulate(seed, Faults.ALL)
                simulation.executions.groupBy { it.key }.filterValues { it.size > 1 }.keys.shouldBeEmpty()
            }
        }

        it("never execute a request that was refused or cancelled") {
            forEachSeed { seed ->
                val simulation = simulate(seed, Faults.ALL)
                val refused = simulation.decisions.filterValues { it != ClaimDecision.RunHere }.keys + simulation.cancelled
                simulation.executions.filter { it.request in refused }.shouldBeEmpty()
            }
        }

        it("return the answer of the single execution to a resend, and only for the same body") {
            forEachSeed { seed ->
                val simulation = simulate(seed, Faults.ALL)
                val recorded = simulation.decisions.mapNotNull { (request, decision) ->
                    (decision as? ClaimDecision.Recorded)?.let { simulation.submissionOf(request) to it.answer }
                }
                recorded.forEach { (submission, answer) ->
                    val execution = simulation.executions.single { it.key == submission.key }
                    answer shouldBe JournalSimulation.answerOf(execution)
                    submission.fingerprint shouldBe execution.fingerprint
                }
            }
        }

        it("execute every key when there are no faults") {
            forEachSeed { seed ->
                val simulation = simulate(seed, Faults.NONE)
                simulation.decisions.size shouldBe 30
                simulation.executions.map { it.key }.toSet() shouldBe
                    simulation.decisions.keys.map { simulation.submissionOf(it).key }.toSet()
                simulation.decisions.values.count { it is ClaimDecision.Recorded } shouldBeGreaterThan 0
            }
        }

        it("execute more than half of the keys on average despite all faults") {
            val executionCount = SEEDS.sumOf { seed -> simulate(seed, Faults.ALL).executions.size }
            executionCount shouldBeGreaterThan SEEDS.count() * 3
        }
    }
})

private val SEEDS = 1L..300L

private fun forEachSeed(check: (Long) -> Unit) = SEEDS.forEach { seed -> withClue("seed $seed") { check(seed) } }
