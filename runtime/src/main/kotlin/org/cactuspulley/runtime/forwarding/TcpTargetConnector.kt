package org.cactuspulley.runtime.forwarding

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.cactuspulley.runtime.platform.ExpectedResponseDecoder
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration.Companion.milliseconds

/** Connects to targets over TCP. */
internal class TcpTargetConnector(private val loop: EventLoop) : TargetConnector {
    override fun connect(address: HostAndPort, onReady: (Channel?) -> Unit) {
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            // Distinguishes the target's own end of a connection, which completes a response without a length, from any other end.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(Initializer)
            .connect(address.host, address.port)
            .addListener { future ->
                val channel = (future as ChannelFuture).channel()
                onReady(if (future.isSuccess) channel else null)
            }
    }

    private object Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val handler = TargetResponseHandler()
            channel.pipeline().addLast(HttpRequestEncoder(), ExpectedResponseDecoder { handler.listener != null }, handler)
        }
    }

    private companion object {
        /** A hundred times the highest latency between zones; a target that does not accept within it is unresponsive. */
        val CONNECT_TIMEOUT = 300.milliseconds
    }
}
