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

private const val CHAT_PATH = "/v1/chat/completions"

/** Runs [test] with a router and one fake target for each of [behaviours]. */
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

private fun TestRouter.post(body: String = chatBody(), path: String = CHAT_PATH, headers: List<String> = emptyList()): RawResponse =
    RawCaller(port).use { caller ->
        caller.sendRequest("POST", path, body, listOf("Authorization: Bearer $CALLER_KEY") + headers)
        caller.readResponse()
    }

private fun expectedText(tokens: Int) = (0 until tokens).joinToString("") { "t$it " }

private fun RawResponse.contentText() = Regex("\"content\":\"(.*?)\"").findAll(body).joinToString("") { it.groupValues[1] }

class CallerServerSpec : DescribeSpec({
    describe("a streamed response") {
        it("reaches the caller completely, with the caller's request id and without the attempt id") {
            withRouter(streamingEngine(5)) { router, targets ->
                val response = router.post(headers = listOf("X-Request-Id: mine"))
                response.status shouldBe 200
                response.contentText() shouldBe expectedText(5)
                response.body shouldContain "data: [DONE]"
                response.headers["x-request-id"] shouldBe "mine"
                response.body shouldNotContain targets.single().receivedRequests.single().attempt
            }
        }

        it("resumes on another target after an engine crash and contains each token once") {
            val crashing = TargetBehaviour { request, connection ->
                connection.startStream(request.attempt)
                repeat(3) { connection.sendToken(request.attempt, it) }
            }
            withRouter(crashing, streamingEngine(6)) { router, targets ->
                router.post().contentText() shouldBe expectedText(6)
                targets[1].receivedRequests.single().resumeFrom shouldBe 3
            }
        }

        it("ends with an error event and without the terminal marker when it cannot be resumed") {
            val crashing = TargetBehaviour { request, connection ->
                connection.startStream(request.attempt)
                connection.sendToken(request.attempt, 0)
            }
            withRouter(crashing, crashing) { router, _ ->
                val response = router.post()
                response.contentText() shouldBe "t0 "
                response.body shouldNotContain "[DONE]"
                response.body shouldContain "\"not_run\":false"
            }
        }

        it("excludes a target response with another request's id in its header or a chunk") {
            val foreignHeader = TargetBehaviour { _, connection ->
                connection.startStream("other")
                connection.sendToken("other", 0)
            }
            val foreignChunk = TargetBehaviour { request, connection ->
                connection.startStream(request.attempt)
                connection.sendToken("other", 0)
            }
            for (foreign in listOf(foreignHeader, foreignChunk)) {
                withRouter(foreign, streamingEngine(4)) { router, targets ->
                    router.post().contentText() shouldBe expectedText(4)
                    targets[1].receivedRequests.single().resumeFrom shouldBe 0
                }
            }
        }

        it("contains no reordered, duplicate or missing chunks") {
            for (indices in listOf(listOf(0, 2), listOf(0, 0), listOf(1))) {
                val outOfOrder = TargetBehaviour { request, connection ->
                    connection.startStream(request.attempt)
                    indices.forEach { connection.sendToken(request.attempt, it) }
                    connection.endStream(request.attempt, 3)
                }
                withRouter(outOfOrder, streamingEngine(5)) { router, _ -> router.post().contentText() shouldBe expectedText(5) }
            }
        }

        it("is completed by another target when tokens are missing before the terminal marker") {
            val truncated = TargetBehaviour { request, connection ->
                connection.startStream(request.attempt)
                connection.sendToken(request.attempt, 0)
                connection.endStream(request.attempt, 5)
            }
            withRouter(truncated, streamingEngine(5)) { router, _ -> router.post().contentText() shouldBe expectedText(5) }
        }

        it("is not buffered without limit when the caller reads slowly") {
            val sent = AtomicInteger()
            val hundredEventsSent = CountDownLatch(1)
            val endless = TargetBehaviour { request, connection ->
                connection.sendBufferSize = 16_384
                connection.startStream(request.attempt)
                val padding = "x".repeat(8_192)
                repeat(40_000) { index ->
                    connection.sendEvent("""{"id":"${request.attempt}","index":$index,"choices":[{"delta":{"content":"$padding"}}]}""")
                    if (sent.incrementAndGet() == 100) hundredEventsSent.countDown()
                }
            }
            withRouter(endless) { router, _ ->
                RawCaller(router.port, receiveBufferBytes = 16_384).use { caller ->
                    caller.sendRequest("POST", CHAT_PATH, chatBody())
                    hundredEventsSent.await(20, TimeUnit.SECONDS).shouldBeTrue()
                    val stalledAt = generateSequence { sent.get().also { TimeUnit.MILLISECONDS.sleep(500) } }
                        .zipWithNext().first { (before, after) -> before == after }.first
                    stalledAt shouldBeLessThan 4_000
                }
            }
        }
    }

    describe("a buffered response") {
        it("is forwarded with the request id in place of the attempt id") {
            val engine =
                TargetBehaviour { request, connection -> connection.sendResponse(request.attempt, """{"id":"${request.attempt}","x":1}""") }
            withRouter(engine) { router, _ ->
                val response = router.post(chatBody(stream = false))
                response.status shouldBe 200
                response.body shouldBe """{"id":"request-1","x":1}"""
            }
        }

        it("counts as a crash and is retried on another target when it is empty, truncated or missing") {
            val empty = TargetBehaviour { request, connection -> connection.sendResponse(request.attempt, "") }
            val emptyWithoutRequestId = TargetBehaviour { _, connection ->
                connection.getOutputStream().writeText("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            }
            val truncated = TargetBehaviour { request, connection ->
                connection.getOutputStream().writeText(
                    "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nX-Request-Id: ${request.attempt}\r\n\r\n{\"id\"",
                )
            }
            val closingAtOnce = TargetBehaviour { _, _ -> }
            val working =
                TargetBehaviour { request, connection -> connection.sendResponse(request.attempt, """{"id":"${request.attempt}"}""") }
            for (failing in listOf(empty, emptyWithoutRequestId, truncated, closingAtOnce)) {
                withRouter(failing, working) { router, targets ->
                    router.post(chatBody(stream = false)).status shouldBe 200
                    router.awaitEvent<AttemptFinished>().outcome shouldBe AttemptOutcome.Crashed(0)
                    targets[1].receivedRequests shouldHaveSize 1
                }
            }
        }
    }

    describe("responses that the caller does not read") {
        // The instance's own responses to the requests of a connection accumulated without limit.
        it("keep its further queries from being answered") {
            withRouter(streamingEngine(1)) { router, _ ->
                RawCaller(router.port, receiveBufferBytes = 16_384).use { caller ->
                    repeat(8) { caller.sendRequest("GET", "/metrics") }
                    val stalledAt = generateSequence { router.metricsQueries.get().also { TimeUnit.MILLISECONDS.sleep(500) } }
                        .zipWithNext().first { (before, after) -> before > 0 && before == after }.first
                    stalledAt shouldBeLessThan 4
                    repeat(8) { caller.readResponse().body.length shouldBe METRICS_BYTES }
                }
            }
        }
    }

    describe("a connection that has been idle for the idle timeout after a response") {
        // The timer that a response started notified nobody, so such connections stayed as long as their callers liked.
        it("is closed") {
            withRouter(streamingEngine(1), settings = CallerServerSettings("127.0.0.1", 0, idleTimeout = 300.milliseconds)) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.sendRequest("GET", "/healthz")
                    caller.readResponse().status shouldBe 200
                    caller.isClosedByServer().shouldBeTrue()
                }
            }
        }
    }

    describe("a request that waits until the caller has read the response before it") {
        // The limit on the time of its arrival must not apply: the refusal would be one response too many.
        it("is answered, and nothing else, although the caller reads late") {
            val settings = CallerServerSettings("127.0.0.1", 0, requestReceiveTimeout = 300.milliseconds)
            withRouter(streamingEngine(1), settings = settings) { router, _ ->
                RawCaller(router.port, receiveBufferBytes = 16_384).use { caller ->
                    repeat(6) { caller.sendRequest("GET", "/metrics") }
                    TimeUnit.SECONDS.sleep(1)
                    repeat(6) { caller.readResponse().status shouldBe 200 }
                    caller.sendRequest("GET", "/healthz")
                    caller.readResponse().status shouldBe 200
                }
            }
        }
    }

    describe("KV cache blocks held by another target") {
        val scope = Base64.getEncoder().encodeToString("scope".toByteArray())

        fun cacheStore(scope: String) = TargetBehaviour { _, connection ->
            connection.getOutputStream().writeText(
                "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Chain: 00000000000000ff\r\nX-Tokens: 1024\r\nX-Scope: $scope\r\n\r\nblocks",
            )
        }

        val engine = TargetBehaviour { request, connection ->
            if (request.uri == "/kv") connection.sendResponse("", "") else streamingEngine(2).respond(request, connection)
        }

        fun requestsReceivedByEngine(storedScope: String): List<ReceivedRequest> {
            val targets = listOf(FakeTarget(engine), FakeTarget(cacheStore(storedScope)))
            TestRouter(targets, handOver = CacheTransfer(TargetId("target-1"), 255, 1024)).use { router ->
                router.post().contentText() shouldBe expectedText(2)
            }
            targets.forEach { it.close() }
            targets[1].receivedRequests.single().uri shouldBe "/kv/00000000000000ff"
            return targets[0].receivedRequests
        }

        it("are transferred to the target before the attempt") {
            val receivedRequests = requestsReceivedByEngine(scope)
            receivedRequests.map { it.uri } shouldBe listOf("/kv", CHAT_PATH)
            receivedRequests.first().body shouldBe "blocks"
            receivedRequests.first().headers["x-scope"] shouldBe scope
        }

        it("are not transferred when they belong to another cache scope") {
            requestsReceivedByEngine("b3RoZXI=").map { it.uri } shouldBe listOf(CHAT_PATH)
        }
    }

    describe("a caller that disconnects") {
        it("cancels its attempt at the engine") {
            val closed = CountDownLatch(1)
            val waiting = TargetBehaviour { request, connection ->
                connection.startStream(request.attempt)
                connection.sendToken(request.attempt, 0)
                if (connection.getInputStream().read() < 0) closed.countDown()
            }
            withRouter(waiting) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.sendRequest("POST", CHAT_PATH, chatBody())
                    router.awaitEvent<AttemptFirstByte>()
                }
                closed.await(20, TimeUnit.SECONDS).shouldBeTrue()
            }
        }
    }

    describe("the caller's key") {
        it("is not forwarded to a target in a header, cookie or query parameter") {
            val service = TargetBehaviour { request, connection -> connection.sendResponse(request.attempt, "{}") }
            val headers =
                listOf(
                    "X-Api-Key: $CALLER_KEY",
                    "Cookie: session=$CALLER_KEY",
                    "X-Other: a $CALLER_KEY b",
                    "Proxy-Authorization: Bearer $CALLER_KEY",
                )
            withRouter(service) { router, targets ->
                router.post("{}", "/stamps?api_key=$CALLER_KEY&other=$CALLER_KEY&kept=1", headers).status shouldBe 200
                val receivedRequest = targets.single().receivedRequests.single()
                receivedRequest.raw shouldNotContain CALLER_KEY
                receivedRequest.uri shouldBe "/stamps?kept=1"
            }
            withRouter(streamingEngine(1)) { router, targets ->
                router.post(headers = headers).status shouldBe 200
                targets.single().receivedRequests.single().raw shouldNotContain CALLER_KEY
            }
        }

        it("is refused in a request path or body") {
            withRouter(streamingEngine(1)) { router, targets ->
                router.post(chatBody(content = CALLER_KEY)).body shouldContain "key_in_request"
                router.post("{}", "/stamps/$CALLER_KEY").body shouldContain "key_in_request"
                targets.single().receivedRequests shouldHaveSize 0
            }
        }

        it("is refused on an open connection after its withdrawal, and the error reports that nothing ran") {
            withRouter(streamingEngine(2)) { router, targets ->
                RawCaller(router.port).use { caller ->
                    caller.sendRequest("POST", CHAT_PATH, chatBody())
                    caller.readResponse().status shouldBe 200
                    router.withdrawKey()
                    caller.sendRequest("POST", CHAT_PATH, chatBody())
                    val refused = caller.readResponse()
                    refused.status shouldBe 401
                    refused.body shouldContain "\"not_run\":true"
                    targets.single().receivedRequests shouldHaveSize 1
                }
            }
        }
    }

    describe("headers that only instances and targets may set") {
        it("are not forwarded in either direction") {
            val leaking = TargetBehaviour { request, connection ->
                connection.getOutputStream().writeText(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: ${request.attempt}\r\nX-Cache-Scope: s\r\n" +
                        "Keep-Alive: timeout=1\r\nX-Hop: 1\r\nConnection: X-Hop\r\nX-Kept: 1\r\n\r\n{}",
                )
            }
            withRouter(leaking) { router, targets ->
                val forged =
                    listOf("X-Cache-Scope: forged", "X-Resume-From: 7", "X-Weights-Version: forged", "X-Hop: 1", "Connection: X-Hop")
                val response = router.post("{}", "/stamps", forged)
                val receivedHeaders = targets.single().receivedRequests.single().headers
                listOf("x-cache-scope", "x-resume-from", "x-weights-version", "x-hop").filter { it in receivedHeaders } shouldBe
                    emptyList()
                listOf("x-cache-scope", "keep-alive", "x-hop").filter { it in response.headers } shouldBe emptyList()
                response.headers["x-kept"] shouldBe "1"
            }
        }
    }

    describe("a non-repeatable request") {
        it("runs once, and a resend receives the recorded response") {
            val runs = AtomicInteger()
            val service = TargetBehaviour { request, connection ->
                connection.sendResponse(request.attempt, """{"run":${runs.incrementAndGet()}}""", "201 Created")
            }
            withRouter(service, service) { router, targets ->
                val responses = List(3) { router.post("{}", "/stamps", listOf("Idempotency-Key: stamp-1")) }
                responses.map { it.status to it.body }.toSet() shouldBe setOf(201 to """{"run":1}""")
                targets.flatMap { it.receivedRequests }.map { it.headers["idempotency-key"] } shouldBe listOf("stamp-1")
            }
        }

        it("does not receive the response of another request") {
            val foreign = TargetBehaviour { _, connection -> connection.sendResponse("other", "{}") }
            withRouter(foreign, foreign) { router, targets ->
                router.post("{}", "/stamps").status shouldBe 502
                targets.flatMap { it.receivedRequests } shouldHaveSize 1
            }
        }

        it("is not retried after its target crashes, and a resend reports an unknown outcome") {
            val closingAtOnce = TargetBehaviour { _, _ -> }
            withRouter(closingAtOnce, closingAtOnce) { router, targets ->
                val first = router.post("{}", "/stamps", listOf("Idempotency-Key: stamp-1"))
                first.status shouldBe 502
                first.body shouldContain "\"not_run\":false"
                router.post("{}", "/stamps", listOf("Idempotency-Key: stamp-1")).body shouldContain "outcome_unknown"
                targets.flatMap { it.receivedRequests } shouldHaveSize 1
            }
        }
    }

    describe("a request that cannot be served") {
        val strictSettings =
            CallerServerSettings(
                "127.0.0.1",
                0,
                maximumBodyBytes = 1_000,
                maximumHeaderBytes = 2_000,
                requestReceiveTimeout = 300.milliseconds,
            )

        it("is refused with a typed error when its JSON is malformed") {
            withRouter(streamingEngine()) { router, _ ->
                for (body in listOf("{", "[]", "{}", """{"model":"m"}""", """{"model":"m","messages":[1]}""")) {
                    val response = router.post(body)
                    response.status shouldBe 400
                    response.body shouldContain "malformed_request"
                    response.body shouldContain "\"not_run\":true"
                }
            }
        }

        it("is refused with a typed error when its body is too large") {
            withRouter(streamingEngine(), settings = strictSettings) { router, _ ->
                val response = router.post(chatBody(content = "x".repeat(100_000)))
                response.status shouldBe 413
                response.body shouldContain "body_too_large"
            }
        }

        it("is refused with status 431 when its headers are too large") {
            withRouter(streamingEngine(), settings = strictSettings) { router, _ ->
                router.post(headers = listOf("X-Long: ${"x".repeat(10_000)}")).status shouldBe 431
            }
        }

        it("is refused with status 400 when it is not HTTP") {
            withRouter(streamingEngine()) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.send("nonsense\r\n\r\n")
                    caller.readResponse().status shouldBe 400
                }
            }
        }

        it("is refused when it is not received completely in time") {
            withRouter(streamingEngine(), settings = strictSettings) { router, targets ->
                RawCaller(router.port).use { caller ->
                    caller.send(
                        "POST $CHAT_PATH HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\nAuthorization: Bearer $CALLER_KEY\r\n\r\n{\"half",
                    )
                    val response = caller.readResponse()
                    response.status shouldBe 408
                    response.body shouldContain "\"not_run\":true"
                    caller.isClosedByServer().shouldBeTrue()
                }
                targets.single().receivedRequests shouldHaveSize 0
            }
        }

        it("is refused when the connection limit is exceeded and all connections are in use") {
            val ended = CountDownLatch(1)
            val waiting = TargetBehaviour { request, connection ->
                connection.startStream(request.attempt)
                connection.sendToken(request.attempt, 0)
                ended.await(20, TimeUnit.SECONDS)
                connection.endStream(request.attempt, 1)
            }
            withRouter(waiting, settings = CallerServerSettings("127.0.0.1", 0, maximumConnections = 1)) { router, _ ->
                RawCaller(router.port).use { first ->
                    first.sendRequest("POST", CHAT_PATH, chatBody())
                    router.awaitEvent<AttemptFirstByte>()
                    RawCaller(router.port).use { refused ->
                        val response = refused.readResponse()
                        response.status shouldBe 503
                        response.body shouldContain "too_many_connections"
                        response.body shouldContain "\"not_run\":true"
                        refused.isClosedByServer().shouldBeTrue()
                    }
                    ended.countDown()
                    first.readResponse().contentText() shouldBe expectedText(1)
                }
            }
        }

        it("is served when the connection limit is exceeded, on the place of an idle connection, which is closed") {
            withRouter(streamingEngine(), settings = CallerServerSettings("127.0.0.1", 0, maximumConnections = 1)) { router, _ ->
                RawCaller(router.port).use { first ->
                    first.sendRequest("GET", "/healthz")
                    first.readResponse().status shouldBe 200
                    RawCaller(router.port).use { second ->
                        second.sendRequest("GET", "/healthz")
                        second.readResponse().status shouldBe 200
                    }
                    first.isClosedByServer().shouldBeTrue()
                }
            }
        }

        it("is refused for an invalid method, key or deadline or an expired idempotency key") {
            withRouter(streamingEngine()) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.sendRequest("GET", CHAT_PATH)
                    caller.readResponse().status shouldBe 405
                    caller.sendRequest("POST", CHAT_PATH, chatBody(), emptyList())
                    caller.readResponse().body shouldContain "key_missing"
                    caller.sendRequest("POST", CHAT_PATH, chatBody(), listOf("Authorization: Bearer wrong"))
                    caller.readResponse().body shouldContain "key_unknown"
                }
                router.post(headers = listOf("X-Deadline-Ms: soon")).status shouldBe 400
                val old = router.post("{}", "/stamps", listOf("Idempotency-Key: 01700000-0000-7000-8000-000000000000"))
                old.body shouldContain "idempotency_key_expired"
                old.body shouldContain "\"not_run\":false"
            }
        }

        it("is cancelled at its deadline") {
            val unresponsive = TargetBehaviour { _, connection -> connection.getInputStream().read() }
            withRouter(unresponsive) { router, _ ->
                val response = router.post(headers = listOf("X-Deadline-Ms: 200"))
                response.status shouldBe 504
                response.body shouldContain "\"not_run\":false"
            }
        }
    }

    describe("a graceful shutdown") {
        it("completes an active stream, then closes its connection, and serves requests that arrive meanwhile") {
            val stopping = CountDownLatch(1)
            val engine = TargetBehaviour { request, connection ->
                connection.startStream(request.attempt)
                connection.sendToken(request.attempt, 0)
                stopping.await(20, TimeUnit.SECONDS)
                connection.sendToken(request.attempt, 1)
                connection.endStream(request.attempt, 2)
            }
            withRouter(engine, requestSettings = RequestSettings(serviceAfterStop = 500.milliseconds)) { router, _ ->
                RawCaller(router.port).use { caller ->
                    caller.sendRequest("POST", CHAT_PATH, chatBody())
                    router.awaitEvent<AttemptFirstByte>()
                    router.submit(StopRequested(MonotonicClock.SYSTEM.now() + 30.seconds))
                    val late = RawCaller(router.port)
                    late.sendRequest("POST", CHAT_PATH, chatBody(content = "late"))
                    stopping.countDown()
                    caller.readResponse().contentText() shouldBe expectedText(2)
                    caller.isClosedByServer().shouldBeTrue()
                    late.use { it.readResponse() }.headers["connection"] shouldBe "close"
                    router.awaitEffect<StopCompleted>()
                }
            }
        }
    }
})
