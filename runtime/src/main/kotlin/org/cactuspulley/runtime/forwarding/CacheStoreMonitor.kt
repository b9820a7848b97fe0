package org.cactuspulley.runtime.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Learns whether the stores of cached pieces answer, since a fetch from a dead one holds a request up. Two instances of the fleet
 * ask each store and tell the others when it fails: an answer carries the store's newest events, some ten kilobytes.
 */
internal class CacheStoreMonitor(private val context: ForwardingContext, private val control: TargetControl) {
    private val watched = HashSet<String>()

    /** Watches the stores of the configuration in force. */
    fun update() = stores().forEach { if (watched.add(it)) watch(it) }

    private fun stores(): List<String> = context.state.gate.configuration?.let { context.state.cache.stores(it) }.orEmpty()

    private fun watch(address: String) {
        if (address !in stores()) {
            watched -= address
            return
        }
        val now = context.clock.now()
        if (context.state.fleet.rank("$RANK_SUBJECT/$address", now) < MONITORS_PER_STORE) return probe(address)
        // What this instance found itself grows old; from here on the watchers' word counts.
        if (context.state.cache.storeAnswers(address, answers = true)) context.log.event("cache_store_unwatched", "address" to address)
        context.schedule(PERIOD) { watch(address) }
    }

    private fun probe(address: String) {
        val probedAt = context.clock.now()
        control.awaitCacheStore(address) { answers ->
            applyResult(address, answers)
            val pause = (PERIOD - (context.clock.now() - probedAt)).coerceAtLeast(Duration.ZERO)
            context.schedule(pause) { watch(address) }
        }
    }

    private fun applyResult(address: String, answers: Boolean) {
        if (!context.state.cache.storeAnswers(address, answers)) return
        context.log.event(if (answers) "cache_store_answers" else "cache_store_fails", "address" to address)
        context.scheduleDigest()
    }

    private companion object {
        /** How often a store that answers at once is asked. */
        val PERIOD: Duration = 1.seconds

        /** One may end without a store's going unwatched. */
        const val MONITORS_PER_STORE = 2
        const val RANK_SUBJECT = "cache-store"
    }
}
