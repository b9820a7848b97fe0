package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Judges a target by the outcomes of requests: after [FAILURE_THRESHOLD] in a row, or one that
 * found nobody, it is left out for a while that doubles while failures go on.
 */
public class TargetHealth {
    private var consecutiveFailures = 0
    private var consecutiveExclusions = 0
    private var lastLoad: ReportedLoad? = null

    private var locallyExcludedUntil: MonotonicTime? = null
    private var silentSends = 0
    private var probedAt: MonotonicTime? = null

    /** Until when the target is left out; null if it is not. */
    public var excludedUntil: MonotonicTime? = null
        private set

    /** When the target last answered well. */
    public var lastSuccess: MonotonicTime? = null
        private set

    /** Whether requests should go elsewhere at [now]. */
    public fun isExcluded(now: MonotonicTime): Boolean = excludedUntil?.let { now < it } ?: false

    /** How much longer this instance's own judgement leaves the target out; null if it does not. */
    public fun localExclusion(now: MonotonicTime): Duration? = locallyExcludedUntil?.minus(now)?.takeIf { it.isPositive() }

    /** Takes note of a whole answer that is not a failure. */
    public fun recordSuccess(now: MonotonicTime) {
        consecutiveFailures = 0
        consecutiveExclusions = 0
        excludedUntil = null
        locallyExcludedUntil = null
        lastSuccess = now
    }

    /** Learns from a send that failed. */
    public fun recordFailure(failure: SendFailure, now: MonotonicTime) {
        when (failure) {
            SendFailure.UNREACHABLE -> exclude(now)

            SendFailure.BROKEN, SendFailure.SILENT, SendFailure.FAILED -> {
                consecutiveFailures++
                if (consecutiveFailures >= FAILURE_THRESHOLD) exclude(now)
            }

            SendFailure.NOT_RUN_FULL -> excludedUntil = maxOf(excludedUntil ?: now, now + FULL_TARGET_EXCLUSION)

            SendFailure.NOT_RUN_OTHER_TARGET -> Unit
        }
    }

    /** Leaves the target out: it is dark. */
    public fun markUnresponsive(now: MonotonicTime) {
        if (!isExcluded(now)) exclude(now)
    }

    /**
     * Takes note that one more send has had no sign of the target for longer than its work takes; says what follows. A single
     * one may wait behind others' work, of which an instance of a large fleet sees little.
     */
    public fun recordSilentSend(now: MonotonicTime): SilenceAction {
        silentSends++
        if (silentSends >= SILENT_SEND_THRESHOLD) return SilenceAction.EXCLUDE
        val lastProbe = probedAt
        if (isExcluded(now) || (lastProbe != null && now - lastProbe < PROBE_INTERVAL)) return SilenceAction.WAIT
        probedAt = now
        return SilenceAction.PROBE
    }

    /** Takes note that a send that was silent has ended or has had a sign. */
    public fun silentSendEnded() {
        silentSends = (silentSends - 1).coerceAtLeast(0)
    }

    /** Takes over the judgement of another instance, unless this one has seen a success since. */
    public fun recordPeerExclusion(remaining: Duration, now: MonotonicTime) {
        val success = lastSuccess
        if (success != null && now - success < LOCAL_SUCCESS_LIFETIME) return
        excludedUntil = maxOf(excludedUntil ?: now, now + remaining)
    }

    /** Takes note of the load that an answer told. */
    public fun recordLoad(load: ReportedLoad) {
        lastLoad = load
    }

    /** The load that was told last, if that was recent. */
    public fun load(now: MonotonicTime): ReportedLoad? = lastLoad?.takeIf { now - it.at < LOAD_LIFETIME }

    private fun exclude(now: MonotonicTime) {
        val duration = BASE_EXCLUSION * (1 shl consecutiveExclusions.coerceAtMost(MAX_DOUBLINGS))
        consecutiveExclusions++
        consecutiveFailures = FAILURE_THRESHOLD - 1
        excludedUntil = now + duration
        locallyExcludedUntil = excludedUntil
    }

    private companion object {
        /** One failure may be the request's own; two in a row without a success are the target's. */
        const val FAILURE_THRESHOLD = 2

        /** One silent send may wait behind others' work; two at once, and nothing heard since the first, mean that nothing moves. */
        const val SILENT_SEND_THRESHOLD = 2

        /** How often a silent target is asked for a connection; several sends that wait there ask for one. */
        val PROBE_INTERVAL = 500.milliseconds

        /** A target that crashed is back after a few seconds; the first look comes before that. */
        val BASE_EXCLUSION = 700.milliseconds

        /** Limits the pause to 5.6 s, so that a target that has recovered is found within one registry lapse. */
        const val MAX_DOUBLINGS = 3

        /** A full target's queue moves within a few service times. */
        val FULL_TARGET_EXCLUSION = 60.milliseconds

        /** An own success within this time outweighs another instance's judgement. */
        val LOCAL_SUCCESS_LIFETIME = 1_000.milliseconds

        /** Load that was told earlier than this no longer describes the target. */
        val LOAD_LIFETIME = 400.milliseconds
    }
}

/** What follows when a send has had no sign of its target for long. */
public enum class SilenceAction {
    /** The target is dark. */
    EXCLUDE,

    /** Whether it takes a connection tells. */
    PROBE,

    /** Nothing; it is left out already or was checked just before. */
    WAIT,
}

/** What a target told about its load at [at]. */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int, val at: MonotonicTime)
