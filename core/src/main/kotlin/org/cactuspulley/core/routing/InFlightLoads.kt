package org.cactuspulley.core.routing

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.targets.KnownTarget
import kotlin.time.Duration.Companion.seconds

/** The time for which finished attempts are kept, because a lagged load report may still include them. */
private val FINISHED_RETENTION = 5.seconds

/** The time after which every load report includes a placement of another instance. */
private val REMOTE_PLACEMENT_RETENTION = 2.seconds

/**
 * An attempt that this instance started.
 *
 * @property prefillTokens the number of prompt tokens that the target has to compute.
 * @property prefillUntil when the target is expected to have computed them.
 */
internal class InFlightAttempt(
    val target: TargetId,
    val startedAt: MonotonicTime,
    val prefillTokens: Int,
    val prefillUntil: MonotonicTime,
) {
    var finishedAt: MonotonicTime? = null

    /** Returns whether the attempt was running at [time]. */
    fun isRunningAt(time: MonotonicTime): Boolean = startedAt <= time && finishedAt.let { it == null || it > time }
}

/** Prompt tokens that a target has to compute for a request of another instance. */
private class RemotePlacement(val at: MonotonicTime, val tokens: Int)

/**
 * The estimated load of a target.
 *
 * @property requests the number of running and waiting requests.
 * @property prefillTokens the number of prompt tokens that are not computed yet.
 */
internal data class LoadEstimate(val requests: Int, val prefillTokens: Long)

/**
 * Estimates the current load of a target from its lagged load report, the attempts of this instance and the placement
 * notices of other instances. So that no attempt is counted twice, the attempts of this instance that ran at the time of
 * the report are subtracted from the report.
 */
internal class InFlightLoads(private val settings: SelectionSettings) {
    private val attempts = HashMap<AttemptId, InFlightAttempt>()
    private val remotePlacements = HashMap<TargetId, ArrayDeque<RemotePlacement>>()
    private val byTarget = HashMap<TargetId, ArrayDeque<InFlightAttempt>>()

    /** Records the start of [attempt]. */
    fun start(id: AttemptId, attempt: InFlightAttempt) {
        attempts[id] = attempt
        byTarget.getOrPut(attempt.target) { ArrayDeque() }.addLast(attempt)
    }

    /** Records the end of the attempt [id] and returns it, or null if it is not running. */
    fun finish(id: AttemptId, now: MonotonicTime): InFlightAttempt? {
        val attempt = attempts.remove(id) ?: return null
        attempt.finishedAt = now
        byTarget[attempt.target]?.removeAll { past -> past.finishedAt.let { it != null && it + FINISHED_RETENTION < now } }
        return attempt
    }

    /** Returns the estimated load of the target at [now]. */
    fun estimate(known: KnownTarget, now: MonotonicTime): LoadEstimate {
        val own = byTarget[known.target.id].orEmpty()
        val running = own.count { it.finishedAt == null }
        val prefill = own.filter { it.finishedAt == null && it.prefillUntil > now }.sumOf { it.prefillTokens.toLong() }
        val reportedAt = known.loadAt?.minus(settings.loadLag) ?: return LoadEstimate(running, prefill)
        val reportedOwn = own.filter { it.isRunningAt(reportedAt) }
        val reportedPrefill = reportedOwn.filter { it.prefillUntil > reportedAt }.sumOf { it.prefillTokens.toLong() }
        val others = (known.load.running + known.load.waiting - reportedOwn.size).coerceAtLeast(0)
        val othersPrefill = (known.load.waitingPrefillTokens - reportedPrefill).coerceAtLeast(0)
        val unreportedRemote = remotePlacements[known.target.id].orEmpty().filter { it.at > reportedAt }
        return LoadEstimate(
            others + running + unreportedRemote.size,
            othersPrefill + prefill + unreportedRemote.sumOf { it.tokens.toLong() },
        )
    }

    /**
     * Records that another instance made the target compute [tokens] prompt tokens at [at]. They count until a load report
     * includes them.
     */
    fun recordRemotePlacement(target: TargetId, tokens: Int, at: MonotonicTime) {
        val kept = remotePlacements.getOrPut(target) { ArrayDeque() }
        while (kept.isNotEmpty() && kept.first().at + REMOTE_PLACEMENT_RETENTION < at) kept.removeFirst()
        kept.addLast(RemotePlacement(at, tokens))
    }
}
