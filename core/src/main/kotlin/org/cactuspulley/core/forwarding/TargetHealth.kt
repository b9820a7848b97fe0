package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks the health of a target by the outcomes of requests.
 *
 * The target is excluded after [FAILURE_THRESHOLD] consecutive failures, or after one failure to connect. The
 * duration of the exclusion doubles with each further exclusion until a request succeeds.
 */
public class TargetHealth {
    private var consecutiveFailures = 0
    private var consecutiveExclusions = 0
    private var lastLoad: ReportedLoad? = null

    private var locallyExcludedUntil: MonotonicTime? = null
    private var silentAttempts = 0
    private var probedAt: MonotonicTime? = null

    /** The time until which the target is excluded; null if it was not excluded since its last success. */
    public var excludedUntil: MonotonicTime? = null
        private set

    /** The time of the last successful response; null if there was none. */
    public var lastSuccess: MonotonicTime? = null
        private set

    /** Returns whether requests should avoid the target at [now]. */
    public fun isExcluded(now: MonotonicTime): Boolean = excludedUntil?.let { now < it } ?: false

    /** Returns how much longer this instance's own observations exclude the target; null if they do not. */
    public fun localExclusion(now: MonotonicTime): Duration? = locallyExcludedUntil?.minus(now)?.takeIf { it.isPositive() }

    /** Records a complete response that is not a failure. */
    public fun recordSuccess(now: MonotonicTime) {
        consecutiveFailures = 0
        consecutiveExclusions = 0
        excludedUntil = null
        locallyExcludedUntil = null
        lastSuccess = now
    }

    /** Records a send attempt that ended with [failure]. */
    public fun recordFailure(failure: SendFailure, now: MonotonicTime) {
        when (failure) {
            SendFailure.UNREACHABLE -> exclude(now)

            SendFailure.BROKEN, SendFailure.SILENT, SendFailure.FAILED -> {
                consecutiveFailures++
                if (consecutiveFailures >= FAILURE_THRESHOLD) exclude(now)
            }

            SendFailure.NOT_RUN_FULL -> excludedUntil = maxOf(excludedUntil ?: now, now + FULL_TARGET_EXCLUSION)

            SendFailure.NOT_SENT, SendFailure.RATE_LIMITED, SendFailure.NOT_RUN_OTHER_TARGET, SendFailure.WITHDRAWN -> Unit
        }
    }

    /** Excludes the target because it is unresponsive. */
    public fun markUnresponsive(now: MonotonicTime) {
        if (!isExcluded(now)) exclude(now)
    }

    /**
     * Records that one more attempt is silent, because the target has sent nothing for longer than its work takes,
     * and returns what to do. The request of a single silent attempt may be queued behind those of other instances,
     * of which an instance of a large fleet sees little.
     */
    public fun recordSilentAttempt(now: MonotonicTime): SilenceAction {
        silentAttempts++
        if (silentAttempts >= SILENT_ATTEMPT_THRESHOLD) return SilenceAction.EXCLUDE
        val lastProbe = probedAt
        if (isExcluded(now) || (lastProbe != null && now - lastProbe < PROBE_INTERVAL)) return SilenceAction.WAIT
        probedAt = now
        return SilenceAction.PROBE
    }

    /** Records that a silent attempt has ended or has received something. */
    public fun silentAttemptEnded() {
        silentAttempts = (silentAttempts - 1).coerceAtLeast(0)
    }

    /** Adopts the exclusion reported by another instance, unless this instance has recently seen a success. */
    public fun recordPeerExclusion(remaining: Duration, now: MonotonicTime) {
        val success = lastSuccess
        if (success != null && now - success < LOCAL_SUCCESS_LIFETIME) return
        excludedUntil = maxOf(excludedUntil ?: now, now + remaining)
    }

    /** Records the load that the target reported with a response. */
    public fun recordLoad(load: ReportedLoad) {
        lastLoad = load
    }

    /** Returns the last reported load; null if it is outdated. */
    public fun load(now: MonotonicTime): ReportedLoad? = lastLoad?.takeIf { now - it.at < LOAD_LIFETIME }

    private fun exclude(now: MonotonicTime) {
        val duration = BASE_EXCLUSION * (1 shl consecutiveExclusions.coerceAtMost(MAX_DOUBLINGS))
        consecutiveExclusions++
        consecutiveFailures = FAILURE_THRESHOLD - 1
        excludedUntil = now + duration
        locallyExcludedUntil = excludedUntil
    }

    private companion object {
        /** A single failure may be caused by the request; two without a success in between are attributed to the target. */
        const val FAILURE_THRESHOLD = 2

        /**
         * A single silent attempt may be queued behind other work; two at once, with nothing received since the first,
         * mean that the target makes no progress.
         */
        const val SILENT_ATTEMPT_THRESHOLD = 2

        /** The minimum time between two connection probes of a silent target; several silent attempts share one probe. */
        val PROBE_INTERVAL = 500.milliseconds

        /**
         * A crashed target is back after a few seconds; the first exclusion ends before that, so that the recovery is
         * found early.
         */
        val BASE_EXCLUSION = 700.milliseconds

        /** Limits the exclusion to 5.6 s, so that a recovered target is found within one expiry period of the registry. */
        const val MAX_DOUBLINGS = 3

        /** The queue of a full target advances within a few service times. */
        val FULL_TARGET_EXCLUSION = 60.milliseconds

        /** For this long, a success seen by this instance outweighs the exclusion reported by another instance. */
        val LOCAL_SUCCESS_LIFETIME = 1_000.milliseconds

        /** A load reported longer ago no longer describes the target. */
        val LOAD_LIFETIME = 400.milliseconds
    }
}

/** What to do about a silent attempt, in which the target has sent nothing for long. */
public enum class SilenceAction {
    /** Exclude the target, because it is unresponsive. */
    EXCLUDE,

    /** Probe the target with a new connection. */
    PROBE,

    /** Wait, because the target is already excluded or was probed recently. */
    WAIT,
}

/**
 * The load that a target reported.
 *
 * @property running the number of running requests.
 * @property waiting the number of queued requests.
 * @property slots the number of requests that the target runs at the same time.
 * @property at the time at which the report arrived.
 * @property slowdown how long work takes at the target, as a multiple of the usual time; null if the target did not say.
 */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val at: MonotonicTime,
    val slowdown: Double? = null,
)
