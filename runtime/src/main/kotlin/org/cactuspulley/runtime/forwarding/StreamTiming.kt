package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration

/** Measures a stream: the time from the arrival of its request to the first event, and the longest pause between events. */
internal class StreamTiming(private val arrivedAt: MonotonicTime) {
    private var lastEventAt: MonotonicTime? = null

    /** The time from the arrival of the request to the first event; null before that event. */
    var timeToFirstEvent: Duration? = null
        private set

    /** The longest time between two consecutive arrivals of events so far. */
    var longestPause = Duration.ZERO
        private set

    /** Records that events arrived at [at]. */
    fun eventsArrived(at: MonotonicTime) {
        val last = lastEventAt
        lastEventAt = at
        if (last == null) timeToFirstEvent = at - arrivedAt else longestPause = maxOf(longestPause, at - last)
    }
}
