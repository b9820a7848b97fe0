package org.cactuspulley.runtime.edge

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.cactuspulley.core.effect.AnswerRecorded
import org.cactuspulley.core.effect.CancelAttempt
import org.cactuspulley.core.effect.CompleteAnswer
import org.cactuspulley.core.effect.RefuseRequest
import org.cactuspulley.core.effect.ReleaseRequest
import org.cactuspulley.core.effect.RequestEffect
import org.cactuspulley.core.effect.StartAttempt
import org.cactuspulley.core.event.AttemptFinished
import org.cactuspulley.core.event.AttemptFirstByte
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.requests.AttemptOutcome
import org.cactuspulley.core.requests.RecordedAnswer
import org.cactuspulley.core.requests.Refusal
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.upstream.AnswerEnd
import org.cactuspulley.runtime.upstream.AnswerKind
import org.cactuspulley.runtime.upstream.AttemptCall
import org.cactuspulley.runtime.upstream.AttemptListener
import org.cactuspulley.runtime.upstream.HandOverCall
import org.cactuspulley.runtime.upstream.RunningAttempt
import org.cactuspulley.runtime.upstream.TargetClient
import java.util.Base64

/** What an exchange needs from the server that it belongs to. */
internal class ExchangeContext(
    val targets: TargetClient,
    val clock: MonotonicClock,
    val submit: (CoreEvent) -> Unit,
    val closing: () -> Boolean,
    val forget: (RequestId) -> Unit,
)

/**
 * One request and its answer. Lives on the event loop of the caller's connection. Only what the
 * current attempt delivers reaches the caller; a late answer of an earlier one finds no listener.
 */
