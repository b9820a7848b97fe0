package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What is known of the weights of one model on one start of a target, whose versions only grow.
 *
 * The registry and the target's responses tell the version. A target may refuse the version that is expected of it without saying
 * which it has, because it has loaded newer weights since its last report. Then a later version is assumed for a while, but never
 * known: an assumption that stayed would make the target refuse all further requests.
 */
internal class LoadedWeights {
    private var observed = 0L
    private var refused = 0L
    private var newestNamed = 0L
    private var assumedUntil: MonotonicTime? = null

    /** Returns the version that the target is known to have, whose entry says [registered]. */
    fun known(registered: Long): Long = maxOf(registered, observed)

    /** Records that a response of the target showed [version]; returns whether it is newer than all observed before. */
    fun observe(version: Long): Boolean {
        if (version <= observed) return false
        observed = version
        return true
    }

    /**
     * Records at [now] that the target refused [version], while [newest] was the newest version named. Requests that were sent before
     * a refusal may be refused for an older version after it.
     */
    fun refuse(version: Long, newest: Long, now: MonotonicTime) {
        refused = if (isAssumed(now)) maxOf(refused, version) else version
        newestNamed = newest
        assumedUntil = now + ASSUMPTION_LIFETIME
    }

    /**
     * Returns the version that the target probably has at [now]: the next one after the refused version, or the known one; null if
     * it has refused all versions that it may have.
     */
    fun probable(registered: Long, now: MonotonicTime): Long? {
        val known = known(registered)
        return if (!isAssumed(now) || known > refused) known else (refused + 1).takeIf { it <= newestNamed }
    }

    private fun isAssumed(now: MonotonicTime): Boolean = assumedUntil?.let { now < it } ?: false

    private companion object {
        /** The time in which the target reports to the registry again, and a relay of the report. */
        val ASSUMPTION_LIFETIME: Duration = 1_500.milliseconds
    }
}
