package org.cactuspulley.runtime.edge

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Signals that a request did not arrive whole in time, or that the connection was idle too long. */
internal enum class RequestTimeoutEvent { REQUEST_INCOMPLETE, CONNECTION_IDLE }

/** Watches how long a request takes to arrive; it stands before the codec and sees every byte. */
internal class RequestTimeoutHandler(
    private val requestReceiveTimeout: Duration,
    private val idleTimeout: Duration,
) : ChannelInboundHandlerAdapter() {
    private var timer: ScheduledFuture<*>? = null
    private var receiving = false
    private var responding = false

    override fun channelActive(context: ChannelHandlerContext) {
        schedule(context, requestReceiveTimeout, RequestTimeoutEvent.CONNECTION_IDLE)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (!receiving && !responding) {
            receiving = true
            schedule(context, requestReceiveTimeout, RequestTimeoutEvent.REQUEST_INCOMPLETE)
        }
        context.fireChannelRead(message)
    }

    /** The request is whole. */
    fun onRequestReceived() {
        receiving = false
        responding = true
        timer?.cancel(false)
    }

    /** The answer ended; [more] if part of the next request may have arrived already. */
    fun onResponseEnd(context: ChannelHandlerContext, nextRequestPending: Boolean) {
        responding = false
        receiving = nextRequestPending
        if (nextRequestPending) {
            schedule(context, requestReceiveTimeout, RequestTimeoutEvent.REQUEST_INCOMPLETE)
        } else {
            schedule(context, idleTimeout, RequestTimeoutEvent.CONNECTION_IDLE)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        context.fireChannelInactive()
    }

    private fun schedule(context: ChannelHandlerContext, timeout: Duration, event: RequestTimeoutEvent) {
        timer?.cancel(false)
        timer = context.executor().schedule(
            { context.fireUserEventTriggered(event) },
            timeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }
}
