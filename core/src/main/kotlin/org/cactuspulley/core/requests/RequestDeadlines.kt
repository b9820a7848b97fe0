package org.cactuspulley.core.requests

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import java.util.PriorityQueue

/** A time at which a request has to be looked at. */
internal sealed interface RequestDeadline {
    val request: RequestId
    val time: MonotonicTime

    /** The caller's patience ends. */
    data class Caller(override val request: RequestId, override val time: MonotonicTime) : RequestDeadline

    /** The first byte of [attempt] is overdue. */
    data class FirstByte(override val request: RequestId, val attempt: AttemptId, override val time: MonotonicTime) : RequestDeadline
}

/** Deadlines in order of time. An entry whose request has ended is dropped when it comes to the front. */
internal class RequestDeadlines(private val isPending: (RequestDeadline) -> Boolean) {
    private val entries = PriorityQueue<RequestDeadline>(compareBy { it.time })

    val earliest: MonotonicTime?
        get() {
            dropObsolete()
            return entries.peek()?.time
        }

    fun add(deadline: RequestDeadline) {
        entries.add(deadline)
    }

    /** Removes and returns the needed entries that are due. */
    fun takeDue(now: MonotonicTime): List<RequestDeadline> = buildList {
        while (entries.isNotEmpty() && entries.peek().time <= now) {
            val entry = entries.poll()
            if (isPending(entry)) add(entry)
        }
    }

    private fun dropObsolete() {
        while (entries.isNotEmpty() && !isPending(entries.peek())) entries.poll()
    }
}
