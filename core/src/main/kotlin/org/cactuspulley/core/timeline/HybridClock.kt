package org.cactuspulley.core.timeline

import kotlinx.serialization.Serializable

/**
 * A reading of a hybrid logical clock. It is later than the reading of every event that caused it.
 *
 * @property millis the wall-clock time in Unix milliseconds; it may come from another process whose clock is ahead.
 * @property counter the number that orders readings within one millisecond.
 */
@Serializable
public data class HybridTime(val millis: Long, val counter: Int) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int = compareValuesBy(this, other, { it.millis }, { it.counter })

    public companion object {
        /** The time before all others. */
        public val ZERO: HybridTime = HybridTime(0, 0)
    }
}

/**
 * A hybrid logical clock (Kulkarni et al., 2014). Callers pass the wall-clock time in Unix milliseconds.
 *
 * This class is not thread-safe.
 */
public class HybridClock {
    private var last = HybridTime.ZERO

    /** Returns a reading that is later than all earlier and all observed readings and as close to [wallMillis] as possible. */
    public fun tick(wallMillis: Long): HybridTime {
        last = if (wallMillis > last.millis) HybridTime(wallMillis, 0) else HybridTime(last.millis, last.counter + 1)
        return last
    }

    /** Advances the clock to the reading of a received message. Ignores a reading more than [MAXIMUM_LEAD_MILLIS] ahead of [wallMillis]. */
    public fun observe(remote: HybridTime, wallMillis: Long) {
        if (remote.millis > wallMillis + MAXIMUM_LEAD_MILLIS) return
        last = maxOf(last, remote)
    }

    public companion object {
        /** The maximum lead of another process's clock, in milliseconds, beyond which its readings are ignored. */
        public const val MAXIMUM_LEAD_MILLIS: Long = 60_000
    }
}
