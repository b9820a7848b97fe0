package org.cactuspulley.runtime.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Monitors whether the cache stores respond, because a fetch from an unresponsive store delays the request that needs it.
 * Only two instances of the fleet probe each store and report its failure to their peers, because each response carries the
 * store's newest events, about ten kilobytes.
 */
internal class CacheStoreMonitor(private val context: ForwardingContext, private val control: TargetControl) {
    private val monitored = HashSet<String>()

    /** Starts monitoring every store that the current configuration names and that is not monitored yet. */
    fun update() = stores().forEach { if (monitored.add(it)) monitor(it) }

    private fun stores(): List<String> = context.state.authorizer.configuration?.let { context.state.cache.stores(it) }.orEmpty()

    private fun monitor(address: String) {
        if (address !in stores()) {
            monitored -= address
            return
        }
        val now = context.clock.now()
        if (context.state.fleet.rank("$RANK_SUBJECT/$address", now) < MONITORS_PER_STORE) return probe(address)
        // This instance stops probing the store, so its own last result goes stale; the reports of the probing instances count instead.
        if (context.state.cache.recordStoreState(address, responds = true)) context.log.event("cache_store_unwatched", "address" to address)
        context.schedule(PERIOD) { monitor(address) }
    }

    private fun probe(address: String) {
        val probedAt = context.clock.now()
        control.awaitCacheStore(address) { responds ->
            applyResult(address, responds)
            val pause = (PERIOD - (context.clock.now() - probedAt)).coerceAtLeast(Duration.ZERO)
            context.schedule(pause) { monitor(address) }
        }
    }

    private fun applyResult(address: String, responds: Boolean) {
        if (!context.state.cache.recordStoreState(address, responds)) return
        context.log.event(if (responds) "cache_store_answers" else "cache_store_fails", "address" to address)
        context.scheduleDigest()
    }

    private companion object {
        /** The interval between probes of a store that responds immediately. */
        val PERIOD: Duration = 1.seconds

        /** The number of instances that probe each store; with two, a store stays monitored when one of them stops. */
        const val MONITORS_PER_STORE = 2
        const val RANK_SUBJECT = "cache-store"
    }
}
