package org.cactuspulley.runtime.upstream

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.requests.AttemptOutcome
import org.cactuspulley.runtime.control.MonotonicClock
import java.util.concurrent.TimeUnit

/** Sends one attempt and reads its response. It finishes exactly once, and all functions run on one event loop. */
internal class TargetAttempt(
    private val attemptRequest: AttemptRequest,
    private val settings: TargetClientSettings,
    private val clock: MonotonicClock,
    private val listener: AttemptListener,
) : RunningAttempt {
    private var channel: Channel? = null
    private var reader: ResponseReader? = null
    private var sent = false
    private var ended = false
    private var connectionReusable = false
    private var readEnabled = true
    private var bodyEndTimer: ScheduledFuture<*>? = null

    val isHeadRequest: Boolean get() = attemptRequest.method == HttpMethod.HEAD

    /** Whether the listener has been notified of the outcome. */
    val hasEnded: Boolean get() = ended

    private val deliveredTokens: Int get() = reader?.deliveredTokens ?: attemptRequest.resumeFrom

    fun onConnected(connection: Channel) {
        when {
            ended -> connection.close()

            clock.now() >= attemptRequest.startBefore -> {
                connection.close()
                finish(AttemptOutcome.NotSent)
            }

            else -> send(connection)
        }
    }

    fun onConnectFailed() = finish(AttemptOutcome.NotSent)

    private fun send(connection: Channel) {
        channel = connection
        connection.pipeline().get(TargetConnection::class.java).assign(this)
        connection.config().isAutoRead = readEnabled
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                attemptRequest.method,
                attemptRequest.uri,
                Unpooled.wrappedBuffer(attemptRequest.body),
            )
        request.headers().set(attemptRequest.headers)
        request.headers().set(HttpHeaderNames.HOST, "${attemptRequest.target.host}:${attemptRequest.target.port}")
        request.headers().set(TargetHeaders.REQUEST_ID, attemptRequest.attempt.text)
        HttpUtil.setContentLength(request, attemptRequest.body.size.toLong())
        sent = true
        connection.writeAndFlush(request).addListener { written -> if (!written.isSuccess) connection.close() }
    }

    fun onMessage(context: ChannelHandlerContext, message: HttpObject) {
        if (!message.decoderResult().isSuccess) return failConnection(context)
        if (message is HttpResponse) onResponseHead(context, message)
        if (message is HttpContent) onContent(context, message)
        if (message is LastHttpContent) onBodyEnd(context)
    }

    private fun onResponseHead(context: ChannelHandlerContext, response: HttpResponse) {
        if (ended) return
        listener.onFirstByte()
        // If the target repeats a response without an id, nothing distinguishes it from the response to the next request.
        connectionReusable = HttpUtil.isKeepAlive(response) && response.headers().contains(TargetHeaders.REQUEST_ID)
        val (newReader, result) = ResponseReader.create(attemptRequest, response, settings.limits, listener::onEvent)
        reader = newReader
        handleResult(context, result)
    }

    private fun onContent(context: ChannelHandlerContext, content: HttpContent) {
        if (!ended && content.content().isReadable) reader?.let { handleResult(context, it.onContent(content.content())) }
    }

    private fun onBodyEnd(context: ChannelHandlerContext) {
        if (!ended) reader?.let { handleResult(context, it.onBodyEnd()) }
        bodyEndTimer?.cancel(false)
        if (connectionReusable) context.pipeline().get(TargetConnection::class.java).release(context) else context.close()
    }

    private fun handleResult(context: ChannelHandlerContext, result: ReadResult) {
        if (result !is ReadResult.Ended) return
        if (result.outcome is AttemptOutcome.Completed) {
            context.channel().config().isAutoRead = true
            scheduleBodyEndTimeout(context)
        } else {
            connectionReusable = false
            context.close()
        }
        finish(result.outcome, result.responseEnd)
    }

    /** Closes the connection if the body does not end in time after the terminal marker. Until it ends, the connection cannot be reused. */
    private fun scheduleBodyEndTimeout(context: ChannelHandlerContext) {
        if (reader !is StreamedResponseReader) return
        bodyEndTimer = context.executor().schedule({ context.close() }, settings.bodyEndTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun failConnection(context: ChannelHandlerContext) {
        context.close()
        onConnectionClosed()
    }

    fun onConnectionClosed() {
        bodyEndTimer?.cancel(false)
        finish(AttemptOutcome.Crashed(deliveredTokens))
    }

    override fun cancel() {
        if (ended) return
        finish(AttemptOutcome.Cancelled(deliveredTokens, sent))
        connectionReusable = false
        channel?.close()
    }

    override fun setReadEnabled(enabled: Boolean) {
        this.readEnabled = enabled
        if (!ended) channel?.config()?.isAutoRead = enabled
    }

    private fun finish(outcome: AttemptOutcome, responseEnd: ResponseEnd? = null) {
        if (ended) return
        ended = true
        listener.onFinished(outcome, responseEnd)
    }
}
