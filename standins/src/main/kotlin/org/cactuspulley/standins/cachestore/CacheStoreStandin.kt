package org.cactuspulley.standins.cachestore

import kotlinx.serialization.Serializable
import org.cactuspulley.core.platform.TargetStatus
import org.cactuspulley.standins.engine.CacheTransferHandler
import org.cactuspulley.standins.engine.PrefixCache
import org.cactuspulley.standins.server.FaultControl
import org.cactuspulley.standins.server.HttpExchange
import org.cactuspulley.standins.server.HttpServer
import org.cactuspulley.standins.server.StandinThreads

/**
 * The faults of a cache store.
 *
 * @property down whether the connection of every call is closed without a response.
 */
@Serializable
public data class CacheStoreFaults(val down: Boolean = false)

/**
 * The response to a query for cached pieces.
 *
 * @property held the chained hashes of the requested pieces that the cache store holds, in 16 hexadecimal digits as
 *    requested.
 */
@Serializable
public data class HeldPieces(val held: List<String>)

/** A stand-in for a cache store that keeps cached prompt pieces for all engines. */
public class CacheStoreStandin(
    host: String = "127.0.0.1",
    port: Int = 0,
    capacityPieces: Int = 4096,
    millisPerPiece: Long = 3,
) : AutoCloseable {
    private val cache = PrefixCache(capacityPieces)
    private val transferHandler = CacheTransferHandler(millisPerPiece)
    private val control = FaultControl(CacheStoreFaults(), CacheStoreFaults.serializer())
    private val server = HttpServer(host, port, ::handle)

    /** The address of this stand-in as `host:port`. */
    public val address: String get() = server.address

    /** The TCP port of this stand-in. */
    public val port: Int get() = server.port

    /** The injected faults; a new value applies at once. */
    public var faults: CacheStoreFaults by control::faults

    override fun close(): Unit = server.close()

    private fun handle(exchange: HttpExchange) {
        if (control.handle(exchange)) return
        if (faults.down) return exchange.disconnect()
        when {
            exchange.path == "/status" -> exchange.respondJson(200, TargetStatus.serializer(), TargetStatus(incarnation = 1))
            exchange.path == "/kv" && exchange.method == "GET" -> StandinThreads.execute { respondWithHeldPieces(exchange) }
            exchange.path == "/kv" || exchange.path.startsWith("/kv/") -> StandinThreads.execute { transferHandler.handle(exchange, cache) }
            else -> exchange.respondError(404, "not_found")
        }
    }

    private fun respondWithHeldPieces(exchange: HttpExchange) {
        val requested = exchange.parameter("chains").orEmpty().split(',').filter { it.isNotEmpty() }
        val held = requested.filter { text -> text.toULongOrNull(HEXADECIMAL_RADIX)?.toLong()?.let { it in cache } == true }
        exchange.respondJson(200, HeldPieces.serializer(), HeldPieces(held))
    }

    private companion object {
        const val HEXADECIMAL_RADIX = 16
    }
}
