package org.cactuspulley.runtime.upstream

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpObject
import org.cactuspulley.core.effect.TargetAddress

/** Dispatches the messages of one connection to the attempt that uses it. */
internal class TargetConnection(
    private val target: TargetAddress,
    private val pool: ConnectionPool,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var attempt: TargetAttempt? = null

    /** Whether an attempt uses the connection. */
    val isInUse: Boolean get() = attempt != null

    /** Whether the attempt that uses the connection has sent a HEAD request, whose response has no body. */
    val isHeadRequest: Boolean get() = attempt?.isHeadRequest ?: false

    fun assign(newAttempt: TargetAttempt) {
        attempt = newAttempt
    }

    /** Detaches the attempt and returns the connection to the pool. */
    fun release(context: ChannelHandlerContext) {
        attempt = null
        context.channel().config().isAutoRead = true
        pool.release(target, context.channel())
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        attempt?.onMessage(context, message) ?: context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.remove(target, context.channel())
        attempt?.onConnectionClosed()
        attempt = null
    }

    @Deprecated("Netty deprecates this method in ChannelHandler but not in ChannelInboundHandler")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
