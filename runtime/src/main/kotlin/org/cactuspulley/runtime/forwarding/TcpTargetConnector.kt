package org.cactuspulley.runtime.forwarding

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpObjectDecoder
import io.netty.handler.codec.http.HttpRequestEncoder
import jdk.net.ExtendedSocketOptions
import org.cactuspulley.runtime.http.BufferMemory
import org.cactuspulley.runtime.http.accountedDecoderConfig
import org.cactuspulley.runtime.platform.ExpectedResponseDecoder
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration.Companion.milliseconds

/**
 * Connects to targets over TCP.
 *
 * @param onUnexpectedBytes called with a connection that is closed because it delivered bytes that belong to no request.
 * @param newShare creates the account of the memory for the head of a response.
 */
internal class TcpTargetConnector(
    private val loop: EventLoop,
    private val onUnexpectedBytes: (Channel) -> Unit,
    private val newShare: () -> BufferMemory.Share,
) : TargetConnector {
    override fun connect(address: HostAndPort, onReady: (Channel?) -> Unit) {
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
            // Distinguishes the target's own end of a connection, which completes a response without a length, from any other end.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(Initializer())
            .connect(address.host, address.port)
            .addListener { future ->
                val channel = (future as ChannelFuture).channel()
                onReady(if (future.isSuccess) channel else null)
            }
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val share = newShare()
            val handler = TargetResponseHandler(share)
            val config = accountedDecoderConfig(
                HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE,
                HttpObjectDecoder.DEFAULT_MAX_INITIAL_LINE_LENGTH,
                share::grow,
            )
            val decoder = ExpectedResponseDecoder({ onUnexpectedBytes(channel) }, config = config) { handler.listener != null }
            channel.pipeline().addLast(HttpRequestEncoder(), decoder, handler)
        }
    }

    private companion object {
        /** A hundred times the highest latency between zones; a target that does not accept within it is unresponsive. */
        val CONNECT_TIMEOUT = 300.milliseconds

        /**
         * The size of the system's send buffer, which otherwise grows to megabytes. A request counts as written once the system has taken
         * it, so this bounds what of it the target's system may not have received by then. It holds all of an ordinary request, and
         * allows 40 MB a second between zones.
         */
        const val SEND_BUFFER_BYTES = 64 * 1024

        /** The time in seconds without data before the first keep-alive probe, and between probes: the shortest that TCP permits. */
        const val KEEPALIVE_SECONDS = 1

        /** The number of unanswered keep-alive probes after which a connection has failed; one may be lost. */
        const val KEEPALIVE_PROBES = 2
    }
}
