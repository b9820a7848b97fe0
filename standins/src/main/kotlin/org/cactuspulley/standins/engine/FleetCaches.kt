package org.cactuspulley.standins.engine

/**
 * The prefix caches of all engines of one deployment. They give the hit rate that an oracle with
 * full knowledge of all caches would reach. Like the caches, this class is accessed on the timer
 * thread of the stand-ins only.
 */
public class FleetCaches {
    private val caches = ArrayList<PrefixCache>()

    /** Adds the prefix cache of one engine. */
    public fun add(cache: PrefixCache) {
        caches.add(cache)
    }

    /** Returns the highest number of leading pieces of [chains] that a single engine has cached. */
    public fun longestCachedPrefix(chains: LongArray): Int = caches.maxOfOrNull { it.cachedPrefixLength(chains) } ?: 0
}
