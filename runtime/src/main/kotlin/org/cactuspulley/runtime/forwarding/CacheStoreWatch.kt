package org.cactuspulley.runtime.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Learns whether the stores of cached pieces answer, since a fetch from a dead one holds a request up. Two instances of the fleet
 * ask each store and tell the others when it fails: an answer carries the store's newest events, some ten kilobytes.
 */
internal class CacheStoreWatch(private val instance: ForwardingContext, private val control: TargetControl) {
    private val watched = HashSet<String>()

    /** Watches the stores of the configuration in force. */
    fun update() = stores().forEach { if (watched.add(it)) watch(it) }

    private fun stores(): List<String> = instance.state.gate.configuration?.let { instance.state.cache.stores(it) }.orEmpty()

    private fun watch(address: String) {
        if (address !in stores()) {
            watched -= address
            return
        }
        val now = instance.clock.now()
        if (instance.state.fleet.rank("$SUBJECT/$address", now) < WATCHERS) return ask(address)
        // What this instance found itself grows old; from here on the watchers' word counts.
        if (instance.state.cache.recordStoreState(address, answers = true)) {
            instance.log.belief("cache_store_unwatched", "address" to address)
        }
        instance.schedule(PERIOD) { watch(address) }
    }

    private fun ask(address: String) {
        val askedAt = instance.clock.now()
        control.awaitCacheStore(address) { answers ->
            learned(address, answers)
            val pause = (PERIOD - (instance.clock.now() - askedAt)).coerceAtLeast(Duration.ZERO)
            instance.schedule(pause) { watch(address) }
        }
    }

    private fun learned(address: String, answers: Boolean) {
        if (!instance.state.cache.recordStoreState(address, answers)) return
        instance.log.belief(if (answers) "cache_store_answers" else "cache_store_fails", "address" to address)
        instance.tellSoon()
    }

    private companion object {
        /** How often a store that answers at once is asked. */
        val PERIOD: Duration = 1.seconds

        /** One may end without a store's going unwatched. */
        const val WATCHERS = 2
        const val SUBJECT = "cache-store"
    }
}
