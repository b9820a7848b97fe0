package org.cactuspulley.core.queueing

import org.cactuspulley.core.model.MonotonicTime
import kotlin.math.exp

/** Measures how fast a pool takes work while requests wait for it; recent seconds count most. */
internal class DrainRate {
    private var tokens = 0.0
    private var busyNanoseconds = 0.0
    private var measuredUntil: MonotonicTime? = null

    /** Null until enough busy time has been seen. */
    val nanosecondsPerToken: Double?
        get() = if (busyNanoseconds < MINIMUM_BUSY_NANOSECONDS || tokens <= 0) null else busyNanoseconds / tokens

    /** Requests begin to wait at [now]; idle time before does not count. */
    fun resume(now: MonotonicTime) {
        measuredUntil = now
    }

    fun record(startedTokens: Long, now: MonotonicTime) {
        val elapsed = measuredUntil?.let { (now - it).inWholeNanoseconds.coerceAtLeast(0) } ?: 0
        val decay = exp(-elapsed / DECAY_TIME_NANOSECONDS)
        tokens = tokens * decay + startedTokens
        busyNanoseconds = busyNanoseconds * decay + elapsed
        measuredUntil = now
    }

    private companion object {
        const val DECAY_TIME_NANOSECONDS = 5e9
        const val MINIMUM_BUSY_NANOSECONDS = 5e8
    }
}
