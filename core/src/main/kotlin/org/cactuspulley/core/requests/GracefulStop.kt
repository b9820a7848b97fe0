package org.cactuspulley.core.requests

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.earliest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when a process that was asked to stop may end. It may end at the stop deadline, or earlier once the entry answers
 * that name it to callers have expired, every request has ended, every outcome is in the journal and no request has arrived
 * for [QUIET_PERIOD]. The quiet period is for callers that learn of the stop late or reuse an open connection; without it
 * their requests would be cut off.
 *
 * @param serviceAfterStop the time after the start of the stop for which entry answers may still name this instance.
 */
internal class GracefulStop(private val serviceAfterStop: Duration) {
    private var serveUntil: MonotonicTime? = null
    private var stopDeadline: MonotonicTime? = null
    private var completed = false
    private var serveUntilPassed = false

    /** The next time at which [tryComplete] can succeed, or null if the stop has not begun or is complete. */
    val nextDeadline: MonotonicTime?
        get() = if (completed) null else earliest(serveUntil.takeUnless { serveUntilPassed }, stopDeadline)

    /** Begins the stop, which ends by [deadline]. Returns false if it had already begun. */
    fun begin(deadline: MonotonicTime, now: MonotonicTime): Boolean {
        if (stopDeadline != null) return false
        stopDeadline = deadline
        serveUntil = minOf(now + serviceAfterStop, deadline)
        return true
    }

    /** Extends the service time to at least [QUIET_PERIOD] after a request that arrived at [now], up to the stop deadline. */
    fun requestArrived(now: MonotonicTime) {
        val earliestEnd = serveUntil ?: return
        val latestEnd = stopDeadline ?: return
        serveUntil = minOf(maxOf(earliestEnd, now + QUIET_PERIOD), latestEnd)
        serveUntilPassed = false
    }

    /** Completes the stop if it may end at [now]; [idle] tells whether no request or journal outcome is pending. Returns true only once. */
    fun tryComplete(now: MonotonicTime, idle: Boolean): Boolean {
        val earliestEnd = serveUntil ?: return false
        val latestEnd = stopDeadline ?: return false
        if (now >= earliestEnd) serveUntilPassed = true
        val mayEnd = now >= latestEnd || (idle && now >= earliestEnd)
        if (completed || !mayEnd) return false
        completed = true
        return true
    }

    private companion object {
        /** Twice the interval between the requests of a caller that still uses the address: about 0.5 s at the lowest replayed rates. */
        val QUIET_PERIOD = 1.seconds
    }
}
