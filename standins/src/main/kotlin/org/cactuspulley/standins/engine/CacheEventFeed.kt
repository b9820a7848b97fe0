package org.cactuspulley.standins.engine

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.platform.CacheEvent
import org.cactuspulley.core.platform.CacheEventKind
import org.cactuspulley.core.platform.CacheEventPage
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The cache events of one engine incarnation, numbered from 0. Events become visible after
 * [publicationDelay], and a random share of them is lost. Not thread-safe.
 */
internal class CacheEventFeed(private val publicationDelay: Duration, private val random: Random) {
    private class FeedEntry(val event: CacheEvent?, val visibleAt: MonotonicTime)

    private val events = ArrayDeque<FeedEntry>()
    private var firstRetained = 0L

    /** The share of later events that are lost, from 0 to 1. */
    var lossRate: Double = 0.0

    fun publish(kind: CacheEventKind, chain: Long, tokens: Int, now: MonotonicTime) {
        val number = firstRetained + events.size
        val lost = random.nextDouble() < lossRate
        events.addLast(FeedEntry(if (lost) null else CacheEvent(number, kind, chain, tokens), now + publicationDelay))
        if (events.size > MAXIMUM_RETAINED_EVENTS) {
            events.removeFirst()
            firstRetained++
        }
    }

    /**
     * Returns a page of the events that are visible at [now], starting at number [from]. Its count of
     * missing events covers those that were lost and those that are no longer retained.
     */
    fun readPage(incarnation: Long, from: Long, now: MonotonicTime): CacheEventPage {
        val dropped = maxOf(0, firstRetained - from)
        val startIndex = maxOf(0, from - firstRetained).coerceAtMost(events.size.toLong()).toInt()
        val visible = events.subList(startIndex, events.size).takeWhile { it.visibleAt <= now }.take(MAXIMUM_PAGE_EVENTS)
        val lost = visible.count { it.event == null }
        return CacheEventPage(
            incarnation = incarnation,
            events = visible.mapNotNull { it.event },
            next = maxOf(from, firstRetained).coerceAtMost(firstRetained + events.size) + visible.size,
            missing = dropped + lost,
        )
    }

    private companion object {
        const val MAXIMUM_RETAINED_EVENTS = 20_000
        const val MAXIMUM_PAGE_EVENTS = 2_000
    }
}
