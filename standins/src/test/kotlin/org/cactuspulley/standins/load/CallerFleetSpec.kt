package org.cactuspulley.standins.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.standins.deployment.CASCADIA
import org.cactuspulley.standins.engine.EngineFaults
import org.cactuspulley.standins.engine.EngineSettings
import org.cactuspulley.standins.engine.EngineStandin
import org.cactuspulley.standins.server.CallOutcome
import org.cactuspulley.standins.server.HttpServer
import org.cactuspulley.standins.trace.FaultSet
import org.cactuspulley.standins.trace.TraceCompletion
import org.cactuspulley.standins.trace.TraceGenerator

class CallerFleetSpec : DescribeSpec({
    val plan = CASCADIA
    val completion = TraceGenerator(plan, 1, 10).generate(FaultSet.NONE).arrivals.filterIsInstance<TraceCompletion>().first()

    suspend fun withEngine(faults: EngineFaults, check: suspend (CallerFleet, EngineStandin) -> Unit) {
        val settings = EngineSettings(
            id = TargetId("engine"),
            models = listOf(ServedModel(plan.model, plan.weights)),
            prefillTokensPerSecond = 1_000_000,
            stepMicros = 100,
            restartMillis = 1,
        )
        EngineStandin(settings).use { engine ->
            engine.faults = faults
            val entry = HttpServer("127.0.0.1", 0) {
                it.respond(200, """{"addresses":[{"address":"${engine.address}"}],"valid_for_ms":60000}""".encodeToByteArray())
            }
            entry.use { CallerFleet(plan, { listOf(entry.address) }).use { fleet -> check(fleet, engine) } }
        }
    }

    describe("a caller") {
        it("gets its whole answer, with the cached tokens of the reused prefix") {
            withEngine(EngineFaults()) { fleet, engine ->
                fleet.send(completion).outcome shouldBe RequestOutcome.COMPLETED
                val again = fleet.send(completion)
                again.sends.map { it.outcome } shouldBe listOf(SendOutcome.WHOLE)
                again.cachedTokens shouldBe completion.prompt.sumOf { it.tokens } / 1024 * 1024
                engine.observedCalls.map { it.contentDigest }.distinct() shouldBe listOf(again.contentDigest)
            }
        }

        it("detects a stream that breaks off and retries") {
            withEngine(EngineFaults(cutStreams = 1)) { fleet, _ ->
                fleet.send(completion).sends.map { it.outcome } shouldBe listOf(SendOutcome.BROKEN, SendOutcome.WHOLE)
            }
        }

        it("detects an empty answer and retries") {
            withEngine(EngineFaults(emptyAnswers = 1)) { fleet, _ ->
                fleet.send(completion).sends.map { it.outcome } shouldBe listOf(SendOutcome.BROKEN, SendOutcome.WHOLE)
            }
        }

        it("detects the answer to another request") {
            withEngine(EngineFaults()) { fleet, engine ->
                fleet.send(completion)
                engine.faults = EngineFaults(foreignAnswers = 1)
                val other = completion.copy(
                    id = "other",
                    prompt =
                    completion.prompt.dropLast(1) + completion.prompt.last().copy(id = "other"),
                )
                fleet.send(other).sends.first().outcome shouldBe SendOutcome.FOREIGN
            }
        }

        it("fails a request that crashes its engine on every send") {
            withEngine(EngineFaults()) { fleet, engine ->
                fleet.send(completion.copy(poison = true)).outcome shouldBe RequestOutcome.FAILED
                engine.observedCalls.all { it.outcome == CallOutcome.CRASHED } shouldBe true
            }
        }
    }
})
