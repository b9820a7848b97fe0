package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What is known of the weights of one model on one start of a target, whose versions only grow.
 *
 * The registry and the target's responses tell the version. A target may refuse the version that is expected of it without saying
 * which it has, because it has loaded newer weights since its last report. Then the next version is assumed, but never known: an
 * assumption that counted as known would make the target refuse all further requests.
 */
internal class LoadedWeights {
    private var observed = 0L
    private var refused = 0L
    private var newestNamed = 0L
    private var retryAt = MonotonicTime.ZERO

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
        val startsAgain = refused >= newestNamed && now >= retryAt
        refused = if (startsAgain) version else maxOf(refused, version)
        newestNamed = newest
        retryAt = now + RETRY_DELAY
    }

    /** Records that [version] was named, which the target may have loaded. */
    fun named(version: Long) {
        newestNamed = maxOf(newestNamed, version)
    }

    /**
     * Returns the version that the target probably has at [now]: the known one or, if it was refused, the one after the newest refused
     * version; null if the target has just refused all versions that it may have.
     */
    fun probable(registered: Long, now: MonotonicTime): Long? {
        val known = known(registered)
        return when {
            known > refused -> known
            refused < newestNamed -> refused + 1
            now < retryAt -> null
            else -> known
        }
    }

    private companion object {
        /** After this time, in which the target reports to the registry again, one that has refused all versions is tried again. */
        val RETRY_DELAY: Duration = 1_500.milliseconds
    }
}
