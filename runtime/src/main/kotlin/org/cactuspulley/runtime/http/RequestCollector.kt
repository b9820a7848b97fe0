package org.cactuspulley.runtime.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream

/** Sends `100 Continue` if [message] is the head of a request whose client waits for it. */
internal fun ChannelHandlerContext.writeContinueIfExpected(message: HttpObject) {
    if (message !is HttpRequest || !HttpUtil.is100ContinueExpected(message)) return
    writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
}

/** A complete request of a caller. */
internal class CollectedRequest(val head: HttpRequest, val body: ByteArray) {
    /** The estimated memory of the request. */
    val heldBytes: Long get() = body.size + head.heldBytes
}

/** Why a request is refused before it is complete. */
internal enum class InvalidRequest { MALFORMED, HEAD_TOO_LARGE, BODY_TOO_LARGE, NO_MEMORY }

/** What the messages of a decoder have added up to. */
internal sealed interface CollectedPart {
    data object Incomplete : CollectedPart

    class Complete(val request: CollectedRequest) : CollectedPart

    class Invalid(val reason: InvalidRequest) : CollectedPart
}

/**
 * Collects the requests of one connection from the messages of its [CallerRequestDecoder].
 *
 * @param maxBodyBytes returns the largest size of a body.
 * @param account called after [heldBytes] has grown; returns false if there is no memory for that.
 */
internal class RequestCollector(private val maxBodyBytes: () -> Int, private val account: () -> Boolean) {
    @Volatile
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream(0)

    /** Whether the head of a request has arrived and its body has not arrived completely. */
    val isReading: Boolean get() = head != null

    /** The estimated memory of the request that is being collected; a body that grows has twice its size. */
    val heldBytes: Long get() = 2L * body.size() + (head?.heldBytes ?: 0)

    /** Adds [message], which the caller of this function releases. */
    fun collect(message: HttpObject): CollectedPart {
        if (message.decoderResult().isFailure) return CollectedPart.Invalid(invalidityOf(message.decoderResult().cause()))
        if (message is HttpRequest) startRequest(message)?.let { return CollectedPart.Invalid(it) }
        return if (message is HttpContent) addContent(message) else CollectedPart.Incomplete
    }

    private fun invalidityOf(cause: Throwable) = when (cause) {
        is HeadersTooLargeException -> InvalidRequest.NO_MEMORY
        is TooLongFrameException -> InvalidRequest.HEAD_TOO_LARGE
        else -> InvalidRequest.MALFORMED
    }

    private fun startRequest(request: HttpRequest): InvalidRequest? {
        if (isAmbiguous(request)) return InvalidRequest.MALFORMED
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes()) return InvalidRequest.BODY_TOO_LARGE
        head = request
        body = ByteArrayOutputStream(0)
        return if (account()) null else InvalidRequest.NO_MEMORY
    }

    private fun addContent(message: HttpContent): CollectedPart {
        val started = head ?: return CollectedPart.Incomplete
        val content = message.content()
        if (body.size() + content.readableBytes() > maxBodyBytes()) return CollectedPart.Invalid(InvalidRequest.BODY_TOO_LARGE)
        content.readBytes(body, content.readableBytes())
        if (!account()) return CollectedPart.Invalid(InvalidRequest.NO_MEMORY)
        if (message !is LastHttpContent) return CollectedPart.Incomplete
        val request = CollectedRequest(started, body.toByteArray())
        clear()
        return CollectedPart.Complete(request)
    }

    /** Drops the request that is being collected. */
    fun clear() {
        head = null
        body = ByteArrayOutputStream(0)
    }

    /** Detects request smuggling: a message whose length can be interpreted in two ways may hide a second request. */
    private fun isAmbiguous(request: HttpRequest): Boolean {
        val headers = request.headers()
        val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        if (codings.isEmpty()) return headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size > 1
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || codings.size > 1 || !codings.first().equals(CHUNKED, ignoreCase = true)
    }

    private companion object {
        const val CHUNKED = "chunked"
    }
}
