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
import org.cactuspulley.core.effect.CancelAttempt
import org.cactuspulley.core.effect.CompleteAnswer
import org.cactuspulley.core.effect.RefuseRequest
import org.cactuspulley.core.effect.ReleaseRequest
import org.cactuspulley.core.effect.RequestEffect
import org.cactuspulley.core.effect.SendRecordedAnswer
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
import org.cactuspulley.runtime.upstream.AttemptListener
import org.cactuspulley.runtime.upstream.AttemptRequest
import org.cactuspulley.runtime.upstream.KvCacheTransferRequest
import org.cactuspulley.runtime.upstream.ResponseEnd
import org.cactuspulley.runtime.upstream.ResponseKind
import org.cactuspulley.runtime.upstream.RunningAttempt
import org.cactuspulley.runtime.upstream.TargetClient
import java.util.Base64

/**
 * The functions and state of the server that its exchanges use.
 *
 * @property submit sends an event to the control thread.
 * @property isDraining returns whether the server is shutting down and closes each connection after its current response.
 * @property unregister removes a completed exchange from the server.
 */
internal class ExchangeContext(
    val targetClient: TargetClient,
    val clock: MonotonicClock,
    val submit: (CoreEvent) -> Unit,
    val isDraining: () -> Boolean,
    val unregister: (RequestId) -> Unit,
)

/**
 * Handles one request and its response. All functions run on the event loop of the caller's connection,
 * except [runOnEventLoop], which any thread may call. Content of an earlier attempt is discarded, so only
 * the active attempt reaches the caller.
 *
 * @param supportsChunkedEncoding whether the caller accepts chunked transfer encoding, which HTTP/1.0 lacks.
 * @param onResponseEnd is called after the response; its argument tells whether the connection stays open.
 */
