package org.cactuspulley.runtime.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Learns whether the stores of cached pieces answer, since a fetch from a dead one holds a request up. */
internal class CacheStoreWatch(private val instance: ForwardingContext, private val control: TargetControl) {
    private val watched = HashSet<String>()

    /** Watches the stores of the configuration in force. */
    fun update() = stores().forEach { if (watched.add(it)) watch(it) }

    private fun stores(): List<String> = instance.state.gate.configuration?.let { instance.state.cache.stores(it) }.orEmpty()

    private fun watch(address: String) {
        val askedAt = instance.clock.now()
        control.awaitCacheStore(address) { answers ->
            if (instance.state.cache.storeAnswers(address, answers)) {
                instance.log.belief(if (answers) "cache_store_answers" else "cache_store_fails", "address" to address)
            }
            val pause = (PERIOD - (instance.clock.now() - askedAt)).coerceAtLeast(Duration.ZERO)
            if (address in stores()) instance.schedule(pause) { watch(address) } else watched -= address
        }
    }

    private companion object {
        /** How often a store that answers at once is asked. */
        val PERIOD: Duration = 1.seconds
    }
}
