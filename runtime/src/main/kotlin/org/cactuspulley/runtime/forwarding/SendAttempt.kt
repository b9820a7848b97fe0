package org.cactuspulley.runtime.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.cactuspulley.core.forwarding.CachePlan
import org.cactuspulley.core.forwarding.ForwardedRequest
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.Repeatability
import org.cactuspulley.core.forwarding.ReportedLoad
import org.cactuspulley.core.forwarding.RequestProgress
import org.cactuspulley.core.forwarding.SendFailure
import org.cactuspulley.core.forwarding.SilenceAction
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.forwarding.TargetLoad
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.runtime.platform.HostAndPort
import java.util.concurrent.Future
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request as it came, and what the configuration grants it. */
internal class SentRequest(val head: HttpRequest, val body: ByteArray, val request: ForwardedRequest, val grant: ForwardingGrant)

/** What a send tells the exchange that it belongs to. */
internal interface SendObserver {
    /** Whether the caller has its whole answer or has gone. */
    val isEnded: Boolean

    /** Whether the caller has the head of a stream. */
    val hasBegun: Boolean

    /** The last whole event that the caller has; null if none. */
    val lastEventId: Long?

    /** A stream has begun, perhaps not for the first time. */
    fun streamBegan(response: HttpResponse)

    /** Whole events came at [at], the last one named [lastId]; takes over [events]. */
    fun eventsArrived(attempt: SendAttempt, events: ByteBuf, lastId: Long?, at: MonotonicTime)

    /** The stream is whole. */
    fun streamEnded(attempt: SendAttempt, status: Int)

    /** The answer is whole and no failure; takes over [body]. */
    fun answered(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf)

    /** The target answered with a failure of its own; takes over [body]. */
    fun targetFailed(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf)

    /** The target broke off while it may have run the request. */
    fun crashed(attempt: SendAttempt)

    /** The send ended without an answer that can be delivered. */
    fun failed(attempt: SendAttempt, failure: SendFailure, reason: String)

    /** The send holds nothing any more. */
    fun closed(attempt: SendAttempt)
}

/**
 * One send of a request to [target]: its connection, its answer, and what its timers find. Confined to the event loop.
 */
