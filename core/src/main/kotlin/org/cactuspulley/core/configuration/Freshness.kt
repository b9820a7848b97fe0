package org.cactuspulley.core.configuration

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration

/**
 * As of when this instance's knowledge was the newest that the log has.
 *
 * After a start or an outage of the log, withdrawals that were taken meanwhile may not have reached
 * the log yet. Until they have had time to, knowledge from the log alone is not enough: it counts from
 * [settle] on, or once it was renewed without a break for the settling time.
 */
internal class Freshness(private val freshnessLimit: Duration, private val settlingTime: Duration) {
    /** The moment that the knowledge is known to be no older than; null if it never was the newest. */
    var asOf: MonotonicTime? = null
        private set

    private var recentSince: MonotonicTime? = null
    private var isSettled = false

    /** Takes note that the knowledge was the newest at [time]; learned at [now]. */
    fun renew(time: MonotonicTime, now: MonotonicTime) {
        if (!isRecent(now)) startSettling(now)
        asOf = asOf?.let { maxOf(it, time) } ?: time
    }

    private fun startSettling(now: MonotonicTime) {
        recentSince = now
        isSettled = false
    }

    /** Takes note that the log could not be read, so the settling time begins anew. */
    fun interrupt(now: MonotonicTime) {
        if (!isSettled) recentSince = now
    }

    /** Takes note that nothing that others know is missing any more. */
    fun settle() {
        isSettled = true
    }

    /** Whether the knowledge is recent, settled or not. */
    fun isRecent(now: MonotonicTime): Boolean = asOf?.let { now - it <= freshnessLimit } ?: false

    /** Whether the instance may serve by its knowledge alone. */
    fun isFresh(now: MonotonicTime): Boolean = isRecent(now) && (isSettled || recentSince?.let { now - it >= settlingTime } ?: false)
}
