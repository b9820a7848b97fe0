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

    /** Records that the timer ran at [now]; returns how late it was. */
    fun recordTick(now: MonotonicTime): Duration {
        val delay = (now - tickedAt - period).coerceAtLeast(Duration.ZERO)
        tickedAt = now
        if (delay > THRESHOLD) catchUpUntil = now + CATCH_UP
        return delay
    }

    /** Whether data that is read at [now] may have waited for the event loop for longer than [THRESHOLD]. */
    fun isDelayed(now: MonotonicTime): Boolean = now < catchUpUntil || now - tickedAt - period > THRESHOLD

    companion object {
        /** The shortest delay that matters: half of the time within which targets must learn that a caller has disconnected. */
        val THRESHOLD = 250.milliseconds

        /** The time needed to read what arrived during a delay, on about a hundred connections. */
        private val CATCH_UP = 100.milliseconds
    }
}
