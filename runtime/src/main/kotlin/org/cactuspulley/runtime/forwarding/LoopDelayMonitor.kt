package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects delays of the event loop with a timer that should run every [period]. A pause of the process, or work such as class
 * loading at startup, causes them. Data that is read right after a delay may be outdated: its sender may have disconnected.
 */
internal class LoopDelayMonitor(private val period: Duration, startedAt: MonotonicTime) {
    private var tickedAt = startedAt
    private var catchUpUntil = startedAt

    /** When the last delay longer than [THRESHOLD] began and ended. */
    private var lastDelay = startedAt to startedAt

    /** Records that the timer ran at [now]; returns how late it was. */
    fun recordTick(now: MonotonicTime): Duration {
        val delay = (now - tickedAt - period).coerceAtLeast(Duration.ZERO)
        if (delay > THRESHOLD) {
            catchUpUntil = now + CATCH_UP
            lastDelay = tickedAt to now
        }
        tickedAt = now
        return delay
    }

    /** Whether data that is read at [now] may have waited for the event loop for longer than [THRESHOLD]. */
    fun isDelayed(now: MonotonicTime): Boolean = now < catchUpUntil || now - tickedAt - period > THRESHOLD

    /** Whether the timer is so late at [now] that the connections have not been read for a while. */
    fun isOverdue(now: MonotonicTime): Boolean = now - tickedAt - period > OVERDUE

    /** The earliest time at which news that arrives at [now] may have become available; earlier than [now] only after a delay. */
    fun earliestOrigin(now: MonotonicTime): MonotonicTime {
        if (now - tickedAt - period > THRESHOLD) return tickedAt
        val (began, ended) = lastDelay
        return if (now - ended < NEWS_CATCH_UP) began else now
    }

    companion object {
        /** The shortest delay that matters: half of the time within which targets must learn that a caller has disconnected. */
        val THRESHOLD = 250.milliseconds

        /** A fifth of [THRESHOLD]; the timer of a loop that is not busy is late by a few milliseconds at most. */
        private val OVERDUE = 50.milliseconds

        /** The time needed to read what arrived during a delay, on about a hundred connections. */
        private val CATCH_UP = 100.milliseconds

        /** The time in which an instance reads after a delay what it has missed, from its peers or from the store. */
        private val NEWS_CATCH_UP = 1_000.milliseconds
    }
}
