package org.cactuspulley.runtime.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.cactuspulley.core.forwarding.CachePlan
import org.cactuspulley.core.forwarding.ExpectedWork
import org.cactuspulley.core.forwarding.ForwardedRequest
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.OccupiedCapacity
import org.cactuspulley.core.forwarding.RateLimitAdmission
import org.cactuspulley.core.forwarding.Repeatability
import org.cactuspulley.core.forwarding.ReportedLoad
import org.cactuspulley.core.forwarding.RequestProgress
import org.cactuspulley.core.forwarding.SendFailure
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.forwarding.TargetLoad
import org.cactuspulley.core.forwarding.ZoneFlow
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.quarantine.RequestTrait
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration

/**
 * A caller's request and what the configuration grants it.
 *
 * @property head the head of the HTTP request.
 * @property body the complete body.
 * @property request the parsed request.
 * @property grant what the configuration grants the request.
 * @property traits what the request may have in common with others that crash targets.
 */
internal class GrantedRequest(
    val head: HttpRequest,
    val body: ByteArray,
    val request: ForwardedRequest,
    val grant: ForwardingGrant,
    val traits: Set<RequestTrait>,
)

/** Receives the events of a send attempt; the exchange that the attempt belongs to implements it. */
internal interface AttemptObserver {
    /** Whether the exchange has ended: the caller has its complete response or has disconnected. */
    val isEnded: Boolean

    /** Whether the head of a streamed response was sent to the caller. */
    val hasStreamBegun: Boolean

    /** The id of the last complete event that was sent to the caller; null if there is none. */
    val lastEventId: Long?

    /** Called when a stream starts; a resumed stream starts once for each attempt. */
    fun streamBegan(response: HttpResponse)

    /** Called when complete events arrived at [at], with [lastId] as the id of the last one; takes ownership of [events]. */
    fun eventsArrived(attempt: SendAttempt, events: ByteBuf, lastId: Long?, at: MonotonicTime)

    /** Called when the stream is complete. */
    fun streamEnded(attempt: SendAttempt, status: Int)

    /** Called with a complete response that is no failure; takes ownership of [body]. */
    fun responseReceived(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf)

    /** Called with an error response of the target itself; takes ownership of [body]. */
    fun targetFailed(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf)

    /** Whether another target can take the request over if [attempt], which may have run, is given up. */
    fun canBeSentElsewhere(attempt: SendAttempt): Boolean

    /** Called when the attempt ended without a response that can be passed on. */
    fun failed(attempt: SendAttempt, failure: SendFailure, reason: String)

    /** Called when the attempt has released its resources. */
    fun closed(attempt: SendAttempt)
}

/**
 * A send attempt: one attempt to have a request processed by [target]. It holds the connection, the response and the timers of
 * the attempt and is confined to the event loop.
 */
