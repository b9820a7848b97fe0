package org.cactuspulley.core.routing

import org.cactuspulley.core.model.MonotonicTime
import java.util.PriorityQueue

internal const val NANOSECONDS_PER_SECOND = 1_000_000_000L
internal const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/** A clock of virtual time that runs scheduled actions in the order of their times. */
internal class VirtualClock {
    private class ScheduledAction(val at: Long, val number: Long, val action: () -> Unit)

    private val scheduled = PriorityQueue(compareBy<ScheduledAction> { it.at }.thenBy { it.number })
    private var count = 0L
    var nanoseconds = NANOSECONDS_PER_SECOND
        private set
    val now: MonotonicTime get() = MonotonicTime(nanoseconds)

    fun after(delay: Long, action: () -> Unit) {
        scheduled.add(ScheduledAction(nanoseconds + delay, count++, action))
    }

    fun runUntil(end: Long) {
        while (scheduled.isNotEmpty() && scheduled.peek().at <= end) {
            val next = scheduled.poll()
            nanoseconds = next.at
            next.action()
        }
        nanoseconds = end
    }
}
