package org.cactuspulley.standins.report

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.standins.checker.RunRecord
import org.cactuspulley.standins.deployment.CASCADIA
import org.cactuspulley.standins.load.ObservedRequest
import org.cactuspulley.standins.load.ObservedSend
import org.cactuspulley.standins.load.RequestOutcome
import org.cactuspulley.standins.load.SendOutcome
import org.cactuspulley.standins.server.CallOutcome
import org.cactuspulley.standins.server.ObservedCall

class MetricsSpec : DescribeSpec({
    val second = 1_000_000_000L

    fun sendOutcome(errorType: String?) = if (errorType == null) SendOutcome.WHOLE else SendOutcome.REFUSED

    fun request(startNanoseconds: Long, chargedTokens: Long, outcome: RequestOutcome, errorType: String? = null) = ObservedRequest(
        id = "r$startNanoseconds",
        workspace = WorkspaceId("puget-radiant"),
        profile = ProfileName("slab-question-small"),
        key = "key",
        contentDigest = "d$startNanoseconds",
        repeatable = true,
        chargedTokens = chargedTokens,
        usedTokens = if (outcome == RequestOutcome.COMPLETED) chargedTokens else 0,
        promptTokens = chargedTokens.toInt(),
        startNanoseconds = startNanoseconds,
        firstTokenNanoseconds = startNanoseconds + second,
        endNanoseconds = startNanoseconds + 2 * second,
        outcome = outcome,
        sends = listOf(ObservedSend("i", startNanoseconds, startNanoseconds + second, sendOutcome(errorType), errorType = errorType)),
    )

    fun call(pieces: List<Long>, cachedPieces: Int, oraclePieces: Int) = ObservedCall(
        target = TargetId("e"),
        incarnation = 1,
        attempt = "a",
        method = "POST",
        path = "/",
        contentDigest = "d",
        startNanoseconds = 0,
        outcome = CallOutcome.COMPLETED,
        promptTokens = pieces.size * 1024,
        cachedTokens = cachedPieces * 1024,
        oracleTokens = oraclePieces * 1024,
        pieces = pieces,
    )

    fun metricsOf(requests: List<ObservedRequest> = emptyList(), calls: List<ObservedCall> = emptyList()) =
        computeMetrics(RunRecord(CASCADIA, "p", 0, 60 * second, requests, calls), emptyList())

    describe("the metrics of a run") {
        it("give the prefix hit rate, the oracle hit rate and the recomputed tokens of engine calls") {
            val metrics = metricsOf(calls = listOf(call(listOf(1, 2), 0, 0), call(listOf(1, 2), 1, 2), call(listOf(1, 3), 0, 1)))
            metrics.prefixHitRate shouldBe 1.0 / 6
            metrics.oracleHitRate shouldBe 3.0 / 6
            metrics.wastedRecomputeTokens shouldBe 2 * 1024
        }

        it("count a refusal as within the rate only if one central bucket would have held enough tokens") {
            // The burst is 400,000 tokens and the rate 40,000 per second: the bucket holds 50,000 after 1 s and 170,000 after 4 s.
            val used = request(0, 390_000, RequestOutcome.COMPLETED)
            val refusedEarly = request(second, 100_000, RequestOutcome.REFUSED, "over_rate")
            val refusedLater = request(4 * second, 100_000, RequestOutcome.REFUSED, "over_rate")
            metricsOf(listOf(used, refusedEarly)).refusedWithinRate shouldBe 0
            metricsOf(listOf(used, refusedEarly, refusedLater)).refusedWithinRate shouldBe 1
        }

        it("measure the time to first token until the end of a request that got no token, and omit refused requests") {
            val failed = request(0, 10, RequestOutcome.FAILED).copy(firstTokenNanoseconds = null, endNanoseconds = 30 * second)
            val refused = request(0, 10, RequestOutcome.REFUSED, "queue_full")
            metricsOf(listOf(failed, refused)).timeToFirstTokenMillis.p50.toLong() / 1000 shouldBe 30
        }
    }
})
