package org.cactuspulley.runtime.edge

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Events for a request that was not received completely in time and for a connection that was idle too long. */
internal enum class RequestTimeoutEvent { REQUEST_INCOMPLETE, CONNECTION_IDLE }

/**
 * Limits the time to receive a request and the idle time of a connection. The handler precedes the HTTP codec
 * in the pipeline so that it observes every received byte.
 */
internal class RequestTimeoutHandler(
    private val requestReceiveTimeout: Duration,
    private val idleTimeout: Duration,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ownContext: ChannelHandlerContext
    private var timer: ScheduledFuture<*>? = null
    private var receiving = false
    private var responding = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        ownContext = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        schedule(requestReceiveTimeout, RequestTimeoutEvent.CONNECTION_IDLE)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (!receiving && !responding) {
            receiving = true
            schedule(requestReceiveTimeout, RequestTimeoutEvent.REQUEST_INCOMPLETE)
        }
        context.fireChannelRead(message)
    }

    /** Stops the timer when a request has been received completely. */
    fun onRequestReceived() {
        receiving = false
        responding = true
        timer?.cancel(false)
    }

    /** Starts the next timer after a response. [nextRequestPending] tells whether a pipelined request is already waiting. */
    fun onResponseEnd(nextRequestPending: Boolean) {
        responding = false
        receiving = nextRequestPending
        if (nextRequestPending) {
            schedule(requestReceiveTimeout, RequestTimeoutEvent.REQUEST_INCOMPLETE)
        } else {
            schedule(idleTimeout, RequestTimeoutEvent.CONNECTION_IDLE)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        context.fireChannelInactive()
    }

    private fun schedule(timeout: Duration, event: RequestTimeoutEvent) {
        timer?.cancel(false)
        timer = ownContext.executor().schedule(
            { ownContext.fireUserEventTriggered(event) },
            timeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }
}
