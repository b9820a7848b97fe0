package org.cactuspulley.core.routing

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.targets.KnownTarget
import kotlin.time.Duration.Companion.seconds

/** The time for which finished attempts are kept, to be told apart from reported load. */
private val FINISHED_RETENTION = 5.seconds

/** The time after which every report includes what was unreportedRemote. */
private val REMOTE_PLACEMENT_RETENTION = 2.seconds

/** An attempt that this instance started; [prefillUntil] is when its prompt work is expected to be done. */
internal class InFlightAttempt(
    val target: TargetId,
    val startedAt: MonotonicTime,
    val prefillTokens: Int,
    val prefillUntil: MonotonicTime,
) {
    var finishedAt: MonotonicTime? = null

    fun isRunningAt(time: MonotonicTime): Boolean = startedAt <= time && finishedAt.let { it == null || it > time }
}

/** Prompt tokens that another instance gave a target to compute. */
private class RemotePlacement(val at: MonotonicTime, val tokens: Int)

/** The work that a target is believed to have now. */
internal data class LoadEstimate(val requests: Int, val prefillTokens: Long)

/**
 * Reckons a target's present load from its lagged report and from the attempts of this instance. An
 * attempt counts once: the report is first cleared of our attempts that ran when it was made.
 */
internal class InFlightLoads(private val settings: SelectionSettings) {
    private val attempts = HashMap<AttemptId, InFlightAttempt>()
    private val remotePlacements = HashMap<TargetId, ArrayDeque<RemotePlacement>>()
    private val byTarget = HashMap<TargetId, ArrayDeque<InFlightAttempt>>()

    fun start(id: AttemptId, attempt: InFlightAttempt) {
        attempts[id] = attempt
        byTarget.getOrPut(attempt.target) { ArrayDeque() }.addLast(attempt)
    }

    fun finish(id: AttemptId, now: MonotonicTime): InFlightAttempt? {
        val attempt = attempts.remove(id) ?: return null
        attempt.finishedAt = now
        byTarget[attempt.target]?.removeAll { past -> past.finishedAt.let { it != null && it + FINISHED_RETENTION < now } }
        return attempt
    }

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

    /** Notes that another instance made the target compute [tokens] at [at]; counts until a report includes it. */
    fun recordRemotePlacement(target: TargetId, tokens: Int, at: MonotonicTime) {
        val kept = remotePlacements.getOrPut(target) { ArrayDeque() }
        while (kept.isNotEmpty() && kept.first().at + REMOTE_PLACEMENT_RETENTION < at) kept.removeFirst()
        kept.addLast(RemotePlacement(at, tokens))
    }
}