internal class SendAttempt(
    private val instance: ForwardingContext,
    private val observer: SendObserver,
    private val sent: SentRequest,
    private val progress: RequestProgress,
    val target: Target,
) : TargetAnswerListener {
    private val state = instance.state
    private val log = instance.log
    private val request = sent.request
    private val grant = sent.grant
    private val model = request.prompt?.model
    private var channel: Channel? = null
    private var answer: TargetAnswerHead? = null
    private var response: HttpResponse? = null
    private var collected: ByteBuf = Unpooled.EMPTY_BUFFER
    private var events: EventBoundary? = null
    private var silenceTimer: Future<*>? = null
    private var suspicionTimer: Future<*>? = null
    private var over = false
    private var isSilent = false
    private var bodyWritten = false
    private var cachePlan: CachePlan? = null
    private val startedAt = instance.clock.now()
    private var lastSignAt = startedAt

    /** The work that this send is at its target. */
    var units = TargetLoad.unitsUntilFirstEvent(
        request.prompt,
        request.prompt?.let { state.cache.reusableTokens(grant, it, target.weights(it.model), startedAt) } ?: 0,
    )
        private set

    /** Names the send. */
    val id = AttemptId("${request.id.text}#${progress.sends}")

    val isWritten: Boolean get() = channel != null
    val hasAnswered: Boolean get() = answer != null

    /** Asks for a connection to [address] and sends as soon as there is one. */
    fun start(address: HostAndPort) {
        target.load.add(units)
        instance.connections.acquire(target.id, address) { channel -> connected(channel, address) }
    }

    private fun connected(connection: Channel?, address: HostAndPort) {
        if (over || observer.isEnded) {
            connection?.let { instance.connections.release(target.id, it, null) }
            close()
            return
        }
        if (connection == null) {
            close()
            return observer.failed(this, SendFailure.UNREACHABLE, "no connection")
        }
        channel = connection
        connection.pipeline().get(TargetAnswerHandler::class.java).listener = this
        progress.recordSend()
        write(connection)
        progress.silenceTimeout?.let { awaitSign(it) }
        suspicionTimer = instance.schedule(progress.probeAfter) { suspectIfDark(address) }
    }

    private fun write(connection: Channel) {
        val now = instance.clock.now()
        cachePlan = request.prompt?.let { prompt ->
            state.gate.configuration?.let { state.cache.plan(it, grant, prompt, target, now) }
        }
        val message = TargetSend(
            caller = sent.head,
            request = request,
            grant = grant,
            target = target.entry,
            bodyBytes = sent.body.size,
            remaining = request.deadline?.minus(now)?.coerceAtMost(progress.deadline - now),
            cache = cachePlan,
            lastEventId = observer.lastEventId,
        )
        if (state.cache.hasUrgentNotices) instance.tellSoon()
        connection.write(instance.targetProtocol.request(message))
        connection.writeAndFlush(DefaultLastHttpContent(Unpooled.wrappedBuffer(sent.body)))
            .addListener { if (it.isSuccess) bodyWritten = true }
    }

    /** Looks into a target that has said nothing since this send, and keeps requests away from a dark one. */
    private fun suspectIfDark(address: HostAndPort) {
        val sign = target.lastReceivedAt
        if (over || (sign != null && sign > startedAt)) return
        isSilent = true
        when (target.health.recordSilentSend(instance.clock.now())) {
            SilenceAction.EXCLUDE -> darkTarget("silent to several")
            SilenceAction.PROBE -> check(address)
            SilenceAction.WAIT -> Unit
        }
    }

    private fun check(address: HostAndPort) = instance.connections.check(target.id, address) { reachable ->
        if (!reachable) darkTarget("no connection")
    }

    /** Its kept connections may be dead; what may be sent again goes elsewhere at once. */
    private fun darkTarget(reason: String) {
        target.health.markUnresponsive(instance.clock.now())
        instance.connections.drop(target.id)
        log.belief("target_suspected", "target" to target.id.text, "request" to request.id.text, "reason" to reason)
        instance.tellSoon()
        if (!over && !hasAnswered && progress.silenceTimeout != null) giveUpSilent("target dark: $reason")
    }

    private fun awaitSign(patience: Duration, delay: Duration = patience) {
        silenceTimer = instance.schedule(delay) {
            if (over) return@schedule
            val now = instance.clock.now()
            val quiet = now - maxOf(lastSignAt, signOfOthers() ?: lastSignAt)
            if (quiet < patience) return@schedule awaitSign(patience, patience - quiet + TIMER_SLACK)
            giveUpSilent("no sign for $quiet")
        }
    }

    private fun giveUpSilent(reason: String) {
        cancel(null)
        observer.failed(this, SendFailure.SILENT, reason)
    }

    /** A target that answers others on a stream route is slow rather than dead: its queue moves. */
    private fun signOfOthers(): MonotonicTime? = target.lastReceivedAt?.takeIf { grant.route.isStream && events == null && it > startedAt }

    override fun onHead(response: HttpResponse): Boolean {
        val read = instance.targetProtocol.answer(response)
        if (read.request != null && read.request != request.id) {
            log.foreignAnswer(request, target.id, read.request)
            return false
        }
        answer = read
        this.response = response
        signed()
        read.load?.let { target.health.recordLoad(ReportedLoad(it.running, it.waiting, it.slots, lastSignAt)) }
        if (model != null && read.weights != null && !read.notRun) target.recordWeights(model, read.weights)
        if (grant.route.isStream && read.status in SUCCESS && read.isSigned) beginStream(response)
        return true
    }

    private fun signed() {
        endSilence()
        lastSignAt = instance.clock.now()
        target.lastReceivedAt = lastSignAt
    }

    private fun endSilence() {
        if (isSilent) target.health.silentSendEnded()
        isSilent = false
    }

    private fun beginStream(response: HttpResponse) {
        events = EventBoundary(instance.allocator)
        silenceTimer?.cancel(false)
        if (grant.route.repeatability == Repeatability.RESUMABLE) awaitSign(STREAM_PAUSE)
        observer.streamBegan(response)
    }

    override fun onContent(content: ByteBuf) {
        signed()
        if (observer.isEnded) return
        val stream = events
        if (stream == null) {
            collect(content)
            return
        }
        val whole = stream.accept(content) ?: return
        becomeRunning()
        observer.eventsArrived(this, whole, stream.lastEventId, lastSignAt)
    }

    private fun becomeRunning() {
        if (units == TargetLoad.RUNNING_STREAM_UNITS) return
        target.load.add(TargetLoad.RUNNING_STREAM_UNITS - units)
        units = TargetLoad.RUNNING_STREAM_UNITS
        val prompt = request.prompt ?: return
        cachePlan?.let { state.cache.recordPrefill(it, prompt, lastSignAt) }
        if (state.cache.hasUrgentNotices) instance.tellSoon()
    }

    private fun collect(content: ByteBuf) {
        if (!collected.isReadable) {
            collected = instance.allocator.buffer(content.readableBytes())
        }
        collected.writeBytes(content)
    }

    override fun onEnd() {
        val head = answer
        val connection = channel
        val whole = response
        if (head == null || connection == null || whole == null) return
        val body = collected
        collected = Unpooled.EMPTY_BUFFER
        val stream = events
        events = null
        close()
        keepOrClose(connection, whole, head)
        if (stream != null) endStream(stream, head) else endPlain(whole, head, body)
    }

    private fun keepOrClose(connection: Channel, whole: HttpResponse, head: TargetAnswerHead) {
        if (bodyWritten &&
            instance.staysOpen(whole)
        ) {
            instance.connections.release(target.id, connection, head.idleTimeout)
        } else {
            connection.close()
        }
    }

    private fun endStream(stream: EventBoundary, head: TargetAnswerHead) {
        if (stream.holdsPartial) {
            stream.release()
            return observer.failed(this, SendFailure.BROKEN, "the stream ended inside an event")
        }
        target.health.recordSuccess(instance.clock.now())
        observer.streamEnded(this, head.status)
    }

    private fun endPlain(whole: HttpResponse, head: TargetAnswerHead, body: ByteBuf) {
        val failure = when {
            head.isOtherTarget -> SendFailure.NOT_RUN_OTHER_TARGET
            head.notRun -> SendFailure.NOT_RUN_FULL
            head.status >= SERVER_FAILURE -> SendFailure.FAILED
            head.status in SUCCESS && !head.isSigned -> SendFailure.BROKEN
            else -> null
        }
        if (failure == SendFailure.FAILED && !observer.hasBegun) return observer.targetFailed(this, whole, head.status, body)
        if (failure == SendFailure.NOT_RUN_OTHER_TARGET) learnName(head)
        if (failure != null || observer.hasBegun) {
            body.release()
            return observer.failed(this, failure ?: SendFailure.BROKEN, "status ${head.status}")
        }
        target.health.recordSuccess(instance.clock.now())
        observer.answered(this, whole, head.status, body)
    }

    /** Another target has the address, or the target has newer weights than were known. */
    private fun learnName(head: TargetAnswerHead) {
        val newer = head.weights ?: model?.let { state.weights.newest(it)?.version }
        val isSame = head.target == null || head.target == target.id.text
        if (model != null && newer != null && isSame) {
            target.recordWeights(model, newer)
        } else {
            state.directory.removeMisidentified(target.id)
            instance.connections.drop(target.id)
        }
    }

    override fun onBroken(reason: String) {
        close()
        if (answer == null || observer.hasBegun) observer.crashed(this)
        observer.failed(this, SendFailure.BROKEN, reason)
    }

    /** Stops or resumes reading from the target. */
    fun pause(paused: Boolean) {
        channel?.config()?.isAutoRead = !paused
    }

    /** Ends the send and lets the target see it; [failure] counts against the target. */
    fun cancel(failure: SendFailure?) {
        if (over) return
        val connection = channel
        connection?.pipeline()?.get(TargetAnswerHandler::class.java)?.listener = null
        connection?.close()
        failure?.let { target.health.recordFailure(it, instance.clock.now()) }
        close()
    }

    private fun close() {
        if (over) return
        over = true
        endSilence()
        target.load.add(-units)
        silenceTimer?.cancel(false)
        suspicionTimer?.cancel(false)
        observer.closed(this)
        events?.release()
        if (collected.refCnt() > 0 && collected !== Unpooled.EMPTY_BUFFER) collected.release()
    }

    private companion object {
        val SUCCESS = 200..299
        const val SERVER_FAILURE = 500

        /** A resumable stream that pauses for longer is continued elsewhere; callers count 500 ms as late and leave after 4 s. */
        val STREAM_PAUSE = 1_200.milliseconds

        val TIMER_SLACK = 2.milliseconds
    }
}