internal class CallerExchange(
    private val request: CallerRequest,
    private val caller: ChannelHandlerContext,
    private val keepAlive: Boolean,
    private val chunked: Boolean,
    private val context: ExchangeContext,
    private val answered: (keepAlive: Boolean) -> Unit,
) {
    private var current: CurrentAttempt? = null
    private var streamBegun = false
    private var callerGone = false
    private var ended = false

    private val id get() = request.description.id

    /** Runs [action] on the exchange's event loop. */
    fun onEventLoop(action: CallerExchange.() -> Unit) {
        val loop = caller.channel().eventLoop()
        if (loop.inEventLoop()) action() else loop.execute { action() }
    }

    fun startAttempt(effect: StartAttempt) {
        val listener = CurrentAttempt(effect.attempt)
        current = listener
        listener.running = context.targets.start(call(effect), caller.channel().eventLoop(), listener)
        if (!callerGone) listener.running?.setReading(caller.channel().isWritable)
    }

    fun cancelAttempt(attempt: AttemptId) {
        current?.takeIf { it.attempt == attempt }?.running?.cancel()
    }

    /** Writes the end of the whole answer of [attempt]. */
    fun complete(attempt: AttemptId) {
        val end = current?.takeIf { it.attempt == attempt }?.end ?: return
        when (end) {
            is AnswerEnd.Whole -> {
                val response = fullResponse(end.status, end.body, null)
                response.headers().add(headersForCaller(end.headers))
                HttpUtil.setContentLength(response, end.body.size.toLong())
                write(response)
            }

            is AnswerEnd.StreamTail -> {
                beginStream()
                caller.write(DefaultHttpContent(Unpooled.wrappedBuffer(end.events)))
                endStream(keepAlive)
            }
        }
    }

    fun answer(recorded: RecordedAnswer) {
        val response = fullResponse(recorded.status, recorded.body.bytes, null)
        recorded.headers.forEach { response.headers().set(it.name, it.value) }
        write(response)
    }

    /** Tells the caller of a failure; a stream that has begun ends with an error event and without its marker. */
    fun refuse(refusal: Refusal) {
        if (!streamBegun) return write(refusalResponse(refusal, context.clock.now()))
        val event = "data: ${errorText(refusal)}\n\n"
        caller.write(DefaultHttpContent(Unpooled.wrappedBuffer(event.toByteArray())))
        endStream(keepAlive = false)
    }

    /** The request ended without an answer. */
    fun release() = context.forget(id)

    /** The caller's connection is closed. */
    fun callerLeft() {
        callerGone = true
        current?.running?.setReading(true)
    }

    /** The caller's connection became writable or stopped being so. */
    fun writabilityChanged() {
        if (!callerGone) current?.running?.setReading(caller.channel().isWritable)
    }

    private fun call(effect: StartAttempt): AttemptCall {
        val isEngine = request.description.model != null
        val headers = if (isEngine) engineHeaders(effect) else headersForService(request.headers, request.key)
        effect.idempotencyKey?.let { headers.set(TargetHeaders.IDEMPOTENCY_KEY, it.text) }
        return AttemptCall(
            attempt = effect.attempt,
            answerId = id,
            target = effect.target,
            method = request.method,
            uri = request.uri,
            headers = headers,
            body = request.body,
            kind = when {
                !isEngine -> AnswerKind.SERVICE
                request.description.streaming -> AnswerKind.ENGINE_STREAM
                else -> AnswerKind.ENGINE_WHOLE
            },
            resumeFrom = effect.resumeFrom,
            repeatable = effect.repeatable,
            keepAnswer = effect.keepAnswer,
            startBefore = effect.startBefore,
            handOver = effect.handOver?.let { HandOverCall(it.address, it.handOver.lastPieceHash, effect.cacheScope) },
        )
    }

    private fun engineHeaders(effect: StartAttempt): HttpHeaders {
        val headers = headersForEngine(request.headers, request.key)
        headers.set(TargetHeaders.CACHE_SCOPE, Base64.getEncoder().encodeToString(effect.cacheScope.toByteArray()))
        headers.set(TargetHeaders.PRIORITY, if (effect.mayWait) "batch" else "interactive")
        effect.weights?.let { headers.set(TargetHeaders.WEIGHTS_VERSION, it.text) }
        if (effect.resumeFrom > 0) headers.set(TargetHeaders.RESUME_FROM, effect.resumeFrom)
        val remaining = (effect.deadline - context.clock.now()).inWholeMilliseconds.coerceAtLeast(1)
        headers.set(TargetHeaders.CALLER_DEADLINE_MILLIS, remaining)
        return headers
    }

    private fun beginStream() {
        if (streamBegun) return
        streamBegun = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        if (chunked) HttpUtil.setTransferEncodingChunked(response, true)
        addCommonHeaders(response.headers())
        caller.write(response)
    }

    private fun endStream(keepAlive: Boolean) = finish(LastHttpContent.EMPTY_LAST_CONTENT, keepAlive && chunked)

    private fun write(response: FullHttpResponse) {
        addCommonHeaders(response.headers())
        val isHead = request.method == HttpMethod.HEAD
        finish(if (isHead) response.replace(Unpooled.EMPTY_BUFFER) else response, keepAlive)
    }

    private fun addCommonHeaders(headers: HttpHeaders) {
        headers.set(TargetHeaders.REQUEST_ID, request.correlationId)
        if (!keepAlive || context.closing()) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finish(last: Any, keepAlive: Boolean) {
        if (ended) return
        ended = true
        context.forget(id)
        val staysOpen = keepAlive && !context.closing()
        val written = caller.writeAndFlush(last)
        if (!staysOpen) written.addListener(ChannelFutureListener.CLOSE)
        answered(staysOpen)
    }

    private inner class CurrentAttempt(val attempt: AttemptId) : AttemptListener {
        var running: RunningAttempt? = null
        var end: AnswerEnd? = null

        override fun firstByte() = context.submit(AttemptFirstByte(id, attempt))

        override fun deliver(event: ByteArray) {
            if (callerGone || current !== this) return
            beginStream()
            caller.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(event)))
        }

        override fun finished(outcome: AttemptOutcome, end: AnswerEnd?) {
            this.end = end
            context.submit(AttemptFinished(id, attempt, outcome))
        }
    }
}

/** Effects that concern one exchange, as a function of it. */
internal fun CallerExchange.carryOut(effect: RequestEffect) {
    when (effect) {
        is StartAttempt -> startAttempt(effect)
        is CancelAttempt -> cancelAttempt(effect.attempt)
        is CompleteAnswer -> complete(effect.attempt)
        is AnswerRecorded -> answer(effect.answer)
        is RefuseRequest -> refuse(effect.refusal)
        is ReleaseRequest -> release()
        else -> Unit
    }
}
