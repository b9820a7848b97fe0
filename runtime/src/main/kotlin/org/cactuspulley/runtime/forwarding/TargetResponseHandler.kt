package org.cactuspulley.runtime.forwarding

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.runtime.http.BufferMemory

/** The request that a response belongs to. */
internal enum class ResponseOwner {
    /** The request of this attempt. */
    THIS_REQUEST,

    /** Another request; the response to the request of this attempt may follow. */
    OTHER_REQUEST,

    /** Unknown, so that nothing on the connection can be believed any more. */
    UNKNOWN,
}

/** Whether the end of the body can be told without the end of the connection. */
internal val HttpResponse.isFramed: Boolean
    get() = HttpUtil.isContentLengthSet(this) || HttpUtil.isTransferEncodingChunked(this)

/** Receives the response to one send attempt; called on the event loop. */
internal interface TargetResponseListener {
    /** Whether the system has taken the request whole; the target may not have read its last part yet. */
    val isRequestWritten: Boolean get() = true

    /** Called with the head of a response; returns which request it belongs to. */
    fun onHead(response: HttpResponse): ResponseOwner

    /** Called with bytes of the response body; the implementation must not retain [content]. */
    fun onContent(content: ByteBuf)

    /** Called when the response is complete and the connection is free for reuse. */
    fun onEnd()

    /** Called when the connection was closed or sent invalid data before the response was complete. */
    fun onBroken(reason: String)
}

/**
 * Passes the data of one connection to the attempt that uses it; closes the connection if data arrives while none does.
 *
 * @param headMemory the account of the memory for the head of the response.
 */
internal class TargetResponseHandler(private val headMemory: BufferMemory.Share? = null) : ChannelInboundHandlerAdapter() {
    /** The attempt that waits for a response; null while the connection is idle. */
    var listener: TargetResponseListener? = null

    /** The requests that were answered on this connection without success, and may be sent again over another one. */
    val refusedRequests = HashSet<RequestId>()

    /** The number of requests for which the connection has been used. */
    var requestCount = 0
        private set
    private var skipsResponse = false
    private var skippedBytes = 0

    /** The informational responses since the last final one. */
    private var informationalResponses = 0
    private var inResponse = false
    private var endsWithConnection = false
    private var failureReason: String? = null

    /** Passes the next response to [listener]. */
    fun assign(listener: TargetResponseListener) {
        this.listener = listener
        requestCount++
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) read(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(context: ChannelHandlerContext, message: HttpObject) {
        val receiver = listener
        if (message.decoderResult().isFailure) return fail(context, "invalid response: ${message.decoderResult().cause().message}")
        if (receiver == null) {
            context.close()
            return
        }
        if (message is HttpResponse) {
            invalidity(message, receiver)?.let { return fail(context, "invalid response: $it") }
            if (isInformational(message)) {
                headMemory?.resize(0)
                if (++informationalResponses > MAX_INFORMATIONAL_RESPONSES) fail(context, "too many informational responses")
                return
            }
            if (holdsStatusLine(message)) return fail(context, "a response within the head of another")
            when (receiver.onHead(message)) {
                ResponseOwner.THIS_REQUEST -> {
                    inResponse = true
                    endsWithConnection = !message.isFramed
                }

                ResponseOwner.OTHER_REQUEST -> skip(context, message)

                ResponseOwner.UNKNOWN -> fail(context, "response to an unknown request")
            }
        }
        if (message is HttpContent && listener === receiver) readContent(context, message, receiver)
    }

    /**
     * Returns why [response] is no response to the request of [receiver]; null if it may be one. The end of one without a length may come
     * from a target that has not read the request.
     */
    private fun invalidity(response: HttpResponse, receiver: TargetResponseListener): String? {
        val version = response.protocolVersion()
        val status = response.status().code()
        val headers = response.headers()
        val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            version.protocolName() != HTTP || version.majorVersion() != 1 -> "version $version"
            status !in STATUSES -> "status $status"
            status == SWITCHING_PROTOCOLS -> "a change of protocol, for which no request asks"
            codings.size > 1 || codings.any { !it.equals(CHUNKED, ignoreCase = true) } -> "transfer coding $codings"
            status == NO_CONTENT && HttpUtil.getContentLength(response, 0L) > 0 -> "status 204 with a body"
            isInformational(response) || response.isFramed || isBodyless(status) -> null
            !receiver.isRequestWritten -> "no length, before the request was sent"
            else -> null
        }
    }

    private fun isBodyless(status: Int) = status == NO_CONTENT || status == NOT_MODIFIED

    /** Skips [response]. One without a length ends with the connection, so that no other response can follow. */
    private fun skip(context: ChannelHandlerContext, response: HttpResponse) {
        if (!response.isFramed) return fail(context, "response to another request, without a length")
        skipsResponse = true
        skippedBytes = 0
    }

    /** Whether a head that broke off was joined to the next response, so that it holds parts of two. */
    private fun holdsStatusLine(response: HttpResponse): Boolean =
        STATUS_LINE_START in response.status().reasonPhrase() || response.headers().any { (_, value) -> STATUS_LINE_START in value }

    private fun isInformational(response: HttpResponse) = response.status().code() in INFORMATIONAL

    private fun readContent(context: ChannelHandlerContext, message: HttpContent, receiver: TargetResponseListener) {
        if (skipsResponse) {
            skippedBytes += message.content().readableBytes()
            if (skippedBytes > MAX_SKIPPED_BYTES) return fail(context, "response to another request, too large")
            if (message is LastHttpContent) {
                skipsResponse = false
                headMemory?.resize(0)
            }
            return
        }
        if (!inResponse) return
        if (message.content().isReadable) receiver.onContent(message.content())
        if (message is LastHttpContent && listener === receiver) end(context, receiver)
    }

    private fun end(context: ChannelHandlerContext, receiver: TargetResponseListener) {
        val reason = failureReason
        if (reason != null) return fail(context, reason)
        // The decoder completes such a response whenever the connection ends; only the end that the target sent makes it complete.
        if (endsWithConnection && !context.channel().isActive) return fail(context, "connection closed")
        inResponse = false
        informationalResponses = 0
        listener = null
        headMemory?.resize(0)
        receiver.onEnd()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) fail(context, failureReason ?: "connection closed")
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail(context, failureReason ?: "connection closed")
    }

    @Deprecated("Overrides a Netty method that is not otherwise replaced.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failureReason = cause.message ?: cause.javaClass.simpleName
        fail(context, failureReason.orEmpty())
    }

    private fun fail(context: ChannelHandlerContext, reason: String) {
        val receiver = listener
        listener = null
        inResponse = false
        headMemory?.resize(0)
        context.close()
        receiver?.onBroken(reason)
    }

    private companion object {
        const val HTTP = "HTTP"
        const val CHUNKED = "chunked"
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304

        /** The status codes that HTTP defines. */
        val STATUSES = 100..599

        /** What every status line begins with. */
        const val STATUS_LINE_START = "HTTP/1."

        /** The status codes of informational responses, which precede the final response. */
        val INFORMATIONAL = 100..199

        /** Ends HTTP on the connection; no request asks for it. */
        const val SWITCHING_PROTOCOLS = 101

        /** No request asks for informational responses, of which a response usually has one at most. */
        const val MAX_INFORMATIONAL_RESPONSES = 8

        /** As large as the largest response that is accepted. */
        const val MAX_SKIPPED_BYTES = 1024 * 1024
    }
}
