package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.ForwardedRequest
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.ForwardingRoute
import org.cactuspulley.core.forwarding.Repeatability
import org.cactuspulley.core.forwarding.RequestProgress
import org.cactuspulley.core.forwarding.SendFailure
import org.cactuspulley.core.forwarding.ServiceTimes
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.forwarding.TargetEntry
import org.cactuspulley.core.forwarding.WeightedPool
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.requests.RetryBudget
import org.cactuspulley.core.rollout.ReleaseOrderId
import org.cactuspulley.core.rollout.ReleaseStage
import org.cactuspulley.core.rollout.ReleaseState
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.settings.FleetBounds
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NOW = MonotonicTime.ZERO + 100.seconds
private val POOL = PoolName("desk")
private val ADDRESS = HostAndPort("10.1.0.1", 8080)

/** Collects how attempts fail; no attempt of this spec gets as far as a response. */
private class FailureCollector : AttemptObserver {
    val failures = mutableListOf<SendFailure>()
    override var isEnded = false
    override val hasStreamBegun = false
    override val lastEventId: Long? = null

    override fun streamBegan(response: HttpResponse) = error("no stream can begin")

    override fun eventsArrived(attempt: SendAttempt, events: ByteBuf, lastId: Long?, at: MonotonicTime) = error("no events can arrive")

    override fun streamEnded(attempt: SendAttempt, status: Int) = error("no stream can end")

    override fun responseReceived(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf) =
        error("no response can arrive")

    override fun targetFailed(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf) = error("no response can arrive")

    override fun canBeSentElsewhere(attempt: SendAttempt) = false

    override fun failed(attempt: SendAttempt, failure: SendFailure, reason: String) {
        failures += failure
    }

    override fun closed(attempt: SendAttempt) = Unit
}

/** Requests without headers; calls [beforeEncoding] first. */
private class PlainRequests(private val beforeEncoding: () -> Unit) : TargetProtocol by NoTargets {
    override fun request(send: TargetRequest): HttpRequest {
        beforeEncoding()
        return DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/file/1")
    }
}

/** An attempt whose connection is established when a test says so. */
private class PendingAttempt {
    private val loopChannel = EmbeddedChannel()
    private val loop = loopChannel.eventLoop()
    private var now = NOW

