package org.cactuspulley.runtime.forwarding

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpObjectDecoder
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import org.cactuspulley.core.forwarding.CallerLimits
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Accepts callers' connections and keeps their limits. */
internal class CallerListener(private val context: ForwardingContext, private val protocol: CallerProtocol) {
    private val connections = LinkedHashSet<CallerConnectionHandler>()

    /** Whether the instance is leaving: answers then end their connections. */
    val isLeaving: Boolean get() = context.stoppingSince != null

    /** What callers may send; from the configuration in force. */
    val limits: CallerLimits get() = context.state.gate.configuration?.callerLimits ?: UNCONFIGURED_LIMITS

    fun bind(address: HostAndPort): Channel = ServerBootstrap()
        .group(context.loop)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(
                    HttpServerCodec(limits.headerBytes, limits.headerBytes, HttpObjectDecoder.DEFAULT_MAX_CHUNK_SIZE),
                    CallerConnectionHandler(context, protocol, this@CallerListener),
                )
            }
        })
        .bind(address.host, address.port).syncUninterruptibly().channel()

    fun opened(connection: CallerConnectionHandler) {
        connections += connection
    }

    fun closed(connection: CallerConnectionHandler) {
        connections -= connection
    }

    /** Ends connections that are idle or too slow; called on a timer. */
    fun sweep() {
        val now = context.clock.now()
        for (connection in connections.toList()) {
            val inactiveFor = now - connection.lastActive
            when {
                connection.isReading && inactiveFor > limits.headerTimeout -> connection.refuseSlowRequest()
                connection.isIdle && inactiveFor > limits.idleTimeout + IDLE_MARGIN -> connection.closeIfIdle()
            }
        }
    }

    /** Ends all connections on which nothing is due. */
    fun closeIdle() = connections.toList().forEach { it.closeIfIdle() }

    private companion object {
        /** Connections that wait to be accepted; a herd of callers reconnects at once. */
        const val BACKLOG = 1024

        /** Callers use a connection up to four fifths of the idle timeout; the margin covers requests on the way. */
        val IDLE_MARGIN: Duration = 1.seconds

        /** Limits until the first configuration is known. */
        val UNCONFIGURED_LIMITS = CallerLimits(16 * 1024, 4 * 1024 * 1024, 3.seconds, 15.seconds)
    }
}

/** Answers questions to the instance itself, each in one message. */
internal class QueryHandler(private val respond: (HttpRequest) -> FullHttpResponse) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
        val response = respond(request)
        HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
        val keeps = HttpUtil.isKeepAlive(request)
        if (!keeps) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = ctx.writeAndFlush(response)
        if (!keeps) written.addListener(ChannelFutureListener.CLOSE)
    }

    @Deprecated("Overrides a Netty method that is not otherwise replaced.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}

/** Listens at [address] for questions to the instance itself. */
internal fun bindQueries(
    context: ForwardingContext,
    address: HostAndPort,
    respond: (HttpRequest) -> FullHttpResponse,
): Channel = ServerBootstrap()
    .group(context.loop)
    .channel(NioServerSocketChannel::class.java)
    .option(ChannelOption.SO_REUSEADDR, true)
    .childHandler(object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_QUERY_BYTES), QueryHandler(respond))
        }
    })
    .bind(address.host, address.port).syncUninterruptibly().channel()

private const val MAX_QUERY_BYTES = 64 * 1024
