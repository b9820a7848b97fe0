package org.cactuspulley.runtime.edge

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
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
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.http.BufferMemory
import org.cactuspulley.runtime.http.CallerResponseEncoder
import org.cactuspulley.runtime.http.ConnectionLimit
import org.cactuspulley.runtime.http.DescriptorBudget
import org.cactuspulley.runtime.upstream.TargetClient
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/**
 * Serves callers over HTTP/1.1, optionally with TLS. Request bodies stay on the event loops. The control
 * thread receives only request descriptions, and [execute] applies its decisions on the event loops.
 *
 * @param submit sends an event to the control thread.
 * @param nextRequestId returns a request id that is unique across all instances.
 * @param wallClockMillis returns the wall-clock time in milliseconds since the Unix epoch.
 */
public class CallerServer(
    private val settings: CallerServerSettings,
    private val eventLoops: EventLoopGroup,
    private val localEndpoints: LocalEndpoints,
    targetClient: TargetClient,
    submit: (CoreEvent) -> Unit,
    private val nextRequestId: () -> RequestId,
    clock: MonotonicClock = MonotonicClock.SYSTEM,
    wallClockMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val activeExchanges = ConcurrentHashMap<RequestId, CallerExchange>()
    private val openChannels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val tlsContext = settings.tls?.let(::ReloadingTlsContext)
    private var serverChannel: Channel? = null

    @Volatile
    private var draining = false

    private val connectionContext = object : CallerConnectionContext {
        override val exchangeContext = ExchangeContext(targetClient, clock, submit, { draining }, { activeExchanges.remove(it) })
        override val endpoints: LocalEndpoints get() = localEndpoints
        override val requestParser = CallerRequestParser(settings, wallClockMillis)
        override val settings: CallerServerSettings get() = this@CallerServer.settings
        override val connectionLimit =
            ConnectionLimit(minOf(this@CallerServer.settings.maximumConnections, DescriptorBudget.ofProcess().callers))
        override val requestMemory = this@CallerServer.settings.requestMemoryBytes.let { BufferMemory(it, it, clock::now) }

        override fun nextRequestId(): RequestId = this@CallerServer.nextRequestId()

        override fun startExchange(request: CallerRequest, exchange: CallerExchange) {
            activeExchanges[request.description.id] = exchange
            submit(RequestArrived(request.description))
        }
    }

    /** The address that the server listens on, available after [start] has returned. */
    public val address: InetSocketAddress get() = checkNotNull(serverChannel) {
        "the server is not started"
    }.localAddress() as InetSocketAddress

    /** Binds the listening socket and starts accepting connections. */
    public fun start() {
        serverChannel = ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = initializePipeline(channel)
                },
            )
            .bind(settings.host, settings.port)
            .syncUninterruptibly()
            .channel()
    }

    private fun initializePipeline(channel: SocketChannel) {
        val connection = CallerConnection(connectionContext)
        tlsContext?.let { channel.pipeline().addLast(it.current().newHandler(channel.alloc())) }
        channel.pipeline().addLast(
            RequestTimeoutHandler(settings.requestReceiveTimeout, settings.idleTimeout),
            connection.decoder,
            CallerResponseEncoder(connection.decoder),
            connection,
        )
        openChannels.add(channel)
    }

    /** Applies [effect], a decision of the control thread, without blocking. */
    public fun execute(effect: RequestEffect) {
        when (effect) {
            is StartAttempt -> dispatch(effect.request, effect)
            is CancelAttempt -> dispatch(effect.request, effect)
            is CompleteAnswer -> dispatch(effect.request, effect)
            is SendRecordedAnswer -> dispatch(effect.request, effect)
            is RefuseRequest -> dispatch(effect.request, effect)
            is ReleaseRequest -> dispatch(effect.request, effect)
            DrainConnections -> draining = true
            StopCompleted -> closeIdleConnections()
        }
    }

    private fun dispatch(request: RequestId, effect: RequestEffect) {
        activeExchanges[request]?.runOnEventLoop { applyEffect(effect) }
    }

    private fun closeIdleConnections() {
        openChannels.forEach { channel ->
            channel.eventLoop().execute {
                val context = channel.pipeline().context(CallerConnection::class.java) ?: return@execute
                (context.handler() as CallerConnection).closeIfIdle(context)
            }
        }
    }

    /** Stops accepting connections and closes all open connections. */
    override fun close() {
        serverChannel?.close()?.syncUninterruptibly()
        openChannels.close().awaitUninterruptibly()
    }

    private companion object {
        const val ACCEPT_BACKLOG = 1024
    }
}
