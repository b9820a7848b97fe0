package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration

/** How a stream comes: the time from its request's arrival to the first event, and the longest pause between events. */
internal class StreamTiming(private val arrivedAt: MonotonicTime) {
    private var lastEventAt: MonotonicTime? = null

    /** Null while there is no event. */
    var timeToFirstEvent: Duration? = null
        private set
    var longestPause = Duration.ZERO
        private set

    /** Takes note of events that came at [at]. */
    fun eventsArrived(at: MonotonicTime) {
        val last = lastEventAt
        lastEventAt = at
        if (last == null) timeToFirstEvent = at - arrivedAt else longestPause = maxOf(longestPause, at - last)
    }
}
