package org.cactuspulley.standins.engine

import org.cactuspulley.core.platform.CacheEventKind

/** Is notified of each change of a prefix cache. */
public fun interface PrefixCacheListener {
    /** Reports that the piece with the chained hash [chain] was stored or evicted, or that the whole cache was cleared. */
    public fun onChange(kind: CacheEventKind, chain: Long, tokens: Int)
}

/**
 * The prefix cache of an engine. It holds at most [capacity] pieces and evicts the least recently
 * used piece that is not pinned by a running request. Pieces are identified by their chained hashes;
 * these include the cache scope, so that scopes share no pieces. Not thread-safe.
 */
public class PrefixCache(private val capacity: Int, private val listener: PrefixCacheListener = PrefixCacheListener { _, _, _ -> }) {
    private class Entry(val parent: Long?, val tokens: Int) {
        var pins = 0
    }

    private val entries = LinkedHashMap<Long, Entry>(capacity, HASH_LOAD_FACTOR, true)

    /** The number of cached pieces. */
    public val size: Int get() = entries.size

    /** Returns whether the piece is cached; this does not count as a use. */
    public operator fun contains(chain: Long): Boolean = entries.containsKey(chain)

    /** Returns the number of leading pieces of [chains] that are cached; this does not count as a use. */
    public fun cachedPrefixLength(chains: LongArray): Int = chains.indexOfFirst { it !in entries }.let { if (it < 0) chains.size else it }

    /** Protects a piece from eviction until [unpin]. Pins are counted. */
    public fun pin(chain: Long) {
        entries[chain]?.let { it.pins++ }
    }

    /** Removes one [pin]. */
    public fun unpin(chain: Long) {
        entries[chain]?.let { it.pins = maxOf(0, it.pins - 1) }
    }

    /** Marks the pieces as used now, in reverse order, so that a piece is evicted before the pieces that precede it in a prefix. */
    public fun touch(chains: LongArray) {
        for (index in chains.indices.reversed()) entries[chains[index]]
    }

    /** Stores a piece that follows [parent]; returns false if the cache is full and every piece is pinned. */
    public fun store(chain: Long, parent: Long?, tokens: Int): Boolean {
        if (entries.containsKey(chain)) return true
        if (entries.size >= capacity && !evictLeastRecentlyUsed()) return false
        entries[chain] = Entry(parent, tokens)
        listener.onChange(CacheEventKind.STORED, chain, tokens)
        return true
    }

    /** Returns the chained hash and token count of each piece up to and including [chain], or null if one of them is missing. */
    public fun prefixEndingAt(chain: Long): List<Pair<Long, Int>>? {
        val prefix = ArrayDeque<Pair<Long, Int>>()
        var current: Long? = chain
        while (current != null) {
            val entry = entries[current] ?: return null
            prefix.addFirst(current to entry.tokens)
            current = entry.parent
        }
        return prefix
    }

    /** Removes all pieces, also pinned ones. */
    public fun clear() {
        if (entries.isEmpty()) return
        entries.clear()
        listener.onChange(CacheEventKind.CLEARED, 0, 0)
    }

    private fun evictLeastRecentlyUsed(): Boolean {
        val victim = entries.entries.firstOrNull { it.value.pins == 0 } ?: return false
        val (chain, entry) = victim.key to victim.value
        entries.remove(chain)
        listener.onChange(CacheEventKind.EVICTED, chain, entry.tokens)
        return true
    }

    private companion object {
        const val HASH_LOAD_FACTOR = 0.75f
    }
}
