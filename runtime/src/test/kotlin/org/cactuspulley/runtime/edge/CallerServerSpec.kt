package org.cactuspulley.runtime.edge

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.cactuspulley.core.effect.StopCompleted
import org.cactuspulley.core.event.AttemptFinished
import org.cactuspulley.core.event.AttemptFirstByte
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.requests.AttemptOutcome
import org.cactuspulley.core.requests.RequestSettings
import org.cactuspulley.core.routing.CacheTransfer
import org.cactuspulley.runtime.control.MonotonicClock
import java.util.Base64
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CHAT = "/v1/chat/completions"

/** Runs [test] against a router in front of targets with [behaviours]. */
private fun withRouter(
    vararg behaviours: TargetBehaviour,
    settings: CallerServerSettings = CallerServerSettings("127.0.0.1", 0),
    requestSettings: RequestSettings = RequestSettings(),
    test: (TestRouter, List<FakeTarget>) -> Unit,
) {
    val targets = behaviours.map(::FakeTarget)
    TestRouter(targets, settings, requestSettings).use { router ->
        try {
            test(router, targets)
        } finally {
            targets.forEach { it.close() }
        }
    }
}

private fun TestRouter.ask(body: String = chat(), path: String = CHAT, headers: List<String> = emptyList()): RawAnswer =
    RawCaller(port).use { caller ->
        caller.request("POST", path, body, listOf("Authorization: Bearer $KEY") + headers)
        caller.answer()
    }

private fun wholeStream(tokens: Int) = (0 until tokens).joinToString("") { "t$it " }

private fun RawAnswer.text() = Regex("\"content\":\"(.*?)\"").findAll(body).joinToString("") { it.groupValues[1] }

