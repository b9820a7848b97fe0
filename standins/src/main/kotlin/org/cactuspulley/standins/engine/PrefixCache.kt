package org.cactuspulley.standins.engine

import org.cactuspulley.core.platform.CacheEventKind

/** Hears of each change of a prefix cache. */
public fun interface PrefixCacheListener {
    /** The piece named by [chain] was stored or evicted. */
    public fun onChange(kind: CacheEventKind, chain: Long, tokens: Int)
}

/**
 * The prefix cache of an engine: at most [capacity] pieces; the least recently used one that no
 * running request needs goes first. A chained hash includes its scope, so that scopes share nothing.
 */
public class PrefixCache(private val capacity: Int, private val listener: PrefixCacheListener = PrefixCacheListener { _, _, _ -> }) {
    private class Entry(val parent: Long?, val tokens: Int) {
        var pins = 0
    }

    private val entries = LinkedHashMap<Long, Entry>(capacity, HASH_LOAD_FACTOR, true)

    /** The number of cached pieces. */
    public val size: Int get() = entries.size

    /** Whether the piece is cached; does not count as use. */
    public operator fun contains(chain: Long): Boolean = entries.containsKey(chain)

    /** The number of leading pieces of [chains] that are cached; does not count as use. */
    public fun cachedPrefixLength(chains: LongArray): Int = chains.indexOfFirst { it !in entries }.let { if (it < 0) chains.size else it }

    /** Keeps a piece from being evicted until [unpin]. */
    public fun pin(chain: Long) {
        entries[chain]?.let { it.pins++ }
    }

    /** Undoes one [pin]. */
    public fun unpin(chain: Long) {
        entries[chain]?.let { it.pins = maxOf(0, it.pins - 1) }
    }

    /** Counts the pieces as used now, the first of them last, so that a piece goes before those it rests on. */
    public fun touch(chains: LongArray) {
        for (index in chains.indices.reversed()) entries[chains[index]]
    }

    /** Stores a piece that follows [parent]; false when every piece is pinned. */
    public fun store(chain: Long, parent: Long?, tokens: Int): Boolean {
        if (entries.containsKey(chain)) return true
        if (entries.size >= capacity && !evictLeastRecentlyUsed()) return false
        entries[chain] = Entry(parent, tokens)
        listener.onChange(CacheEventKind.STORED, chain, tokens)
        return true
    }

    /** The pieces up to and with [chain], each with its tokens, or null when one of them is missing. */
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

    /** Drops everything. */
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
