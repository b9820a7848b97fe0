package org.cactuspulley.core.configuration

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration

/**
 * Tracks the last time at which this instance's knowledge matched the end of the log.
 *
 * After a start or an outage of the log, withdrawals that instances received in the meantime may not be
 * in the log yet. Knowledge from the log alone is therefore not sufficient at first. It is sufficient after
 * [settle], or once it has been renewed without a break for the settling time.
 *
 * @param freshnessLimit the maximum age of knowledge that counts as recent.
 * @param settlingTime how long instances need to append the withdrawals that the log lacks.
 */
internal class Freshness(private val freshnessLimit: Duration, private val settlingTime: Duration) {
    /** The last time at which the knowledge matched the end of the log, as a lower bound; null if it never did. */
    var asOf: MonotonicTime? = null
        private set

    private var recentSince: MonotonicTime? = null
    private var isSettled = false

    /**
     * Records at [now] that the knowledge matched the end of the log at [time]. Starts the settling time if the knowledge
     * was not recent.
     */
    fun renew(time: MonotonicTime, now: MonotonicTime) {
        if (!isRecent(now)) startSettling(now)
        asOf = asOf?.let { maxOf(it, time) } ?: time
    }

    private fun startSettling(now: MonotonicTime) {
        recentSince = now
        isSettled = false
    }

    /** Records that the log could not be read, which restarts the settling time unless [settle] has ended it. */
    fun interrupt(now: MonotonicTime) {
        if (!isSettled) recentSince = now
    }

    /** Records that this instance has merged everything that its peers know, which ends the settling time. */
    fun settle() {
        isSettled = true
    }

    /** Returns whether the knowledge is recent, whether or not it has settled. */
    fun isRecent(now: MonotonicTime): Boolean = asOf?.let { now - it <= freshnessLimit } ?: false

    /** Returns whether the knowledge is recent and settled, so the instance may serve without a majority. */
    fun isFresh(now: MonotonicTime): Boolean = isRecent(now) && (isSettled || recentSince?.let { now - it >= settlingTime } ?: false)
}
