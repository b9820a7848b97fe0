package org.cactuspulley.runtime.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.cactuspulley.core.effect.TargetAddress
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.platform.ExpectedResponseDecoder
import java.util.concurrent.ConcurrentHashMap

/**
 * Sends attempts to targets over pooled HTTP/1.1 connections.
 *
 * An attempt runs on the event loop of the caller's connection, so a slow caller can pause the target's
 * connection without switching threads. A non-repeatable request uses a new connection, because the
 * target may already have closed an idle one.
 */
public class TargetClient(
    private val settings: TargetClientSettings = TargetClientSettings(),
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private val pools = ConcurrentHashMap<EventLoop, ConnectionPool>()

    /** Starts [request] on [eventLoop]. This function must be called on the thread of that loop. */
    public fun start(request: AttemptRequest, eventLoop: EventLoop, listener: AttemptListener): RunningAttempt {
        val pool = pools.computeIfAbsent(eventLoop) { ConnectionPool(settings.maximumIdleConnectionsPerTarget) }
        val attempt = TargetAttempt(request, settings, clock, listener)
        val kvCacheTransfer = request.kvCacheTransfer
        if (kvCacheTransfer == null) {
            send(request, eventLoop, pool, attempt)
        } else {
            KvCacheTransfer(settings, eventLoop).start(kvCacheTransfer, request.target) { send(request, eventLoop, pool, attempt) }
        }
        return attempt
    }

    private fun send(request: AttemptRequest, eventLoop: EventLoop, pool: ConnectionPool, attempt: TargetAttempt) {
        if (attempt.hasEnded) return
        val idle = if (request.repeatable) pool.acquire(request.target) else null
        if (idle != null) attempt.onConnected(idle) else connect(request.target, eventLoop, pool, attempt)
    }

    private fun connect(target: TargetAddress, eventLoop: EventLoop, pool: ConnectionPool, attempt: TargetAttempt) {
        val connecting = Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeout.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = initializePipeline(channel, target, pool)
                },
            )
            .connect(target.host, target.port)
        connecting.addListener { result ->
            if (result.isSuccess) attempt.onConnected(connecting.channel()) else attempt.onConnectFailed()
        }
    }

    private fun initializePipeline(channel: Channel, target: TargetAddress, pool: ConnectionPool) {
        val connection = TargetConnection(target, pool)
        val decoder = ExpectedResponseDecoder(isBodyless = { connection.isHeadRequest }) { connection.isInUse }
        channel.pipeline().addLast(HttpRequestEncoder(), decoder, connection)
    }
}
