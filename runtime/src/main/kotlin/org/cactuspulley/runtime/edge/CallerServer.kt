package org.cactuspulley.runtime.edge

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import org.cactuspulley.core.effect.CancelAttempt
import org.cactuspulley.core.effect.CompleteAnswer
import org.cactuspulley.core.effect.DrainConnections
import org.cactuspulley.core.effect.RefuseRequest
import org.cactuspulley.core.effect.ReleaseRequest
import org.cactuspulley.core.effect.RequestEffect
import org.cactuspulley.core.effect.SendRecordedAnswer
import org.cactuspulley.core.effect.StartAttempt
import org.cactuspulley.core.effect.StopCompleted
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.RequestArrived
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.requests.RefusalKind
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.upstream.TargetClient
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Serves callers over HTTP/1.1, optionally with TLS. Bodies stay here; the control thread sees
 * descriptions and decides, and [execute] carries its decisions out on the event loops.
 *
 * @param submit hands an event to the control thread.
 * @param nextRequestId names each request; unique over all instances.
 */
public class CallerServer(
    private val settings: CallerServerSettings,
    private val eventLoops: EventLoopGroup,
    private val localEndpoints: LocalEndpoints,
    targets: TargetClient,
    submit: (CoreEvent) -> Unit,
    private val nextRequestId: () -> RequestId,
    clock: MonotonicClock = MonotonicClock.SYSTEM,
    wallClockMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val running = ConcurrentHashMap<RequestId, CallerExchange>()
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val connectionCount = AtomicInteger()
    private val tls = settings.tls?.let(::TlsContextSource)
    private var listener: Channel? = null

    @Volatile
    private var draining = false

    private val host = object : CallerConnectionHost {
        override val exchanges = ExchangeContext(targets, clock, submit, { draining }, { running.remove(it) })
        override val endpoints: LocalEndpoints get() = localEndpoints
        override val reader = CallerRequestReader(settings, wallClockMillis)

        override fun nextRequestId(): RequestId = this@CallerServer.nextRequestId()

        override fun begin(request: CallerRequest, exchange: CallerExchange) {
            running[request.description.id] = exchange
            submit(RequestArrived(request.description))
        }
    }

    /** The address that callers connect to; known once [start] has returned. */
    public val address: InetSocketAddress get() = checkNotNull(listener) { "not started" }.localAddress() as InetSocketAddress

    /** Begins to take connections. */
    public fun start() {
        listener = ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = prepare(channel)
                },
            )
            .bind(settings.host, settings.port)
            .syncUninterruptibly()
            .channel()
    }

    private fun prepare(channel: SocketChannel) {
        val codec = HttpDecoderConfig()
            .setMaxInitialLineLength(settings.maximumLineBytes)
            .setMaxHeaderSize(settings.maximumHeaderBytes)
        tls?.let { channel.pipeline().addLast(it.current().newHandler(channel.alloc())) }
        channel.pipeline().addLast(
            ArrivalTimeout(settings.arrivalTimeout, settings.idleTimeout),
            HttpServerCodec(codec),
            RequestAggregator(settings.maximumBodyBytes),
            CallerConnection(host),
        )
        connections.add(channel)
        val count = connectionCount.incrementAndGet()
        channel.closeFuture().addListener { connectionCount.decrementAndGet() }
        if (count > settings.maximumConnections) channel.eventLoop().execute { refuseConnection(channel) }
    }

    private fun refuseConnection(channel: Channel) {
        val context = channel.pipeline().context(CallerConnection::class.java) ?: return
        (context.handler() as CallerConnection).refuseAndClose(context, RefusalKind.TOO_MANY_CONNECTIONS)
    }

    /** Carries out one decision of the control thread; does not block. */
    public fun execute(effect: RequestEffect) {
        when (effect) {
            is StartAttempt -> withExchange(effect.request, effect)
            is CancelAttempt -> withExchange(effect.request, effect)
            is CompleteAnswer -> withExchange(effect.request, effect)
            is SendRecordedAnswer -> withExchange(effect.request, effect)
            is RefuseRequest -> withExchange(effect.request, effect)
            is ReleaseRequest -> withExchange(effect.request, effect)
            DrainConnections -> draining = true
            StopCompleted -> closeIdleConnections()
        }
    }

    private fun withExchange(request: RequestId, effect: RequestEffect) {
        running[request]?.onEventLoop { carryOut(effect) }
    }

    private fun closeIdleConnections() {
        connections.forEach { channel ->
            channel.eventLoop().execute {
                val context = channel.pipeline().context(CallerConnection::class.java) ?: return@execute
                (context.handler() as CallerConnection).closeIfIdle(context)
            }
        }
    }

    /** Stops taking connections and closes the open ones. */
    override fun close() {
        listener?.close()?.syncUninterruptibly()
        connections.close().awaitUninterruptibly()
    }

    private companion object {
        const val BACKLOG = 1024
    }
}
