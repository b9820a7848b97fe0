package org.cactuspulley.runtime.forwarding

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Establishes a connection to an address and passes it on, or null if that fails. */
internal fun interface TargetConnector {
    fun connect(address: HostAndPort, onReady: (Channel?) -> Unit)
}

/** Pools connections to targets; confined to one event loop. */
internal class TargetConnectionPool(
    private val loop: EventLoop,
    private val clock: MonotonicClock,
    private val connector: TargetConnector,
) {
    private class IdleConnection(val channel: Channel, val expiresAt: MonotonicTime) {
        /** Whether everything that arrived together with the last response has been read, so that the connection may be reused. */
        var isReadToEnd = false
    }

    private val idle = HashMap<TargetId, ArrayDeque<IdleConnection>>()

    /**
     * Passes a pooled or new connection to [target] at [address] to [onReady], or null if none could be established in time. [request]
     * was not refused on it before, because a late copy of that refusal could not be told from the response to the new attempt.
     */
    fun acquire(target: TargetId, address: HostAndPort, request: RequestId, onReady: (Channel?) -> Unit) {
        val kept = takeIdle(target, request)
        if (kept != null) onReady(kept) else connector.connect(address, onReady)
    }

    /** Records that [request] was answered on [channel] without success, so that it is not sent over it again. */
    fun recordRefusal(channel: Channel, request: RequestId) {
        channel.pipeline().get(TargetResponseHandler::class.java).refusedRequests += request
    }

    /** Checks whether [target] at [address] accepts a new connection, and pools it for the next request. */
    fun probe(target: TargetId, address: HostAndPort, done: (Boolean) -> Unit) = connector.connect(address) { channel ->
        channel?.let { release(target, it, null) }
        done(channel != null)
    }

    /** Returns [channel], on which no response is outstanding, to the pool. */
    fun release(target: TargetId, channel: Channel, idleTimeout: Duration?) {
        if (!channel.isActive) return
        val lifetime = (idleTimeout?.times(IDLE_TIMEOUT_SHARE) ?: DEFAULT_IDLE_TIME).coerceAtMost(MAX_IDLE_TIME)
        val kept = idle.getOrPut(target) { ArrayDeque() }
        if (lifetime <= Duration.ZERO || kept.size >= MAX_IDLE_PER_TARGET || channel.refusedRequests.size > MAX_REFUSED_REQUESTS) {
            channel.close()
            return
        }
        val connection = IdleConnection(channel, clock.now() + lifetime)
        kept.addLast(connection)
        loop.execute { connection.isReadToEnd = true }
    }

    /** Closes the idle connections to [target]. */
    fun drop(target: TargetId) {
        idle.remove(target)?.forEach { it.channel.close() }
    }

    /** Closes the idle connections that have expired. */
    fun sweep() {
        val now = clock.now()
        for (kept in idle.values) {
            while (kept.isNotEmpty() && (kept.first().expiresAt <= now || !kept.first().channel.isActive)) {
                kept.removeFirst().channel.close()
            }
        }
    }

    private fun takeIdle(target: TargetId, request: RequestId): Channel? {
        val kept = idle[target] ?: return null
        val now = clock.now()
        while (true) {
            val candidate = kept.lastOrNull { it.isReadToEnd && request !in it.channel.refusedRequests } ?: return null
            kept.remove(candidate)
            if (candidate.channel.isActive && candidate.expiresAt > now) return candidate.channel
            candidate.channel.close()
        }
    }

    private val Channel.refusedRequests: Set<RequestId>
        get() = pipeline().get(TargetResponseHandler::class.java)?.refusedRequests.orEmpty()

    private companion object {
        /** Bounds the memory of a connection; one on which more requests were refused is not reused. */
        const val MAX_REFUSED_REQUESTS = 64

        /** The share of a target's idle timeout for which a connection is reused, so that no request races with the target's close. */
        const val IDLE_TIMEOUT_SHARE = 0.6

        /** How long connections to targets that announce no idle timeout are kept. */
        val DEFAULT_IDLE_TIME = 3.seconds

        /** Limits the cost of connections that have failed silently. */
        val MAX_IDLE_TIME = 20.seconds

        /** The maximum number of idle connections to one target; a twentieth of what a target accepts from all instances. */
        const val MAX_IDLE_PER_TARGET = 16
    }
}
