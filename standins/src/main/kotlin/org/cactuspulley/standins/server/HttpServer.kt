package org.cactuspulley.standins.server

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress

/** Handles requests. It is called on an event loop thread, so it must not block. */
public fun interface HttpHandler {
    /** Handles one request; the response may be sent later and from another thread. */
    public fun handle(exchange: HttpExchange)
}

/** A minimal HTTP/1.1 server for stand-ins; it listens from construction until [close]. */
public class HttpServer(host: String, port: Int, private val handler: HttpHandler) : AutoCloseable {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val serverChannel: Channel = ServerBootstrap()
        .group(StandinThreads.eventLoopGroup)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(PipelineInitializer())
        .bind(host, port)
        .sync()
        .channel()

    /** The TCP port that the server listens on. */
    public val port: Int = (serverChannel.localAddress() as InetSocketAddress).port

    /** The address of the server as `host:port`. */
    public val address: String = "$host:${this.port}"

    /** Closes every open connection; the server still accepts new ones. */
    public fun closeConnections() {
        connections.close()
    }

    override fun close() {
        serverChannel.close().sync()
        connections.close().awaitUninterruptibly()
    }

    private inner class PipelineInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            connections.add(channel)
            channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAXIMUM_BODY_BYTES), ExchangeHandler())
        }
    }

    private inner class ExchangeHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        private var currentExchange: HttpExchange? = null

        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val exchange = HttpExchange(context, request)
            currentExchange = exchange
            handler.handle(exchange)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            currentExchange?.notifyDisconnected()
        }

        @Deprecated("Deprecated in ChannelHandler, but Netty still calls it")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val ACCEPT_BACKLOG = 512
        const val MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
    }
}
