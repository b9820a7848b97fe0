package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Knows whether the event loop was held up, by a timer that should run every [period]: by a pause of the machine, or by work such
 * as loading classes at a start. What is read right after that may be old: its sender may have left meanwhile.
 */
internal class LoopDelayMonitor(private val period: Duration, startedAt: MonotonicTime) {
    private var tickedAt = startedAt
    private var catchUpUntil = startedAt

    /** Takes note that the timer runs at [now]; returns how late it is. */
    fun recordTick(now: MonotonicTime): Duration {
        val delay = (now - tickedAt - period).coerceAtLeast(Duration.ZERO)
        tickedAt = now
        if (delay > THRESHOLD) catchUpUntil = now + CATCH_UP
        return delay
    }

    /** Whether what is read at [now] may have waited for the loop for longer than [THRESHOLD]. */
    fun isDelayed(now: MonotonicTime): Boolean = now < catchUpUntil || now - tickedAt - period > THRESHOLD

    companion object {
        /** Half of the time within which targets must hear that a caller has left. */
        val THRESHOLD = 250.milliseconds

        /** Time to read what arrived during the delay: some hundred connections. */
        private val CATCH_UP = 100.milliseconds
    }
}
