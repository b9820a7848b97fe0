package org.cactuspulley.runtime.forwarding

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Follows the answer to one send; called on the event loop. */
internal interface TargetResponseListener {
    /** The head of an answer; false if it answers another request and is to be passed over. */
    fun onHead(response: HttpResponse): Boolean

    /** Bytes of the answer's body; the callee must not keep [content]. */
    fun onContent(content: ByteBuf)

    /** The answer is whole; the connection carries nothing of it any more. */
    fun onEnd()

    /** The connection ended or spoke nonsense before the answer was whole. */
    fun onBroken(reason: String)
}

/** Leads what arrives on one connection to the send that uses it; bytes that nobody waits for end the connection. */
internal class TargetResponseHandler : ChannelInboundHandlerAdapter() {
    /** The send whose answer is awaited. */
    var listener: TargetResponseListener? = null
    private var skipsResponse = false
    private var inResponse = false
    private var failureReason: String? = null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) read(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(context: ChannelHandlerContext, message: HttpObject) {
        val receiver = listener
        if (message.decoderResult().isFailure) return fail(context, "unreadable answer: ${message.decoderResult().cause().message}")
        if (receiver == null) {
            if (!skipsResponse) context.close()
            return
        }
        if (message is HttpResponse) {
            if (message.status().code() in INFORMATIONAL) return
            skipsResponse = !receiver.onHead(message)
            inResponse = !skipsResponse
        }
        if (message is HttpContent) readContent(context, message, receiver)
    }

    private fun readContent(context: ChannelHandlerContext, message: HttpContent, receiver: TargetResponseListener) {
        if (skipsResponse) {
            if (message is LastHttpContent) skipsResponse = false
            return
        }
        if (!inResponse) return
        if (message.content().isReadable) receiver.onContent(message.content())
        if (message is LastHttpContent && listener === receiver) end(context, receiver)
    }

    private fun end(context: ChannelHandlerContext, receiver: TargetResponseListener) {
        val reason = failureReason
        if (reason != null) return fail(context, reason)
        inResponse = false
        listener = null
        receiver.onEnd()
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
        context.close()
        receiver?.onBroken(reason)
    }

    private companion object {
        /** Informational answers precede the answer proper. */
        val INFORMATIONAL = 100..199
    }
}
