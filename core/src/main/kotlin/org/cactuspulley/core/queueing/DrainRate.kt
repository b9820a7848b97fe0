package org.cactuspulley.core.queueing

import org.cactuspulley.core.model.MonotonicTime
import kotlin.math.exp

/** Measures the rate at which a pool starts work while requests wait for it, as an exponentially decaying average. */
internal class DrainRate {
    private var tokens = 0.0
    private var busyNanoseconds = 0.0
    private var measuredUntil: MonotonicTime? = null

    /** The average busy time per started cost token, in nanoseconds; null until enough busy time was measured. */
    val nanosecondsPerToken: Double?
        get() = if (busyNanoseconds < MINIMUM_BUSY_NANOSECONDS || tokens <= 0) null else busyNanoseconds / tokens

    /** Restarts the measurement when requests begin to wait at [now]; the idle time before does not count. */
    fun resume(now: MonotonicTime) {
        measuredUntil = now
    }

    /** Records that requests of [startedTokens] cost tokens were started since the last call. */
    fun record(startedTokens: Long, now: MonotonicTime) {
        val elapsed = measuredUntil?.let { (now - it).inWholeNanoseconds.coerceAtLeast(0) } ?: 0
        val decay = exp(-elapsed / DECAY_TIME_NANOSECONDS)
        tokens = tokens * decay + startedTokens
        busyNanoseconds = busyNanoseconds * decay + elapsed
        measuredUntil = now
    }

    private companion object {
        /** The time constant of the exponential decay. */
        const val DECAY_TIME_NANOSECONDS = 5e9

        /** The decayed busy time below which no rate is reported. */
        const val MINIMUM_BUSY_NANOSECONDS = 5e8
    }
}
