package org.cactuspulley.runtime.http

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** A connection of a client, which may be closed when there are too many. Any thread may use it. */
internal interface ClientConnection : MemoryHolder {
    /** Whether no request is being received or served and no response is outstanding. */
    val isIdle: Boolean

    /** Whether a request is being served or waits for that. */
    val isServing: Boolean

    /** Closes the connection to make room for another one. A request that has arrived in part is refused as not run. */
    fun closeForRoom()
}

/**
 * Limits the open connections of one listening address. A connection beyond the limit takes the place of the one that has been idle for
 * longest or, if none is idle, of the one whose request has arrived in part and whose sender has been silent for longest. A request that
 * is being served keeps its connection.
 *
 * Connections of several event loops may share it.
 *
 * @property maxConnections the largest number of connections.
 */
internal class ConnectionLimit(private val maxConnections: Int) {
    private val connections: MutableSet<ClientConnection> = ConcurrentHashMap.newKeySet()
    private val exceeded = AtomicInteger()

    /** Records a new [connection]; returns false if it must be refused because the requests of all others are being served. */
    fun opened(connection: ClientConnection): Boolean {
        connections += connection
        val excess = connections.size - maxConnections
        if (excess <= 0) return true
        exceeded.incrementAndGet()
        // One that is closed on another event loop counts until then, and is chosen again.
        val closed = hashSetOf(connection)
        repeat(excess) {
            val next =
                longestSilent { it !in closed && it.isIdle } ?: longestSilent { it !in closed && it.isReading && !it.isServing }
                    ?: return false
            closed += next
            next.closeForRoom()
        }
        return true
    }

    fun closed(connection: ClientConnection) {
        connections -= connection
    }

    /** Returns how many connections exceeded the limit since the last call. */
    fun drainExcess(): Int = exceeded.getAndSet(0)

    private fun longestSilent(isCandidate: (ClientConnection) -> Boolean): ClientConnection? =
        connections.filter(isCandidate).minByOrNull { it.lastActive }
}
