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
internal interface TargetAnswerListener {
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
internal class TargetAnswerHandler : ChannelInboundHandlerAdapter() {
    /** The send whose answer is awaited. */
    var listener: TargetAnswerListener? = null
    private var passingOver = false
    private var inAnswer = false
    private var broken: String? = null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) read(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(context: ChannelHandlerContext, message: HttpObject) {
        val waiting = listener
        if (message.decoderResult().isFailure) return fail(context, "unreadable answer: ${message.decoderResult().cause().message}")
        if (waiting == null) {
            if (!passingOver) context.close()
            return
        }
        if (message is HttpResponse) {
            if (message.status().code() in INFORMATIONAL) return
            passingOver = !waiting.onHead(message)
            inAnswer = !passingOver
        }
        if (message is HttpContent) readContent(context, message, waiting)
    }

    private fun readContent(context: ChannelHandlerContext, message: HttpContent, waiting: TargetAnswerListener) {
        if (passingOver) {
            if (message is LastHttpContent) passingOver = false
            return
        }
        if (!inAnswer) return
        if (message.content().isReadable) waiting.onContent(message.content())
        if (message is LastHttpContent && listener === waiting) end(context, waiting)
    }

    private fun end(context: ChannelHandlerContext, waiting: TargetAnswerListener) {
        val reason = broken
        if (reason != null) return fail(context, reason)
        inAnswer = false
        listener = null
        waiting.onEnd()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail(context, broken ?: "connection closed")
    }

    @Deprecated("Overrides a Netty method that is not otherwise replaced.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        broken = cause.message ?: cause.javaClass.simpleName
        fail(context, broken.orEmpty())
    }

    private fun fail(context: ChannelHandlerContext, reason: String) {
        val waiting = listener
        listener = null
        inAnswer = false
        context.close()
        waiting?.onBroken(reason)
    }

    private companion object {
        /** Informational answers precede the answer proper. */
        val INFORMATIONAL = 100..199
    }
}
