package org.cactuspulley.standins.engine

import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.standins.server.HttpExchange
import org.cactuspulley.standins.server.StandinThreads
import kotlin.time.Duration.Companion.milliseconds

/** Handles calls that export pieces from a prefix cache or import them; each piece takes [millisPerPiece] milliseconds. */
public class CacheTransferHandler(private val millisPerPiece: Long) {
    /** Handles a call to `/kv` or a path below it. It must be called on the timer thread. */
    public fun handle(exchange: HttpExchange, cache: PrefixCache) {
        when {
            exchange.method == "POST" && exchange.path == "/kv" -> import(exchange, cache)
            exchange.method == "GET" && exchange.path.startsWith("/kv/") -> export(exchange, cache)
            else -> exchange.respondError(405, "method_not_allowed")
        }
    }

    private fun export(exchange: HttpExchange, cache: PrefixCache) {
        val chain = exchange.path.removePrefix("/kv/").toULongOrNull(HEXADECIMAL_RADIX)?.toLong()
        val prefix = chain?.let(cache::prefixEndingAt) ?: return exchange.respondError(404, "not_held")
        cache.touch(prefix.map { it.first }.toLongArray())
        val headers = mapOf(
            TargetHeaders.CHAIN to prefix.joinToString(",") { formatChain(it.first) },
            TargetHeaders.TOKENS to prefix.joinToString(",") { it.second.toString() },
            TargetHeaders.SCOPE to exchange.header(TargetHeaders.SCOPE).orEmpty(),
        )
        StandinThreads.schedule((prefix.size * millisPerPiece).milliseconds) {
            exchange.respond(200, ByteArray(prefix.size * BYTES_PER_PIECE), HttpExchange.OCTET_STREAM, headers)
        }
    }

    private fun import(exchange: HttpExchange, cache: PrefixCache) {
        val chains = exchange.header(TargetHeaders.CHAIN).orEmpty().split(',').mapNotNull { it.toULongOrNull(HEXADECIMAL_RADIX)?.toLong() }
        val tokens = exchange.header(TargetHeaders.TOKENS).orEmpty().split(',').mapNotNull { it.toIntOrNull() }
        if (chains.isEmpty() || chains.size != tokens.size) return exchange.respondError(400, "pieces_unreadable")
        StandinThreads.schedule((chains.size * millisPerPiece).milliseconds) {
            chains.forEachIndexed { index, chain -> cache.store(chain, chains.getOrNull(index - 1), tokens[index]) }
            cache.touch(chains.toLongArray())
            exchange.respond(204)
        }
    }

    public companion object {
        private const val HEXADECIMAL_RADIX = 16
        private const val CHAIN_DIGITS = 16
        private const val BYTES_PER_PIECE = 256

        /** Formats a chained hash for paths and headers, as 16 hexadecimal digits. */
        public fun formatChain(chain: Long): String = chain.toULong().toString(HEXADECIMAL_RADIX).padStart(CHAIN_DIGITS, '0')
    }
}
