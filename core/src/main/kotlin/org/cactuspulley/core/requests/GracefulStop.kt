package org.cactuspulley.core.requests

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.earliest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when a process that was asked to stop may end: once no caller is sent to it any more, every
 * request has ended and none has come for [QUIET_PERIOD], or at the stop deadline. A caller that learns late of
 * the stop, or uses a kept connection, is thus served rather than cut.
 */
internal class GracefulStop(private val serviceAfterStop: Duration) {
    private var serveUntil: MonotonicTime? = null
    private var stopDeadline: MonotonicTime? = null
    private var completed = false
    private var entryAnswersExpired = false

    val nextDeadline: MonotonicTime?
        get() = if (completed) null else earliest(serveUntil.takeUnless { entryAnswersExpired }, stopDeadline)

    /** Begins the stop; false if it began before. */
    fun begin(deadline: MonotonicTime, now: MonotonicTime): Boolean {
        if (stopDeadline != null) return false
        stopDeadline = deadline
        serveUntil = minOf(now + serviceAfterStop, deadline)
        return true
    }

    /** Takes note that a request arrived: callers still come here. */
    fun requestArrived(now: MonotonicTime) {
        val earliestEnd = serveUntil ?: return
        val latestEnd = stopDeadline ?: return
        serveUntil = minOf(maxOf(earliestEnd, now + QUIET_PERIOD), latestEnd)
        entryAnswersExpired = false
    }

    /** Whether the stop is complete at [now]; true only once. */
    fun tryComplete(now: MonotonicTime, idle: Boolean): Boolean {
        val earliestEnd = serveUntil ?: return false
        val latestEnd = stopDeadline ?: return false
        if (now >= earliestEnd) entryAnswersExpired = true
        val mayEnd = now >= latestEnd || (idle && now >= earliestEnd)
        if (completed || !mayEnd) return false
        completed = true
        return true
    }

    private companion object {
        /** Callers that still know the address send a request about every half second each at the lowest rates replayed. */
        val QUIET_PERIOD = 1.seconds
    }
}
