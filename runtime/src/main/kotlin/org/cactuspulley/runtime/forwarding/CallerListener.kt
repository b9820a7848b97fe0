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

/** Accepts caller connections and enforces their timeouts. */
internal class CallerListener(private val context: ForwardingContext, private val protocol: CallerProtocol) {
    private val connections = LinkedHashSet<CallerConnectionHandler>()

    /** Whether the instance is shutting down; each response then closes its connection. */
    val isLeaving: Boolean get() = context.plannedStop != null

    /** The size and time limits for callers; the current configuration sets them. */
    val limits: CallerLimits get() = context.state.authorizer.configuration?.callerLimits ?: UNCONFIGURED_LIMITS

    /** Binds the listening socket to [address]. */
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

    /** Closes connections that are idle or too slow; a timer calls it. */
    fun sweep() {
        val now = context.clock.now()
        for (connection in connections.toList()) {
            val inactiveFor = now - connection.lastActive
            when {
                connection.isReading && inactiveFor > limits.headerTimeout -> connection.refuseSlowRequest()
                connection.isIdle && inactiveFor > limits.idleTimeout + IDLE_MARGIN -> connection.close()
            }
        }
    }

    /** Whether no caller is connected. */
    val hasNoConnections: Boolean get() = connections.isEmpty()

    /** Closes all idle connections, once their last responses have been sent. */
    fun closeIdle() = connections.toList().forEach { it.closeIfIdle() }

    private companion object {
        /** The number of connections that may wait to be accepted; many callers may reconnect at the same time. */
        const val BACKLOG = 1024

        /** Callers use a connection for up to four fifths of the idle timeout; this margin covers requests in transit. */
        val IDLE_MARGIN: Duration = 1.seconds

        /** The limits that apply until the first configuration arrives. */
        val UNCONFIGURED_LIMITS = CallerLimits(16 * 1024, 4 * 1024 * 1024, 3.seconds, 15.seconds)
    }
}

/** Responds to queries to the instance itself, each with one complete message. */
internal class QueryHandler(private val respond: (HttpRequest) -> FullHttpResponse) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
        val response = respond(request)
        HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
        val isKeepAlive = HttpUtil.isKeepAlive(request)
        if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = ctx.writeAndFlush(response)
        if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    @Deprecated("Overrides a Netty method that is not otherwise replaced.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}

/** Listens on [address] for queries to the instance itself. */
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

/** The maximum size of a query's body. */
private const val MAX_QUERY_BYTES = 64 * 1024
