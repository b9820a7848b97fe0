package org.cactuspulley.runtime.forwarding

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.runtime.http.CallerRequestDecoder
import org.cactuspulley.runtime.http.CallerResponseEncoder
import org.cactuspulley.runtime.http.ClientConnection
import org.cactuspulley.runtime.http.ConnectionLimit
import org.cactuspulley.runtime.http.heldBytes
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Accepts queries to the instance itself and responds to each with one complete message.
 *
 * @param maxConnections the largest number of connections.
 */
internal class QueryListener(
    private val context: ForwardingContext,
    maxConnections: Int = Int.MAX_VALUE,
    private val respond: (HttpRequest) -> FullHttpResponse,
) {
    private val connections = LinkedHashSet<QueryHandler>()
    private val limit = ConnectionLimit(maxConnections)

    /** Binds a listening socket to [address]. */
    fun bind(address: HostAndPort): Channel = ServerBootstrap()
        .group(context.loop)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                val handler = QueryHandler()
                channel.pipeline().addLast(handler.decoder, CallerResponseEncoder(handler.decoder), handler)
            }
        })
        .bind(address.host, address.port).syncUninterruptibly().channel()

    /** Closes connections that are idle, or on which a query takes too long; a timer calls it. */
    fun sweep() {
        val now = context.clock.now()
        context.log.excessConnections("queries", limit.drainExcess())
        connections.toList().forEach { it.closeIfSlow(now) }
    }

    /** Handles one connection. Bodies of queries are skipped. */
    private inner class QueryHandler :
        ChannelInboundHandlerAdapter(),
        ClientConnection {
        private lateinit var ctx: ChannelHandlerContext
        private val memory = context.requestMemory.Share(this)
        val decoder = CallerRequestDecoder(MAX_HEAD_BYTES, context.requestMemory.Share(this)) { recordArrival() }
        private var query: HttpRequest? = null
        private var bodyBytes = 0L

        /** The time of the first bytes of the query that is arriving; null if none is. */
        private var startedAt: MonotonicTime? = null

        override var lastActive: MonotonicTime = context.clock.now()
            private set
        override val isReading: Boolean get() = query != null || decoder.isInHead
        override val isIdle: Boolean get() = !isReading
        override val isServing: Boolean get() = false
        override val heldBytes: Long get() = memory.bytes + decoder.heldBytes

        private fun recordArrival() {
            lastActive = context.clock.now()
            if (startedAt == null) startedAt = lastActive
        }

        override fun handlerAdded(ctx: ChannelHandlerContext) {
            this.ctx = ctx
        }

        override fun channelActive(ctx: ChannelHandlerContext) {
            connections += this
            context.requestMemory.register(this)
            if (!limit.opened(this)) ctx.close()
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            connections -= this
            limit.closed(this)
            context.requestMemory.unregister(this)
            decoder.release()
            memory.resize(0)
        }

        override fun evict() {
            decoder.release()
            memory.resize(0)
            ctx.close()
        }

        override fun closeForRoom() = evict()

        fun closeIfSlow(now: MonotonicTime) {
            val isSlow = startedAt?.let { isReading && now - it > QUERY_TIMEOUT } ?: false
            if (isSlow || now - lastActive > IDLE_TIMEOUT) ctx.close()
        }

        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            try {
                if (message is HttpObject) read(message)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        private fun read(message: HttpObject) {
            if (message.decoderResult().isFailure) return evict()
            if (message is HttpRequest) {
                query = message
                bodyBytes = 0
                if (!memory.resize(message.heldBytes)) return evict()
            }
            if (message is HttpContent) {
                bodyBytes += message.content().readableBytes()
                if (bodyBytes > MAX_BODY_BYTES) return evict()
                if (message is LastHttpContent) answer()
            }
        }

        private fun answer() {
            val request = query ?: return
            query = null
            startedAt = null
            memory.resize(0)
            // A client that sends queries without reading the responses would accumulate them.
            if (!ctx.channel().isWritable) return evict()
            val response = respond(request)
            HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
            val isKeepAlive = HttpUtil.isKeepAlive(request)
            if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            val written = ctx.writeAndFlush(response)
            if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Overrides a Netty method that is not otherwise replaced.")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            context.log.event("query_connection_failed", "reason" to cause.message)
            ctx.close()
        }
    }

    private companion object {
        /** As for callers without a configuration. */
        const val MAX_HEAD_BYTES = 16 * 1024

        /** The maximum size of a query's body, which no query needs. */
        const val MAX_BODY_BYTES = 64 * 1024

        /** A query is one small message; the time that callers have for a head. */
        val QUERY_TIMEOUT: Duration = 3.seconds

        /** The platform's idle timeout of 15 s, and a second for a query in transit. */
        val IDLE_TIMEOUT: Duration = 16.seconds
    }
}