class CallerServerSpec : DescribeSpec({
    describe("a streamed answer") {
        it("reaches the caller whole, under the request's own id") {
            withRouter(streamingEngine(5)) { router, targets ->
                val answer = router.ask(headers = listOf("X-Request-Id: mine"))
                answer.status shouldBe 200
                answer.text() shouldBe wholeStream(5)
                answer.body shouldContain "data: [DONE]"
                answer.headers["x-request-id"] shouldBe "mine"
                answer.body shouldNotContain targets.single().seen.single().attempt
            }
        }

        it("is resumed at another target when its engine crashes, each token once") {
            val crashing = TargetBehaviour { request, connection ->
                connection.beginStream(request.attempt)
                repeat(3) { connection.token(request.attempt, it) }
            }
            withRouter(crashing, streamingEngine(6)) { router, targets ->
                router.ask().text() shouldBe wholeStream(6)
                targets[1].seen.single().resumeFrom shouldBe 3
            }
        }

        it("ends with an error event and no terminal marker when it can't be resumed") {
            val crashing = TargetBehaviour { request, connection ->
                connection.beginStream(request.attempt)
                connection.token(request.attempt, 0)
            }
            withRouter(crashing, crashing) { router, _ ->
                val answer = router.ask()
                answer.text() shouldBe "t0 "
                answer.body shouldNotContain "[DONE]"
                answer.body shouldContain "\"not_run\":false"
            }
        }

        it("is not taken from an answer with another request's id, in header or chunk") {
            val foreignHeader = TargetBehaviour { _, connection ->
                connection.beginStream("other")
                connection.token("other", 0)
            }
            val foreignChunk = TargetBehaviour { request, connection ->
                connection.beginStream(request.attempt)
                connection.token("other", 0)
            }
            for (foreign in listOf(foreignHeader, foreignChunk)) {
                withRouter(foreign, streamingEngine(4)) { router, targets ->
                    router.ask().text() shouldBe wholeStream(4)
                    targets[1].seen.single().resumeFrom shouldBe 0
                }
            }
        }

        it("has no chunk out of order, doubled or left out") {
            for (indices in listOf(listOf(0, 2), listOf(0, 0), listOf(1))) {
                val disordered = TargetBehaviour { request, connection ->
                    connection.beginStream(request.attempt)
                    indices.forEach { connection.token(request.attempt, it) }
                    connection.endStream(request.attempt, 3)
                }
                withRouter(disordered, streamingEngine(5)) { router, _ -> router.ask().text() shouldBe wholeStream(5) }
            }
        }

        it("is not whole when the last tokens are missing before the marker") {
            val short = TargetBehaviour { request, connection ->
                connection.beginStream(request.attempt)
                connection.token(request.attempt, 0)
                connection.endStream(request.attempt, 5)
            }
            withRouter(short, streamingEngine(5)) { router, _ -> router.ask().text() shouldBe wholeStream(5) }
        }

        it("does not fill memory when the caller reads slowly") {
            val sent = AtomicInteger()
            val blocked = CountDownLatch(1)
            val endless = TargetBehaviour { request, connection ->
                connection.sendBufferSize = 16_384
                connection.beginStream(request.attempt)
                val padding = "x".repeat(8_192)
                repeat(40_000) { index ->
                    connection.event("""{"id":"${request.attempt}","index":$index,"choices":[{"delta":{"content":"$padding"}}]}""")
                    if (sent.incrementAndGet() == 100) blocked.countDown()
                }
            }
            withRouter(endless) { router, _ ->
                RawCaller(router.port, receiveBufferBytes = 16_384).use { caller ->
                    caller.request("POST", CHAT, chat())
                    blocked.await(20, TimeUnit.SECONDS).shouldBeTrue()
                    val stalledAt = generateSequence { sent.get().also { TimeUnit.MILLISECONDS.sleep(500) } }
                        .zipWithNext().first { (before, after) -> before == after }.first
                    stalledAt shouldBeLessThan 4_000
                }
            }
        }
    }

    describe("an answer that is not streamed") {
        it("is passed on with the request's own id") {
            val engine =
                TargetBehaviour { request, connection -> connection.whole(request.attempt, """{"id":"${request.attempt}","x":1}""") }
            withRouter(engine) { router, _ ->
                val answer = router.ask(chat(stream = false))
                answer.status shouldBe 200
                answer.body shouldBe """{"id":"request-1","x":1}"""
            }
        }

        it("is a crash when it is empty, cut or broken off, and comes from another target then") {
            val empty = TargetBehaviour { request, connection -> connection.whole(request.attempt, "") }
            val emptyAndUnnamed = TargetBehaviour { _, connection ->
                connection.getOutputStream().text("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            }
            val cut = TargetBehaviour { request, connection ->
                connection.getOutputStream().text(
                    "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nX-Request-Id: ${request.attempt}\r\n\r\n{\"id\"",
                )
            }
            val silent = TargetBehaviour { _, _ -> }
            val good = TargetBehaviour { request, connection -> connection.whole(request.attempt, """{"id":"${request.attempt}"}""") }
            for (bad in listOf(empty, emptyAndUnnamed, cut, silent)) {
                withRouter(bad, good) { router, targets ->
                    router.ask(chat(stream = false)).status shouldBe 200
                    router.awaitEvent<AttemptFinished>().outcome shouldBe AttemptOutcome.Crashed(0)
                    targets[1].seen shouldHaveSize 1
                }
            }
        }
    }

    describe("cached blocks that another target holds") {
        val scope = Base64.getEncoder().encodeToString("scope".toByteArray())

        fun store(scope: String) = TargetBehaviour { _, connection ->
            connection.getOutputStream().text(
                "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Chain: 00000000000000ff\r\nX-Tokens: 1024\r\nX-Scope: $scope\r\n\r\nblocks",
            )
        }

        val engine = TargetBehaviour { request, connection ->
            if (request.uri == "/kv") connection.whole("", "") else streamingEngine(2).answer(request, connection)
        }

        fun seenByEngine(storedScope: String): List<SeenRequest> {
            val targets = listOf(FakeTarget(engine), FakeTarget(store(storedScope)))
            TestRouter(targets, handOver = CacheTransfer(TargetId("target-1"), 255, 1024)).use { router ->
                router.ask().text() shouldBe wholeStream(2)
            }
            targets.forEach { it.close() }
            targets[1].seen.single().uri shouldBe "/kv/00000000000000ff"
            return targets[0].seen
        }

        it("are moved to the target before the attempt") {
            val seen = seenByEngine(scope)
            seen.map { it.uri } shouldBe listOf("/kv", CHAT)
            seen.first().body shouldBe "blocks"
            seen.first().headers["x-scope"] shouldBe scope
        }

        it("are not moved when they are of another scope") {
            seenByEngine("b3RoZXI=").map { it.uri } shouldBe listOf(CHAT)
        }
    }

    describe("a caller that hangs up") {
        it("cancels its attempt at the engine") {
            val closed = CountDownLatch(1)
            val waiting = TargetBehaviour { request, connection ->
                connection.beginStream(request.attempt)
                connection.token(request.attempt, 0)
                if (connection.getInputStream().read() < 0) closed.countDown()
            }
            withRouter(waiting) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.request("POST", CHAT, chat())
                    router.awaitEvent<AttemptFirstByte>()
                }
                closed.await(20, TimeUnit.SECONDS).shouldBeTrue()
            }
        }
    }

    describe("the caller's key") {
        it("is seen by no target, in whatever form it comes") {
            val service = TargetBehaviour { request, connection -> connection.whole(request.attempt, "{}") }
            val headers = listOf("X-Api-Key: $KEY", "Cookie: session=$KEY", "X-Other: a $KEY b", "Proxy-Authorization: Bearer $KEY")
            withRouter(service) { router, targets ->
                router.ask("{}", "/stamps?api_key=$KEY&other=$KEY&kept=1", headers).status shouldBe 200
                val seen = targets.single().seen.single()
                seen.raw shouldNotContain KEY
                seen.uri shouldBe "/stamps?kept=1"
            }
            withRouter(streamingEngine(1)) { router, targets ->
                router.ask(headers = headers).status shouldBe 200
                targets.single().seen.single().raw shouldNotContain KEY
            }
        }

        it("is refused in a path or body") {
            withRouter(streamingEngine(1)) { router, targets ->
                router.ask(chat(content = KEY)).body shouldContain "key_in_request"
                router.ask("{}", "/stamps/$KEY").body shouldContain "key_in_request"
                targets.single().seen shouldHaveSize 0
            }
        }

        it("is refused on an open connection once it is withdrawn, with a true word that nothing ran") {
            withRouter(streamingEngine(2)) { router, targets ->
                RawCaller(router.port).use { caller ->
                    caller.request("POST", CHAT, chat())
                    caller.answer().status shouldBe 200
                    router.withdrawKey()
                    caller.request("POST", CHAT, chat())
                    val refused = caller.answer()
                    refused.status shouldBe 401
                    refused.body shouldContain "\"not_run\":true"
                    targets.single().seen shouldHaveSize 1
                }
            }
        }
    }

    describe("headers that only instances and targets may set") {
        it("are not passed on in either direction") {
            val leaking = TargetBehaviour { request, connection ->
                connection.getOutputStream().text(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: ${request.attempt}\r\nX-Cache-Scope: s\r\n" +
                        "Keep-Alive: timeout=1\r\nX-Hop: 1\r\nConnection: X-Hop\r\nX-Kept: 1\r\n\r\n{}",
                )
            }
            withRouter(leaking) { router, targets ->
                val forged =
                    listOf("X-Cache-Scope: forged", "X-Resume-From: 7", "X-Weights-Version: forged", "X-Hop: 1", "Connection: X-Hop")
                val answer = router.ask("{}", "/stamps", forged)
                val seen = targets.single().seen.single().headers
                listOf("x-cache-scope", "x-resume-from", "x-weights-version", "x-hop").filter { it in seen } shouldBe emptyList()
                listOf("x-cache-scope", "keep-alive", "x-hop").filter { it in answer.headers } shouldBe emptyList()
                answer.headers["x-kept"] shouldBe "1"
            }
        }
    }

    describe("a request that must not be repeated") {
        it("runs once and gives a resend the recorded answer") {
            val runs = AtomicInteger()
            val service = TargetBehaviour { request, connection ->
                connection.whole(request.attempt, """{"run":${runs.incrementAndGet()}}""", "201 Created")
            }
            withRouter(service, service) { router, targets ->
                val answers = List(3) { router.ask("{}", "/stamps", listOf("Idempotency-Key: stamp-1")) }
                answers.map { it.status to it.body }.toSet() shouldBe setOf(201 to """{"run":1}""")
                targets.flatMap { it.seen }.map { it.headers["idempotency-key"] } shouldBe listOf("stamp-1")
            }
        }

        it("is not answered with another request's answer") {
            val foreign = TargetBehaviour { _, connection -> connection.whole("other", "{}") }
            withRouter(foreign, foreign) { router, targets ->
                router.ask("{}", "/stamps").status shouldBe 502
                targets.flatMap { it.seen } shouldHaveSize 1
            }
        }

        it("is not sent again when its target crashed, and a resend is told so") {
            val silent = TargetBehaviour { _, _ -> }
            withRouter(silent, silent) { router, targets ->
                val first = router.ask("{}", "/stamps", listOf("Idempotency-Key: stamp-1"))
                first.status shouldBe 502
                first.body shouldContain "\"not_run\":false"
                router.ask("{}", "/stamps", listOf("Idempotency-Key: stamp-1")).body shouldContain "outcome_unknown"
                targets.flatMap { it.seen } shouldHaveSize 1
            }
        }
    }

    describe("a request that cannot be served") {
        val small =
            CallerServerSettings("127.0.0.1", 0, maximumBodyBytes = 1_000, maximumHeaderBytes = 2_000, arrivalTimeout = 300.milliseconds)

        it("is refused with a typed error: malformed JSON") {
            withRouter(streamingEngine()) { router, _ ->
                for (body in listOf("{", "[]", "{}", """{"model":"m"}""", """{"model":"m","messages":[1]}""")) {
                    val answer = router.ask(body)
                    answer.status shouldBe 400
                    answer.body shouldContain "malformed_request"
                    answer.body shouldContain "\"not_run\":true"
                }
            }
        }

        it("is refused with a typed error: body too large") {
            withRouter(streamingEngine(), settings = small) { router, _ ->
                val answer = router.ask(chat(content = "x".repeat(100_000)))
                answer.status shouldBe 413
                answer.body shouldContain "body_too_large"
            }
        }

        it("is refused with a typed error: headers too large") {
            withRouter(streamingEngine(), settings = small) { router, _ ->
                router.ask(headers = listOf("X-Long: ${"x".repeat(10_000)}")).status shouldBe 431
            }
        }

        it("is refused with a typed error: not HTTP") {
            withRouter(streamingEngine()) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.send("nonsense\r\n\r\n")
                    caller.answer().status shouldBe 400
                }
            }
        }

        it("is refused when it does not arrive whole in time") {
            withRouter(streamingEngine(), settings = small) { router, targets ->
                RawCaller(router.port).use { caller ->
                    caller.send("POST $CHAT HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\nAuthorization: Bearer $KEY\r\n\r\n{\"half")
                    val answer = caller.answer()
                    answer.status shouldBe 408
                    answer.body shouldContain "\"not_run\":true"
                    caller.isClosedByServer().shouldBeTrue()
                }
                targets.single().seen shouldHaveSize 0
            }
        }

        it("is refused above the limit of connections") {
            withRouter(streamingEngine(), settings = CallerServerSettings("127.0.0.1", 0, maximumConnections = 1)) { router, _ ->
                RawCaller(router.port).use { first ->
                    first.request("GET", "/healthz")
                    first.answer().status shouldBe 200
                    RawCaller(router.port).use { it.answer().body shouldContain "too_many_connections" }
                }
            }
        }

        it("is refused with a typed error: method, key, deadline, old idempotency key") {
            withRouter(streamingEngine()) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.request("GET", CHAT)
                    caller.answer().status shouldBe 405
                    caller.request("POST", CHAT, chat(), emptyList())
                    caller.answer().body shouldContain "key_missing"
                    caller.request("POST", CHAT, chat(), listOf("Authorization: Bearer wrong"))
                    caller.answer().body shouldContain "key_unknown"
                }
                router.ask(headers = listOf("X-Deadline-Ms: soon")).status shouldBe 400
                val old = router.ask("{}", "/stamps", listOf("Idempotency-Key: 01700000-0000-7000-8000-000000000000"))
                old.body shouldContain "idempotency_key_expired"
                old.body shouldContain "\"not_run\":false"
            }
        }

        it("is cancelled at its deadline") {
            val never = TargetBehaviour { _, connection -> connection.getInputStream().read() }
            withRouter(never) { router, _ ->
                val answer = router.ask(headers = listOf("X-Deadline-Ms: 200"))
                answer.status shouldBe 504
                answer.body shouldContain "\"not_run\":false"
            }
        }
    }

    describe("a graceful stop") {
        it("lets a running stream end, closes its connection after it, and serves those sent here meanwhile") {
            val stopping = CountDownLatch(1)
            val engine = TargetBehaviour { request, connection ->
                connection.beginStream(request.attempt)
                connection.token(request.attempt, 0)
                stopping.await(20, TimeUnit.SECONDS)
                connection.token(request.attempt, 1)
                connection.endStream(request.attempt, 2)
            }
            withRouter(engine, requestSettings = RequestSettings(entryAnswerLifetime = 500.milliseconds)) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.request("POST", CHAT, chat())
                    router.awaitEvent<AttemptFirstByte>()
                    router.submit(StopRequested(MonotonicClock.SYSTEM.now() + 30.seconds))
                    val late = RawCaller(router.port)
                    late.request("POST", CHAT, chat(content = "late"))
                    stopping.countDown()
                    caller.answer().text() shouldBe wholeStream(2)
                    caller.isClosedByServer().shouldBeTrue()
                    late.use { it.answer() }.headers["connection"] shouldBe "close"
                    router.awaitEffect<StopCompleted>()
                }
            }
        }
    }
})