    /** How long the event loop is busy with encoding the request, as it is while it loads classes. */
    var encodingTime = Duration.ZERO
    private val loopDelay = LoopDelayMonitor(100.milliseconds, NOW)
    private val clock = MonotonicClock { now }
    private val member = FleetMember(InstanceId("i-1"), InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2")
    private var onReady: ((Channel?) -> Unit)? = null
    val state = ForwardingState(member, FleetBounds(), NOW)
    private val context = ForwardingContext(
        loop,
        clock,
        state,
        PlainRequests { now += encodingTime },
        TargetConnectionPool(loop, clock) { _, onReady -> this.onReady = onReady },
        DecisionLog(ForwardingMetrics()),
        loopDelay,
        sendDigests = {},
    )
    val observer = FailureCollector()
    val connection = EmbeddedChannel(TargetResponseHandler())

    init {
        state.directory.upsert(entry())
        val route = ForwardingRoute(
            RouteName("file"), "desk.example", "/file/", Repeatability.AT_MOST_ONCE, isStream = false, isAnonymous = true,
            timeout = 1.seconds, latencyObjective = 1.seconds, maximumAttempts = 1, priority = 1, split = listOf(WeightedPool(POOL, 1.0)),
        )
        val grant = ForwardingGrant(route, POOL, null, cost = 1.0, configurationVersion = 1)
        val request = ForwardedRequest(RequestId("r-1"), "desk.example", "/file/1", null, null, null, null)
        val granted =
            GrantedRequest(DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/file/1"), ByteArray(0), request, grant, emptySet())
        val progress = RequestProgress(grant, null, NOW, RetryBudget(1.0, 1.0), ServiceTimes())
        SendAttempt(context, observer, granted, progress, target()).start(ADDRESS)
    }

    fun target(): Target = checkNotNull(state.directory[TargetId("t-1")])

    fun entry(isLeaving: Boolean = false, startedAt: Long = 1, report: Long = 1) =
        TargetEntry(TargetId("t-1"), POOL, "10.1.0.1:8080", ZoneName("zone-a"), 8, isLeaving, startedAt, report, emptyMap())

    /** Lets [duration] pass in which the event loop runs nothing, not even its timer. */
    fun delayLoop(duration: Duration) {
        now += duration
    }

    /** Lets the event loop run what is due, its timer first, as it does after it has read its connections. */
    fun runLoop() = repeat(2) {
        loopDelay.recordTick(now)
        loopChannel.runPendingTasks()
        loopChannel.runScheduledPendingTasks()
    }

    val sentMessages: Int get() = connection.outboundMessages().size

    fun connected() {
        checkNotNull(onReady) { "no connection was asked for" }(connection)
    }
}

class SendAttemptSpec : DescribeSpec({
    describe("an attempt whose target stops accepting requests while the connection is established") {
        val changes = mapOf<String, (PendingAttempt) -> Unit>(
            "is leaving" to { it.state.directory.upsert(it.entry(isLeaving = true, report = 2)) },
            "was removed" to { it.state.directory.remove(TargetId("t-1"), NOW) },
            "started again under its id" to { it.state.directory.upsert(it.entry(startedAt = 2)) },
            "has a software version that was rolled back" to {
                it.state.directory.upsert(it.entry(report = 2).copy(softwareVersion = "v2"))
                val state = ReleaseState(POOL, ReleaseOrderId(0, 1), "v2", ReleaseStage.RolledBack)
                it.state.releases.recordState(state, NOW)
            },
            "asked for a pause" to { it.state.directory.pause(it.target(), NOW + 1.seconds) },
        )
        for ((name, change) in changes) {
            // Guards against requests that are sent on the strength of what was known before the connection was made.
            it("sends nothing and fails as not sent if the target $name") {
                val attempt = PendingAttempt()
                change(attempt)
                attempt.connected()
                attempt.observer.failures shouldBe listOf(SendFailure.NOT_SENT)
                attempt.connection.outboundMessages().isEmpty() shouldBe true
            }
        }
    }

    describe("an attempt whose connection is established after a delay of the event loop") {
        // Guards against requests that reach a target after their callers have left, because the close was read after the connection was.
        it("sends nothing if the caller has disconnected meanwhile") {
            val attempt = PendingAttempt()
            attempt.delayLoop(400.milliseconds)
            attempt.connected()
            attempt.observer.isEnded = true
            attempt.runLoop()
            attempt.sentMessages shouldBe 0
        }

        it("sends the request if the caller is still there") {
            val attempt = PendingAttempt()
            attempt.delayLoop(400.milliseconds)
            attempt.connected()
            attempt.runLoop()
            attempt.sentMessages shouldBe 2
        }

        it("has no connection if the target closes it before the request is sent") {
            val attempt = PendingAttempt()
            attempt.delayLoop(400.milliseconds)
            attempt.connected()
            attempt.connection.close()
            attempt.runLoop()
            attempt.observer.failures shouldBe listOf(SendFailure.UNREACHABLE)
        }
    }

    describe("an attempt whose request takes long to encode on the event loop") {
        // Guards against requests that reach a target after their callers have left (rule GONE): right after a start, classes are loaded
        // between the last look at the caller and the first byte of the request.
        it("sends nothing if the caller has disconnected meanwhile") {
            val attempt = PendingAttempt()
            attempt.encodingTime = 600.milliseconds
            attempt.connected()
            attempt.observer.isEnded = true
            attempt.runLoop()
            attempt.sentMessages shouldBe 0
        }

        // Guards against the same if many requests wait for one read: the first of them keep the loop busy after it.
        it("looks for the caller again after each long wait") {
            val attempt = PendingAttempt()
            attempt.delayLoop(400.milliseconds)
            attempt.encodingTime = 600.milliseconds
            attempt.connected()
            attempt.delayLoop(600.milliseconds)
            attempt.sentMessages shouldBe 0
            attempt.observer.isEnded = true
            attempt.runLoop()
            attempt.sentMessages shouldBe 0
        }

        // Guards against requests that reach a target after their deadline, whose timer runs late on a busy loop.
        it("sends nothing if the deadline has passed meanwhile") {
            val attempt = PendingAttempt()
            attempt.encodingTime = 1_200.milliseconds
            attempt.connected()
            attempt.runLoop()
            attempt.sentMessages shouldBe 0
            attempt.observer.failures shouldBe listOf(SendFailure.NOT_SENT)
        }

        it("sends the request if the caller is still there") {
            val attempt = PendingAttempt()
            attempt.encodingTime = 600.milliseconds
            attempt.connected()
            attempt.runLoop()
            attempt.sentMessages shouldBe 2
        }
    }

    describe("an attempt without a delay") {
        it("sends the request as soon as the connection is established") {
            val attempt = PendingAttempt()
            attempt.connected()
            attempt.sentMessages shouldBe 2
        }
    }
})
