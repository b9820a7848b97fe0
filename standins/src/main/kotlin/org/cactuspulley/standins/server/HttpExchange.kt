package org.cactuspulley.standins.server

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import org.cactuspulley.core.platform.ErrorBody
import org.cactuspulley.core.platform.ErrorDetail
import java.util.concurrent.atomic.AtomicBoolean

/** The JSON format of all stand-ins. */
public val standinJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** One request and the functions that respond to it, at once or as a stream, from any thread. */
public class HttpExchange internal constructor(private val context: ChannelHandlerContext, request: FullHttpRequest) {
    private val decoder = QueryStringDecoder(request.uri())
    private val keepAlive = HttpUtil.isKeepAlive(request)
    private val finished = AtomicBoolean()

    @Volatile private var disconnectAction: (() -> Unit)? = null

    /** The request method in upper case. */
    public val method: String = request.method().name()

    /** The request path without the query. */
    public val path: String = decoder.path()

    /** The request headers by lower-case name; of repeated headers the last value is kept. */
    public val headers: Map<String, String> = request.headers().associate { it.key.lowercase() to it.value }

    /** The request body. */
    public val body: ByteArray = ByteArray(request.content().readableBytes()).also { request.content().getBytes(0, it) }

    /** Returns the value of a request header, or null if it is absent. */
    public fun header(name: String): String? = headers[name.lowercase()]

    /** Returns the first value of a query parameter, or null if it is absent. */
    public fun parameter(name: String): String? = decoder.parameters()[name]?.firstOrNull()

    /** Sends a response with the body [bytes], unless the exchange has finished. */
    public fun respond(
        status: Int,
        bytes: ByteArray = ByteArray(0),
        contentType: String = JSON,
        headers: Map<String, String> = emptyMap(),
    ) {
        if (!finished.compareAndSet(false, true)) return
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes))
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        if (status != NO_CONTENT) response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        headers.forEach { (name, value) -> response.headers().set(name, value) }
        val written = context.writeAndFlush(response)
        if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    /** Sends a response with [value] as JSON. */
    public fun <T> respondJson(status: Int, serializer: SerializationStrategy<T>, value: T, headers: Map<String, String> = emptyMap()) {
        respond(status, standinJson.encodeToString(serializer, value).encodeToByteArray(), headers = headers)
    }

    /** Sends an error response with an [ErrorBody]. */
    public fun respondError(status: Int, type: String, message: String = type, headers: Map<String, String> = emptyMap()) {
        respondJson(status, ErrorBody.serializer(), ErrorBody(ErrorDetail(type, message)), headers)
    }

    /** Sends the head of a streamed response with status 200. */
    public fun startStream(contentType: String, headers: Map<String, String> = emptyMap()) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        headers.forEach { (name, value) -> response.headers().set(name, value) }
        context.writeAndFlush(response)
    }

    /** Sends a part of a streamed response, unless the exchange has finished. */
    public fun send(text: String) {
        if (finished.get()) return
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(text.encodeToByteArray())))
    }

    /** Ends a streamed response. */
    public fun finishStream() {
        if (!finished.compareAndSet(false, true)) return
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Closes the connection without a response, or in the middle of one. */
    public fun disconnect() {
        finished.set(true)
        context.close()
    }

    /** Calls [action] if the caller disconnects before the response has ended. */
    public fun onDisconnect(action: () -> Unit) {
        disconnectAction = action
    }

    internal fun notifyDisconnected() {
        if (finished.compareAndSet(false, true)) disconnectAction?.invoke()
    }

    public companion object {
        /** The media type of JSON. */
        public const val JSON: String = "application/json"

        /** The media type of server-sent events. */
        public const val EVENT_STREAM: String = "text/event-stream"

        /** The media type of binary data. */
        public const val OCTET_STREAM: String = "application/octet-stream"
        private const val NO_CONTENT = 204
    }
}
