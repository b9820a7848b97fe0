package org.cactuspulley.core.model

import kotlin.jvm.JvmInline
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of this process's monotonic clock. It is meaningless in another process, so messages carry
 * the remaining time instead, which the receiver converts to a deadline on arrival.
 *
 * @property nanoseconds the time since an arbitrary start, in nanoseconds.
 */
@JvmInline
public value class MonotonicTime(public val nanoseconds: Long) : Comparable<MonotonicTime> {
    /** The time [duration] after this one, or the latest possible time if that is later. */
    public operator fun plus(duration: Duration): MonotonicTime {
        val added = duration.inWholeNanoseconds
        val sum = nanoseconds + added
        // The sum has overflowed if its sign differs from the signs of both summands.
        val overflows = ((nanoseconds xor sum) and (added xor sum)) < 0
        return MonotonicTime(
            if (!overflows) {
                sum
            } else if (added > 0) {
                Long.MAX_VALUE
            } else {
                Long.MIN_VALUE
            },
        )
    }

    /** The time [duration] before this one, or the earliest possible time if that is earlier. */
    public operator fun minus(duration: Duration): MonotonicTime = this + -duration

    /** The duration from [earlier] to this time; infinite if it is too long for a number of nanoseconds. */
    public operator fun minus(earlier: MonotonicTime): Duration {
        val difference = nanoseconds - earlier.nanoseconds
        // The difference has overflowed if the two times differ in sign and the difference has the sign of the earlier one.
        val overflows = ((nanoseconds xor earlier.nanoseconds) and (nanoseconds xor difference)) < 0
        return if (!overflows) {
            difference.nanoseconds
        } else if (nanoseconds > 0) {
            Duration.INFINITE
        } else {
            -Duration.INFINITE
        }
    }

    override fun compareTo(other: MonotonicTime): Int = nanoseconds.compareTo(other.nanoseconds)

    public companion object {
        /** The start of the clock. */
        public val ZERO: MonotonicTime = MonotonicTime(0)
    }
}

/** Returns the earlier of two deadlines; null stands for no deadline. */
public fun earliest(first: MonotonicTime?, second: MonotonicTime?): MonotonicTime? = when {
    first == null -> second
    second == null -> first
    else -> minOf(first, second)
}