internal class SendAttempt(
    private val context: ForwardingContext,
    private val observer: AttemptObserver,
    private val granted: GrantedRequest,
    private val progress: RequestProgress,
    val target: Target,
) : TargetResponseListener,
    WatchedAttempt {
    private val state = context.state
    private val log = context.log
    private val request = granted.request
    private val grant = granted.grant
    private val model = request.prompt?.model

    /** What the request may have in common with others that crash targets. */
    val traits: Set<RequestTrait> get() = granted.traits
    private val serviceTimes = state.serviceTimes.of(grant.pool, grant.route.name)

    /** Whether the attempt continues a stream of which the caller has received a part. */
    private val isResumption = observer.hasStreamBegun
    private var channel: Channel? = null
    private var responseHead: TargetResponseHead? = null
    private var response: HttpResponse? = null
    private var bodyBuffer: ByteBuf = Unpooled.EMPTY_BUFFER
    private var events: EventStreamSplitter? = null
    private val memory = context.responseMemory.Share()

    /** What the connection holds of the request until the target has read it; the caller may have left before. */
    private val requestMemory = context.requestMemory.Share()
    private var isClosed = false
    private var bodyWritten = false
    private var hasContent = false
    private var cachePlan: CachePlan? = null
    private val startedAt = context.clock.now()

    /** When the request was written to a connection; the start of the attempt before that. */
    private var sentAt = startedAt

    private val silence = SilenceWatch(context, target, request.id, this)

    /** What the attempt tells about the release of the service. */
    private var release: ReleaseObservation = ReleaseObservation.None

    /** When the target last sent data of this attempt; [sentAt] before that. */
    private val lastActivityAt: MonotonicTime get() = silence.lastActivityAt

    /** The longest time between two arrivals of events. */
    private var longestPause = Duration.ZERO
    private var lastEventsAt: MonotonicTime? = null

    /** The work at the target when the attempt began; null if neither zones nor speeds are derived from it. */
    private var expectedWork: ExpectedWork? = null

    /** The permission of the target's rate limit to send the request. */
    private var admission: RateLimitAdmission = RateLimitAdmission.Denied

    /** The load that this attempt adds to its target, in the units of [TargetLoad]. */
    var units = TargetLoad.unitsUntilFirstEvent(
        request.prompt,
        request.prompt?.let { state.reusableTokens(grant, it, target.probableWeights(it.model, startedAt), startedAt) } ?: 0,
    )
        private set

    /** What the attempt occupies at its target; null before its start, or if capacity is not taken into account. */
    private var occupied: OccupiedCapacity? = null

    /** Identifies the attempt. */
    val id = AttemptId("${request.id.text}#${progress.sentAttempts}")

    /** The version of the weights that the target must have; null if the request was not sent or has no prompt. */
    val expectedWeights: Long? get() = cachePlan?.expectedWeights

    /** Identifies the connection in the log; null if the request was not written to one. */
    val connection: String? get() = channel?.id()?.asShortText()

    /** The number of requests that were written to the connection, up to this one; null if the request was not written to one. */
    var requestsOnConnection: Int? = null
        private set

    /** Whether bytes of the request may have left this instance. */
    var isWritten = false
        private set

    /** Whether a stream was requested and has sent no content, so that the request may still wait at the target. */
    val isWaiting: Boolean get() = grant.route.isStream && isWritten && !isClosed && !hasContent

    /** Whether the head of a response has arrived. */
    val hasResponse: Boolean get() = responseHead != null

    /** Whether a complete event of a stream has arrived. */
    var hasEvents: Boolean = false
        private set

    /** Acquires a connection to [address] and sends the request as soon as there is one. */
    fun start(address: HostAndPort) {
        if (state.usesExpectedStarts) expectedWork = ExpectedWork.at(target, units, request.prompt != null, startedAt)
        target.load.add(units)
        occupied = state.capacity.recordStart(target, request.prompt, grant.isolatedWorkspace)
        admission = state.rateLimits.admit(target, startedAt)
        context.connections.acquire(target.id, address, request.id) { channel ->
            connected(channel, address)
        }
    }

    private fun connected(connection: Channel?, address: HostAndPort) {
        if (isClosed || observer.isEnded) {
            connection?.let(::releaseUnused)
            close()
            return
        }
        if (connection == null || !connection.isActive) {
            close()
            return observer.failed(this, SendFailure.UNREACHABLE, "no connection")
        }
        if (!state.directory.accepts(target, context.clock.now())) {
            releaseUnused(connection)
            close()
            return observer.failed(this, SendFailure.NOT_SENT, "the target no longer accepts requests")
        }
        if (!state.versions.allows(target, grant, context.clock.now())) {
            releaseUnused(connection)
            close()
            return observer.failed(this, SendFailure.NOT_SENT, WRONG_VERSION)
        }
        admission = state.rateLimits.renew(target, admission, context.clock.now())
        if (admission == RateLimitAdmission.Denied) {
            releaseUnused(connection)
            close()
            return observer.failed(this, SendFailure.RATE_LIMITED, "the rate limit of the target leaves no room")
        }
        channel = connection
        encode(connection)
        sendOnceRead(connection, address, hasBeenRead = false)
    }

    /**
     * Sends the encoded request, unless its caller has left or its deadline has passed. The event loop may have been busy, for example with
     * loading classes to encode the request, so that a close of the caller's connection has not been read; the request then waits until all
     * connections have been read once more. [hasBeenRead] says that it has waited for that.
     */
    private fun sendOnceRead(connection: Channel, address: HostAndPort, hasBeenRead: Boolean) {
        if (isClosed) return
        val now = context.clock.now()
        if (context.loopDelay.isOverdue(now) || (!hasBeenRead && context.loopDelay.isDelayed(now))) {
            return context.afterNextRead { sendOnceRead(connection, address, hasBeenRead = true) }
        }
        when {
            observer.isEnded -> abandon(connection)
            !connection.isActive -> failUnsent(connection, SendFailure.UNREACHABLE, "the connection ended before the request was sent")
            now >= progress.deadline -> failUnsent(connection, SendFailure.NOT_SENT, "the deadline passed before the request was sent")
            !state.directory.accepts(target, now) -> failUnsent(connection, SendFailure.NOT_SENT, "the target no longer accepts requests")
            !state.versions.allows(target, grant, now) -> failUnsent(connection, SendFailure.NOT_SENT, WRONG_VERSION)
            else -> send(connection, address)
        }
    }

    private fun failUnsent(connection: Channel, failure: SendFailure, reason: String) {
        abandon(connection)
        observer.failed(this, failure, reason)
    }

    /** Closes a connection that holds an encoded request of which nothing was sent. */
    private fun abandon(connection: Channel) {
        channel = null
        connection.close()
        close()
    }

    private fun send(connection: Channel, address: HostAndPort) {
        isWritten = true
        sentAt = context.clock.now()
        val handler = connection.pipeline().get(TargetResponseHandler::class.java)
        handler.assign(this)
        requestsOnConnection = handler.requestCount
        progress.recordSent()
        log.sent(grant.pool, target.entry.zone)
        release = context.releases.sent(target, grant)
        connection.flush()
        silence.start(address)
    }

    private fun releaseUnused(connection: Channel) {
        if (isTargetStaying) context.connections.release(target.id, connection, null) else connection.close()
    }

    /** Whether a connection to the target may serve further requests. */
    private val isTargetStaying: Boolean get() = state.directory.isCurrent(target) && !target.isLeaving

    /** Encodes the request into the buffer of [connection], without sending it. */
    private fun encode(connection: Channel) {
        val now = context.clock.now()
        // A connection that has failed silently ends with the probes. Others may outlast an interruption of the network, so that a
        // request that can't be sent again still gets its response.
        connection.config().setOption(ChannelOption.SO_KEEPALIVE, grant.route.repeatability == Repeatability.RESUMABLE)
        cachePlan = request.prompt?.let { prompt ->
            state.authorizer.configuration?.let { state.cache.plan(it, grant, prompt, target, now) }
        }
        val message = TargetRequest(
            caller = granted.head,
            request = request,
            grant = grant,
            target = target.entry,
            bodyBytes = granted.body.size,
            remaining = request.deadline?.minus(now)?.coerceAtMost(progress.deadline - now),
            cache = cachePlan,
            lastEventId = observer.lastEventId,
        )
        if (state.cache.hasUrgentNotices) context.scheduleDigest()
        requestMemory.resize(granted.body.size.toLong())
        connection.write(context.targetProtocol.request(message))
        connection.write(DefaultLastHttpContent(Unpooled.wrappedBuffer(granted.body)))
            .addListener { if (it.isSuccess) bodyWritten = true }
    }

    /** Whether the attempt has received nothing for unusually long. */
    val isUnusuallySlow: Boolean get() = silence.isUnusuallyLong

    override val isStream: Boolean get() = grant.route.isStream
    override val isResponseBegun: Boolean get() = hasResponse
    override val isStreamBegun: Boolean get() = events != null

    override fun silenceLimit(now: MonotonicTime): Duration = if (events == null) progress.silenceLimit(now) else progress.pauseLimit(now)

    override fun canBeSentElsewhere(): Boolean = observer.canBeSentElsewhere(this)

    override fun failSilent(reason: String) {
        release.failed()
        cancel(null)
        observer.failed(this, SendFailure.SILENT, reason)
    }

    override val isRequestWritten: Boolean get() = bodyWritten

    override fun onHead(response: HttpResponse): ResponseOwner {
        val head = context.targetProtocol.responseHead(response)
        val owner = head.request ?: return ResponseOwner.UNKNOWN
        if (owner != request.id) {
            log.foreignResponse(request, this, owner)
            return ResponseOwner.OTHER_REQUEST
        }
        responseHead = head
        this.response = response
        silence.recordActivity()
        if (!grant.route.isStream && head.status in SUCCESS) recordStart()
        head.load?.let { target.health.recordLoad(ReportedLoad(it.running, it.waiting, it.slots, lastActivityAt, it.slowdown)) }
        if (isReleaseResponse(head)) release.started(lastActivityAt - sentAt)
        if (state.targetSpeeds != null) {
            head.load?.slowdown?.let { target.speed.recordReport(it, serviceTimes.medianTotal(lastActivityAt), lastActivityAt) }
        }
        if (!head.isOtherTarget) recordAvailability(head)
        if (model != null && head.weights != null && !head.notRun) target.recordWeights(model, head.weights)
        if (grant.route.isStream && head.status in STREAM_SUCCESS && head.isSigned) beginStream(response)
        return ResponseOwner.THIS_REQUEST
    }

    /** Whether the response begins with its head and is neither a failure nor a refusal to run the request. */
    private fun isReleaseResponse(head: TargetResponseHead): Boolean =
        head.status < SERVER_ERROR && !head.meansNotRun && !head.notRun && !(grant.route.isStream && head.status in STREAM_SUCCESS)

    private fun recordAvailability(head: TargetResponseHead) {
        if (head.isLeaving) context.leavingTargets.observed(target)
        // A refusal may be the late copy of an earlier one, from before the target named its limit.
        val saysNoLimit = !head.isRateLimitUnreadable && !head.notRun && head.status < SERVER_ERROR
        if (head.requestsPerSecond != null || saysNoLimit) {
            context.rateLimits.observed(target, head.requestsPerSecond, sentAt, lastActivityAt)
        }
        val pause = head.retryAfter ?: return
        state.directory.pause(target, lastActivityAt + pause)
        log.event("target_paused", "target" to target.id.text, "request" to request.id.text, "millis" to pause.inWholeMilliseconds)
    }

    private fun beginStream(response: HttpResponse) {
        events = EventStreamSplitter(context.allocator)
        observer.streamBegan(response)
    }

    override fun onContent(content: ByteBuf) {
        hasContent = true
        silence.recordActivity()
        if (observer.isEnded) return
        val stream = events
        if (stream == null) {
            collect(content)
            if (!memory.resize(bodyBuffer.readableBytes().toLong())) exceedLimit("body")
            return
        }
        val completeEvents = stream.accept(content)
        if (!memory.resize(stream.partialEventBytes.toLong())) {
            completeEvents?.release()
            return exceedLimit("event")
        }
        if (completeEvents == null) return
        if (!hasEvents) recordServed(traits.filterIsInstance<RequestTrait.Piece>())
        if (!hasEvents) recordStart()
        if (!hasEvents) release.started(lastActivityAt - sentAt)
        lastEventsAt?.let { longestPause = maxOf(longestPause, lastActivityAt - it) }
        lastEventsAt = lastActivityAt
        hasEvents = true
        markRunning()
        observer.eventsArrived(this, completeEvents, stream.lastEventId, lastActivityAt)
    }

    private fun recordStart() {
        val latency = lastActivityAt - sentAt
        serviceTimes.recordStart(latency, lastActivityAt)
        val work = expectedWork ?: return
        val flow = ZoneFlow(grant.pool, grant.route.name)
        val usualTotal = serviceTimes.medianTotal(lastActivityAt)
        if (isResumption) return
        // At the usual speed the start would have taken this long.
        val usualLatency = if (state.targetSpeeds == null) latency else latency / target.speed.slowdown(lastActivityAt)
        state.zoneBalance?.recordStart(flow, target.entry.zone, work, usualTotal, usualLatency, lastActivityAt)
        // Where targets say nothing of their speed, start latencies alone would change what other deployments do.
        if (target.speed.isReported) state.targetSpeeds?.recordStart(flow, target, work, usualTotal, latency, lastActivityAt)
    }

    private fun markRunning() {
        if (units == TargetLoad.RUNNING_STREAM_UNITS) return
        target.load.add(TargetLoad.RUNNING_STREAM_UNITS - units)
        units = TargetLoad.RUNNING_STREAM_UNITS
        val prompt = request.prompt ?: return
        cachePlan?.let { state.cache.recordPrefill(it, prompt, lastActivityAt) }
        if (state.cache.hasUrgentNotices) context.scheduleDigest()
    }

    /** Gives up a response that is held in memory until it, or an event of it, is complete, and that may have no end. */
    private fun exceedLimit(part: String) {
        release.failed()
        cancel(null)
        observer.failed(this, SendFailure.BROKEN, "the $part is too large")
    }

    private fun collect(content: ByteBuf) {
        if (!bodyBuffer.isReadable) {
            bodyBuffer = context.allocator.buffer(content.readableBytes())
        }
        bodyBuffer.writeBytes(content)
    }

    override fun onEnd() {
        val head = responseHead
        val connection = channel
        val httpResponse = response
        if (head == null || connection == null || httpResponse == null) return
        val body = bodyBuffer
        bodyBuffer = Unpooled.EMPTY_BUFFER
        val stream = events
        events = null
        close()
        releaseOrClose(connection, httpResponse, head)
        if (stream != null) completeStream(stream, httpResponse, head) else completeBody(httpResponse, head, body)
    }

    private fun releaseOrClose(connection: Channel, httpResponse: HttpResponse, head: TargetResponseHead) {
        if (head.status !in SUCCESS || head.notRun) context.connections.recordRefusal(connection, request.id)
        if (bodyWritten && isTargetStaying && context.isReusable(httpResponse)) {
            context.connections.release(target.id, connection, head.idleTimeout)
        } else {
            connection.close()
        }
    }

    private fun completeStream(stream: EventStreamSplitter, httpResponse: HttpResponse, head: TargetResponseHead) {
        if (stream.hasPartialEvent) {
            release.failed()
            stream.release()
            reportBrokenConnection()
            return observer.failed(this, SendFailure.BROKEN, "the stream ended within an event")
        }
        // Before the first event, the end of the connection is a sign of a crash rather than of a stream without events.
        if (!stream.hasEvents && observer.lastEventId == null && !httpResponse.isFramed) {
            release.failed()
            reportBrokenConnection()
            return observer.failed(this, SendFailure.BROKEN, "the connection ended before the first event")
        }
        recordCompletion()
        recordServed(traits)
        serviceTimes.recordLongestPause(longestPause, context.clock.now())
        observer.streamEnded(this, head.status)
    }

    private fun completeBody(httpResponse: HttpResponse, head: TargetResponseHead, body: ByteBuf) {
        val failure = when {
            head.isOtherTarget -> SendFailure.NOT_RUN_OTHER_TARGET
            head.notRun -> SendFailure.NOT_RUN_FULL
            isUnpromisedRefusal(head) -> SendFailure.FAILED
            head.status >= SERVER_ERROR -> SendFailure.FAILED
            head.status in SUCCESS && !head.isSigned -> SendFailure.BROKEN
            else -> null
        }
        if (failure == SendFailure.BROKEN || (head.status >= SERVER_ERROR && !head.notRun)) release.failed()
        if (failure == null || (failure == SendFailure.FAILED && head.isSigned)) recordServed(traits)
        if (failure == SendFailure.FAILED && !observer.hasStreamBegun && !isUnpromisedRefusal(head)) {
            return observer.targetFailed(this, httpResponse, head.status, body)
        }
        if (failure == SendFailure.NOT_RUN_OTHER_TARGET) handleMisdirected(head)
        if (failure != null || observer.hasStreamBegun) {
            body.release()
            return observer.failed(this, failure ?: SendFailure.BROKEN, "status ${head.status}")
        }
        if (head.status in SUCCESS) recordCompletion() else target.health.recordSuccess(context.clock.now())
        observer.responseReceived(this, httpResponse, head.status, body)
    }

    /**
     * Whether the caller of a request that may run once would take the response for the target's promise that it did not run, which
     * the target has not given.
     */
    private fun isUnpromisedRefusal(head: TargetResponseHead): Boolean =
        head.meansNotRun && !head.notRun && grant.route.repeatability == Repeatability.AT_MOST_ONCE

    /** Records a successful response. A resumed stream, of which other targets sent a part, is no observation of a whole request. */
    private fun recordCompletion() {
        val now = context.clock.now()
        target.health.recordSuccess(now)
        release.started(now - sentAt)
        if (!isResumption) serviceTimes.recordTotal(now - sentAt, now)
    }

    /** Handles a misdirected request: another target uses the address, or the target has other weights than were expected. */
    private fun handleMisdirected(head: TargetResponseHead) {
        val expected = cachePlan?.expectedWeights
        val isOther = head.target != null && head.target != target.id.text
        if (model == null || expected == null || isOther) {
            state.directory.removeMisidentified(target.id)
            context.connections.drop(target.id)
        } else if (head.weights != null) {
            target.recordWeights(model, head.weights)
        } else {
            val newest = state.desiredWeights.newest(model)?.version ?: expected
            target.recordRefusedWeights(model, expected, newest, context.clock.now())
        }
    }

    override fun onBroken(reason: String) {
        release.failed()
        close()
        reportBrokenConnection()
        observer.failed(this, SendFailure.BROKEN, reason)
    }

    private fun recordServed(sound: Collection<RequestTrait>) = context.quarantine.served(sound, context.clock.now())

    /**
     * Reports a target that broke the connection, as one that crashes does. The pieces of a prompt can be the cause only between the
     * beginning of the answer and its first event, as the target does not read them before or after that.
     */
    private fun reportBrokenConnection() {
        val address = HostAndPort.parse(target.entry.address) ?: return
        val wasReadingPieces = if (grant.route.isStream) hasResponse && !hasEvents else !hasResponse
        val suspects = if (wasReadingPieces) traits else traits.filterNotTo(LinkedHashSet()) { it is RequestTrait.Piece }
        context.quarantine.connectionBroke(target, address, suspects, sentAt)
    }

    /** Pauses or resumes reading from the target; a pause of reading is no silence of the target. */
    fun pause(paused: Boolean) {
        silence.pause(paused)
        channel?.config()?.isAutoRead = !paused
    }

    /**
     * Cancels the attempt and resets its connection, so that the target notices; [failure], if any, counts against the target. After
     * an ordinary close, what the network has held up of the request would still reach the target.
     */
    fun cancel(failure: SendFailure?) {
        if (isClosed) return
        // The caller may not have waited long enough for a response that is far too late.
        if (failure != null || (!release.hasStarted && silence.isUnusuallyLong)) release.failed()
        val connection = channel
        connection?.pipeline()?.get(TargetResponseHandler::class.java)?.listener = null
        connection?.config()?.setOption(ChannelOption.SO_LINGER, 0)
        connection?.close()
        failure?.let { target.health.recordFailure(it, context.clock.now()) }
        close()
    }

    private fun close() {
        if (isClosed) return
        isClosed = true
        silence.end()
        if (!isWritten) state.rateLimits.giveBack(admission)
        target.load.add(-units)
        if (state.capacity.recordEnd(target, occupied, context.clock.now())) context.scheduleDigest()
        memory.resize(0)
        requestMemory.resize(0)
        observer.closed(this)
        events?.release()
        if (bodyBuffer.refCnt() > 0 && bodyBuffer !== Unpooled.EMPTY_BUFFER) bodyBuffer.release()
    }

    private companion object {
        val SUCCESS = 200..299

        /** The status codes that begin or continue a stream: all successes but 204 and 205, which have no content. */
        val STREAM_SUCCESS = SUCCESS.toSet() - setOf(204, 205)
        const val SERVER_ERROR = 500
        const val WRONG_VERSION = "the software version of the target may not be used now"
    }
}
