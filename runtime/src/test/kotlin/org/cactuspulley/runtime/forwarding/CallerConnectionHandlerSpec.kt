package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Err
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.ForwardingRefusal
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.settings.FleetBounds
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Refuses all requests and counts them. */
private class RefusingProtocol : CallerProtocol {
    var started = 0

    override fun read(request: HttpRequest, now: MonotonicTime) = Err(ForwardingRefusal.MALFORMED).also { started++ }

    override fun refusal(refusal: ForwardingRefusal, request: RequestId?, retryAfter: Duration?) =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST)

    override fun query(request: HttpRequest) = error("no query can arrive")

    override fun readiness(isReady: Boolean) = error("no query can arrive")

    override fun addresses(addresses: List<String>, lifetime: Duration) = error("no query can arrive")
}

/** A caller's connection whose event loop runs when a test says so. */
private class PendingConnection {
    private val now = MonotonicTime.ZERO + 100.seconds
    private val clock = MonotonicClock { now }
    private val channel = EmbeddedChannel()
    private val loop = channel.eventLoop()
    private val member = FleetMember(InstanceId("i-1"), InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2")
    private val context = ForwardingContext(
        loop,
        clock,
        ForwardingState(member, FleetBounds(), now),
        NoTargets,
        TargetConnectionPool(loop, clock) { _, _ -> error("nothing is sent") },
        DecisionLog(ForwardingMetrics()),
        LoopDelayMonitor(100.milliseconds, now),
        sendDigests = {},
    )
    val protocol = RefusingProtocol()

    init {
        channel.pipeline().addLast(CallerConnectionHandler(context, protocol, CallerListener(context, protocol)))
    }

    /** Delivers a request without running the tasks that it leaves on the event loop. */
    fun deliverRequest() {
        channel.pipeline().fireChannelRead(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/file/1"))
    }

    fun deliverClose() {
        channel.pipeline().fireChannelInactive()
    }

    fun runLoop() = channel.runPendingTasks()
}

class CallerConnectionHandlerSpec : DescribeSpec({
    describe("the first request of a connection") {
        // Guards against requests that reach a target after their callers have left (rule GONE): after a start of the process, connections
        // wait to be accepted, and the close of one is read one pass of the event loop after its request.
        it("is not started if the close of the connection is read right after it") {
            val connection = PendingConnection()
            connection.deliverRequest()
            connection.deliverClose()
            connection.runLoop()
            connection.protocol.started shouldBe 0
        }

        it("is started if the connection stays open") {
            val connection = PendingConnection()
            connection.deliverRequest()
            connection.runLoop()
            connection.protocol.started shouldBe 1
        }
    }

    describe("a later request of a connection") {
        it("is started at once") {
            val connection = PendingConnection()
            connection.deliverRequest()
            connection.runLoop()
            connection.deliverRequest()
            connection.protocol.started shouldBe 2
        }
    }
})
