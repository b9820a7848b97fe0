package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The times of a graceful shutdown.
 *
 * @property startedAt when the shutdown began.
 * @property endsAt when the requests that still run are ended.
 */
internal data class PlannedStop(val startedAt: MonotonicTime, val endsAt: MonotonicTime) {
    /** The time by which the process has to exit, also if callers have not received their responses. */
    val exitAt: MonotonicTime get() = endsAt + FLUSH_TIME

    /**
     * Returns whether a new request is refused at [now], because it might not end before the process does. Its caller gets an answer
     * from another instance, to which callers are directed by then.
     *
     * @param deadline when the request ends at the latest.
     * @param totalLimit the time after which a response to such a request would be unusually slow; null if it is not known.
     */
    fun refuses(deadline: MonotonicTime, totalLimit: Duration?, now: MonotonicTime): Boolean =
        now - startedAt > ADDRESS_USE && deadline > endsAt && (totalLimit == null || now + totalLimit > endsAt)

    private companion object {
        /** After this time no caller is directed to this instance; the rest of the stop is for requests that have started. */
        val ADDRESS_USE: Duration = 2_800.milliseconds

        /** The time for sending the responses to the requests that are ended, before the platform kills the process. */
        val FLUSH_TIME: Duration = 300.milliseconds
    }
}
