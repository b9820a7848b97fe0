package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Spreads the callers that are refused because of rate limits over the time in which they can be served, so that they do not return
 * together.
 */
public class ReturnSchedule {
    /** When the next refused caller can be served at the limited rate. */
    private var next: MonotonicTime? = null

    /**
     * Returns after which time a caller should return that is refused at [now], where [interval] is the mean time between two callers of
     * this instance that can be served. The first few return immediately, because other instances may have a place for them; none returns
     * before [notBefore], if that is given.
     */
    public fun delay(interval: Duration, now: MonotonicTime, notBefore: MonotonicTime? = null): Duration {
        val earliest = notBefore ?: (now - interval * IMMEDIATE_RETURNS)
        val turn = minOf(maxOf(next ?: earliest, earliest), now + MAX_DELAY)
        next = turn + interval
        return (turn - now).coerceIn(MIN_DELAY, MAX_DELAY)
    }

    private companion object {
        const val IMMEDIATE_RETURNS = 2

        /** The time for a new connection to another instance. */
        val MIN_DELAY = 50.milliseconds

        /** The time after which hardly any caller still waits for its answer. */
        val MAX_DELAY = 5.seconds
    }
}
