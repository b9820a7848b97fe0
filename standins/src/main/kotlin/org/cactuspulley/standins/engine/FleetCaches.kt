package org.cactuspulley.standins.engine

/**
 * The prefix caches of all engines of one deployment, as an oracle would know them. Touched on the
 * stand-ins' timer thread only, as the caches themselves are.
 */
public class FleetCaches {
    private val caches = ArrayList<PrefixCache>()

    /** Adds the cache of one engine. */
    public fun add(cache: PrefixCache) {
        caches.add(cache)
    }

    /** The most leading pieces of [chains] that any one engine has cached. */
    public fun longestCachedPrefix(chains: LongArray): Int = caches.maxOfOrNull { it.cachedPrefixLength(chains) } ?: 0
}
