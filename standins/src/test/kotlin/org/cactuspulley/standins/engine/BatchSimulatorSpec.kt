package org.cactuspulley.standins.engine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class BatchSimulatorSpec : DescribeSpec({
    val settings = EngineSettings(TargetId("engine"), emptyList(), decodeSlots = 2, prefillTokensPerSecond = 10_240, stepMicros = 10_000)

    fun job(attempt: String, pieces: List<Long>, outputTokens: Int = 3, firstOutputToken: Int = 0, interactive: Boolean = true) =
        EngineJob(attempt, pieces.toLongArray(), IntArray(pieces.size) { 1024 }, outputTokens, firstOutputToken, interactive)

    class SimulatorFixture {
        val cache = PrefixCache(capacity = 64)
        val simulator = BatchSimulator(settings, cache)
        val outputs = ArrayList<Pair<Duration, EngineOutput>>()

        fun submit(job: EngineJob) = simulator.submit(job, MonotonicTime.ZERO)

        fun run() {
            while (true) {
                val now = simulator.nextDeadline ?: break
                simulator.advance(now).forEach { outputs.add(now - MonotonicTime.ZERO to it) }
            }
        }

        fun firstToken(attempt: String) = outputs.first { it.second is EngineOutput.Token && it.second.attempt == attempt }.first
        fun finished(attempt: String) = outputs.map { it.second }.filterIsInstance<EngineOutput.Finished>().single { it.attempt == attempt }
    }

    describe("a batch simulator") {
        it("generates the first token after the prompt is computed and one more in each later step") {
            val fixture = SimulatorFixture().apply { submit(job("a", listOf(1, 2))) }
            fixture.run()
            fixture.firstToken("a") shouldBe 220.milliseconds
            fixture.outputs.last().first shouldBe 240.milliseconds
        }

        it("reuses a cached prefix") {
            val fixture = SimulatorFixture().apply { submit(job("a", listOf(1, 2))) }
            fixture.run()
            fixture.submit(job("b", listOf(1, 2, 3)))
            fixture.run()
            fixture.finished("b").cachedTokens shouldBe 2048
        }

        it("computes the prompts of interactive requests before those of batch requests") {
            val fixture = SimulatorFixture()
            fixture.submit(job("batch", listOf(1, 2, 3), interactive = false))
            fixture.submit(job("slow", listOf(4, 5, 6), interactive = false))
            fixture.submit(job("interactive", listOf(7)))
            fixture.run()
            fixture.firstToken("interactive") shouldBeLessThan fixture.firstToken("slow")
        }

        it("generates only the tokens from the resume position on") {
            val fixture = SimulatorFixture().apply { submit(job("a", listOf(1), outputTokens = 5, firstOutputToken = 3)) }
            fixture.run()
            fixture.outputs.map { it.second }.filterIsInstance<EngineOutput.Token>().map { it.index } shouldBe listOf(3, 4)
        }

        it("generates nothing for a cancelled request") {
            val fixture = SimulatorFixture().apply { submit(job("a", listOf(1))) }
            fixture.simulator.cancel("a") shouldBe true
            fixture.run()
            fixture.outputs.shouldBeEmpty()
        }

        it("does not cache pieces that were computed with replaced weights") {
            val fixture = SimulatorFixture().apply { submit(job("a", listOf(1, 2, 3))) }
            fixture.simulator.replaceWeights()
            fixture.run()
            fixture.cache.size shouldBe 0
        }
    }
})
