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
    /** The time [duration] after this one. */
    public operator fun plus(duration: Duration): MonotonicTime = MonotonicTime(nanoseconds + duration.inWholeNanoseconds)

    /** The time [duration] before this one. */
    public operator fun minus(duration: Duration): MonotonicTime = MonotonicTime(nanoseconds - duration.inWholeNanoseconds)

    /** The duration from [earlier] to this time. */
    public operator fun minus(earlier: MonotonicTime): Duration = (nanoseconds - earlier.nanoseconds).nanoseconds

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
