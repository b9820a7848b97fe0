package org.cactuspulley.runtime.forwarding

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.cactuspulley.core.forwarding.CallerLimits
import org.cactuspulley.runtime.http.CallerResponseEncoder
import org.cactuspulley.runtime.http.ConnectionLimit
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Accepts caller connections and enforces their timeouts.
 *
 * @param maxConnections the largest number of connections.
 */
internal class CallerListener(
    private val context: ForwardingContext,
    private val protocol: CallerProtocol,
    maxConnections: Int = Int.MAX_VALUE,
) {
    private val connections = LinkedHashSet<CallerConnectionHandler>()
    private val limit = ConnectionLimit(maxConnections)

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
                val handler = CallerConnectionHandler(context, protocol, this@CallerListener)
                channel.pipeline().addLast(handler.decoder, CallerResponseEncoder(handler.decoder), handler)
            }
        })
        .bind(address.host, address.port).syncUninterruptibly().channel()

    /** Records a new [connection]; returns false if there is no room for it. */
    fun opened(connection: CallerConnectionHandler): Boolean {
        connections += connection
        return limit.opened(connection)
    }

    fun closed(connection: CallerConnectionHandler) {
        connections -= connection
        limit.closed(connection)
    }

    /** Closes connections that are idle or too slow; a timer calls it. */
    fun sweep() {
        val now = context.clock.now()
        context.log.excessConnections("callers", limit.drainExcess())
        for (connection in connections.toList()) {
            val inactiveFor = now - connection.lastActive
            connection.closeIfUnread(limits.idleTimeout)
            when {
                connection.isReading && inactiveFor > limits.headerTimeout -> connection.refuseSlowRequest()
                connection.hasNoRequest && inactiveFor > limits.idleTimeout + IDLE_MARGIN -> connection.close()
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