internal class CallerExchange(
    private val request: CallerRequest,
    private val callerContext: ChannelHandlerContext,
    private val keepAlive: Boolean,
    private val supportsChunkedEncoding: Boolean,
    private val context: ExchangeContext,
    private val onResponseEnd: (staysOpen: Boolean) -> Unit,
) {
    private var activeAttempt: ActiveAttempt? = null
    private var streamStarted = false
    private var callerDisconnected = false
    private var responseEnded = false

    private val id get() = request.description.id

    /** Runs [action] on the event loop of the caller's connection. */
    fun runOnEventLoop(action: CallerExchange.() -> Unit) {
        val loop = callerContext.channel().eventLoop()
        if (loop.inEventLoop()) action() else loop.execute { action() }
    }

    fun startAttempt(effect: StartAttempt) {
        val listener = ActiveAttempt(effect.attempt)
        activeAttempt = listener
        listener.running = context.targetClient.start(attemptRequest(effect), callerContext.channel().eventLoop(), listener)
        if (!callerDisconnected) listener.running?.setReadEnabled(callerContext.channel().isWritable)
    }

    fun cancelAttempt(attempt: AttemptId) {
        activeAttempt?.takeIf { it.attempt == attempt }?.running?.cancel()
    }

    /** Writes the withheld end of the response of [attempt] if it is the active attempt. */
    fun completeResponse(attempt: AttemptId) {
        val responseEnd = activeAttempt?.takeIf { it.attempt == attempt }?.responseEnd ?: return
        when (responseEnd) {
            is ResponseEnd.Buffered -> {
                val response = fullResponse(responseEnd.status, responseEnd.body, null)
                response.headers().add(responseHeadersForCaller(responseEnd.headers))
                HttpUtil.setContentLength(response, responseEnd.body.size.toLong())
                writeFullResponse(response)
            }

            is ResponseEnd.StreamTail -> {
                startStream()
                callerContext.write(DefaultHttpContent(Unpooled.wrappedBuffer(responseEnd.events)))
                endStream(keepAlive)
            }
        }
    }

    fun writeRecordedResponse(recorded: RecordedAnswer) {
        val response = fullResponse(recorded.status, recorded.body.bytes, null)
        recorded.headers.forEach { response.headers().set(it.name, it.value) }
        writeFullResponse(response)
    }

    /** Sends an error response. A stream that has started ends with an error event and without the terminal marker. */
    fun writeRefusal(refusal: Refusal) {
        if (!streamStarted) return writeFullResponse(refusalResponse(refusal, context.clock.now()))
        val event = "data: ${errorJson(refusal)}\n\n"
        callerContext.write(DefaultHttpContent(Unpooled.wrappedBuffer(event.toByteArray())))
        endStream(keepAlive = false)
    }

    /** Unregisters the exchange of a request that ended without a response. */
    fun release() = context.unregister(id)

    /** Handles the closing of the caller's connection and resumes reading from the target. */
    fun onCallerDisconnected() {
        callerDisconnected = true
        activeAttempt?.running?.setReadEnabled(true)
    }

    /** Pauses reading from the target while the caller's connection is not writable. */
    fun onWritabilityChanged() {
        if (!callerDisconnected) activeAttempt?.running?.setReadEnabled(callerContext.channel().isWritable)
    }

    private fun attemptRequest(effect: StartAttempt): AttemptRequest {
        val isEngine = request.description.model != null
        val headers = if (isEngine) engineHeaders(effect) else requestHeadersForService(request.headers, request.key)
        effect.idempotencyKey?.let { headers.set(TargetHeaders.IDEMPOTENCY_KEY, it.text) }
        return AttemptRequest(
            attempt = effect.attempt,
            responseId = id,
            target = effect.target,
            method = request.method,
            uri = request.uri,
            headers = headers,
            body = request.body,
            kind = when {
                !isEngine -> ResponseKind.SERVICE
                request.description.streaming -> ResponseKind.ENGINE_STREAM
                else -> ResponseKind.ENGINE_BUFFERED
            },
            resumeFrom = effect.resumeFrom,
            repeatable = effect.repeatable,
            recordResponse = effect.keepAnswer,
            startBefore = effect.startBefore,
            kvCacheTransfer = effect.handOver?.let { KvCacheTransferRequest(it.address, it.handOver.lastPieceHash, effect.cacheScope) },
        )
    }

    private fun engineHeaders(effect: StartAttempt): HttpHeaders {
        val headers = requestHeadersForEngine(request.headers, request.key)
        headers.set(TargetHeaders.CACHE_SCOPE, Base64.getEncoder().encodeToString(effect.cacheScope.toByteArray()))
        headers.set(TargetHeaders.PRIORITY, if (effect.mayWait) "batch" else "interactive")
        effect.weights?.let { headers.set(TargetHeaders.WEIGHTS_VERSION, it.text) }
        if (effect.resumeFrom > 0) headers.set(TargetHeaders.RESUME_FROM, effect.resumeFrom)
        val remaining = (effect.deadline - context.clock.now()).inWholeMilliseconds.coerceAtLeast(1)
        headers.set(TargetHeaders.CALLER_DEADLINE_MILLIS, remaining)
        return headers
    }

    private fun startStream() {
        if (streamStarted) return
        streamStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        if (supportsChunkedEncoding) HttpUtil.setTransferEncodingChunked(response, true)
        addCommonHeaders(response.headers())
        callerContext.write(response)
    }

    private fun endStream(keepAlive: Boolean) = endResponse(LastHttpContent.EMPTY_LAST_CONTENT, keepAlive && supportsChunkedEncoding)

    private fun writeFullResponse(response: FullHttpResponse) {
        addCommonHeaders(response.headers())
        val isHead = request.method == HttpMethod.HEAD
        endResponse(if (isHead) response.replace(Unpooled.EMPTY_BUFFER) else response, keepAlive)
    }

    private fun addCommonHeaders(headers: HttpHeaders) {
        headers.set(TargetHeaders.REQUEST_ID, request.correlationId)
        if (!keepAlive || context.isDraining()) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun endResponse(lastMessage: Any, keepAlive: Boolean) {
        if (responseEnded) return
        responseEnded = true
        context.unregister(id)
        val staysOpen = keepAlive && !context.isDraining()
        val written = callerContext.writeAndFlush(lastMessage)
        if (!staysOpen) written.addListener(ChannelFutureListener.CLOSE)
        onResponseEnd(staysOpen)
    }

    private inner class ActiveAttempt(val attempt: AttemptId) : AttemptListener {
        var running: RunningAttempt? = null
        var responseEnd: ResponseEnd? = null

        override fun onFirstByte() = context.submit(AttemptFirstByte(id, attempt))

        override fun onEvent(event: ByteArray) {
            if (callerDisconnected || activeAttempt !== this) return
            startStream()
            callerContext.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(event)))
        }

        override fun onFinished(outcome: AttemptOutcome, responseEnd: ResponseEnd?) {
            this.responseEnd = responseEnd
            context.submit(AttemptFinished(id, attempt, outcome))
        }
    }
}

/** Applies [effect] to this exchange. Effects that concern the whole server are ignored. */
internal fun CallerExchange.applyEffect(effect: RequestEffect) {
    when (effect) {
        is StartAttempt -> startAttempt(effect)
        is CancelAttempt -> cancelAttempt(effect.attempt)
        is CompleteAnswer -> completeResponse(effect.attempt)
        is SendRecordedAnswer -> writeRecordedResponse(effect.answer)
        is RefuseRequest -> writeRefusal(effect.refusal)
        is ReleaseRequest -> release()
        else -> Unit
    }
}
