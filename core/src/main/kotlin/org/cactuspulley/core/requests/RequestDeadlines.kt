package org.cactuspulley.core.requests

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import java.util.PriorityQueue

/** A time at which the state of a request must be checked. */
internal sealed interface RequestDeadline {
    val request: RequestId
    val time: MonotonicTime

    /** The caller's deadline for the whole request. */
    data class Caller(override val request: RequestId, override val time: MonotonicTime) : RequestDeadline

    /** The time at which [attempt] is cancelled unless its first byte has arrived. */
    data class FirstByte(override val request: RequestId, val attempt: AttemptId, override val time: MonotonicTime) : RequestDeadline
}

/**
 * Deadlines of requests, ordered by time. Entries that are no longer pending stay in the queue until they reach its front.
 *
 * @param isPending whether a deadline still applies to its request.
 */
internal class RequestDeadlines(private val isPending: (RequestDeadline) -> Boolean) {
    private val entries = PriorityQueue<RequestDeadline>(compareBy { it.time })

    /** The time of the earliest pending entry, or null if there is none. */
    val earliest: MonotonicTime?
        get() {
            dropNotPending()
            return entries.peek()?.time
        }

    fun add(deadline: RequestDeadline) {
        entries.add(deadline)
    }

    /** Removes all entries that are due at [now] and returns those that are still pending. */
    fun takeDue(now: MonotonicTime): List<RequestDeadline> = buildList {
        while (entries.isNotEmpty() && entries.peek().time <= now) {
            val entry = entries.poll()
            if (isPending(entry)) add(entry)
        }
    }

    private fun dropNotPending() {
        while (entries.isNotEmpty() && !isPending(entries.peek())) entries.poll()
    }
}
