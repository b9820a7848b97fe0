package org.cactuspulley.core.rollout

import org.cactuspulley.core.forwarding.ServiceTimesRegistry
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides the stages of all releases while this instance holds the order lease; confined to one thread.
 *
 * A stage takes effect when the store has it, except for a rollback, which takes effect at once: requests return to the old version, and
 * it is safe whether or not the write succeeds.
 */
public class ReleaseController(
    private val releases: ReleaseDirectory,
    private val serviceTimes: ServiceTimesRegistry,
    private val settings: ReleaseSettings = ReleaseSettings(),
) {
    private class Snapshot(val at: MonotonicTime, val evidence: ReleaseEvidence)

    /** What this instance has done about [release]. */
    private class Progress(val release: Release, val since: MonotonicTime) {
        val snapshots = ArrayDeque<Snapshot>()
        var verdict: ReleaseVerdict? = null

        /** The write whose result is awaited. */
        var pending: ReleaseAction? = null
        var retryAt: MonotonicTime? = null

        /** The last state that this instance has written, and the era of the store that has it. */
        var written: ReleaseState? = null
        var writtenEra = 0L
        var shiftSince: MonotonicTime? = null

        /** Whether the end `Completed` may have been written; it must not be replaced by a rollback then. */
        var isCommitted = false
    }

    private val judge = EvidenceJudge(settings)
    private val progresses = HashMap<PoolName, Progress>()

    /** Whether this instance needs the order lease; it is passed to [org.cactuspulley.core.forwarding.OrderLease.require]. */
    public val isLeaseNeeded: Boolean get() = releases.needsLease

    /** Returns the last verdict on the release of [service]; null if this instance has made none. */
    public fun verdict(service: PoolName): ReleaseVerdict? = progresses[service]?.verdict

    /** Records [order], which the operators' topic shows at [now]; returns whether it begins a release. */
    public fun recordOrder(order: ReleaseOrder, now: MonotonicTime): Boolean {
        val isNew = releases.recordOrder(order)
        releases[order.service]?.let { progressOf(it, now) }
        return isNew
    }

    /** Records [state], which the holder of the lease confirmed at [heardAt]; returns whether its stage became known by it. */
    public fun recordState(state: ReleaseState, heardAt: MonotonicTime): Boolean = releases.recordState(state, heardAt)

    /**
     * Advances all releases at [now] by the [evidence] of all instances and returns the actions to perform. It is to be called at least
     * every 100 ms while [isLeaseNeeded], and whenever a result arrives. [isLeaseHeld] may be true only after the topic of releases was
     * read since the lease was claimed, so that a new holder does not decide against a final stage of the one before.
     */
    public fun step(now: MonotonicTime, evidence: Collection<ReleaseEvidence>, isLeaseHeld: Boolean): List<ReleaseAction> =
        releases.all.mapNotNull { release ->
            val progress = progressOf(release, now)
            observe(progress, evidence, now)
            if (!isLeaseHeld) return@mapNotNull null
            release.stage?.let { releases.apply(release, it, now, null) }
            if (release.isActive) decide(progress, now)
            val isWaiting = progress.pending != null || progress.retryAt?.let { now < it } ?: false
            if (isWaiting) null else nextWrite(progress, now)?.also { progress.pending = it }
        }

    private fun progressOf(release: Release, now: MonotonicTime): Progress =
        progresses[release.service]?.takeIf { it.release === release } ?: Progress(release, now).also { progresses[release.service] = it }

    private fun observe(progress: Progress, evidence: Collection<ReleaseEvidence>, now: MonotonicTime) {
        val release = progress.release
        if (!release.isActive) return progress.snapshots.clear()
        val total = evidence.filter { it.service == release.service && release.isSame(it.orderId) }
            .fold(ReleaseEvidence(release.service, release.id), ReleaseEvidence::plus)
        progress.snapshots.addLast(Snapshot(now, total))
        while (progress.snapshots.size > 1 && progress.snapshots[1].at <= now - RECENT_PERIODS.max()) progress.snapshots.removeFirst()
        if (release.stage == ReleaseStage.Shifting && progress.shiftSince == null) progress.shiftSince = now
    }

    private fun judge(progress: Progress, required: Int, now: MonotonicTime): ReleaseVerdict {
        val total = progress.snapshots.last().evidence
        val recent = RECENT_PERIODS.mapNotNull { period ->
            progress.snapshots.lastOrNull { it.at <= now - period }?.let { total - it.evidence }
        }
        return judge.verdict(progress.release.targetVersion, total, recent, required).also { progress.verdict = it }
    }

    /** Rolls the release back if the new version is faulty, or if it is too late for another end. */
    private fun decide(progress: Progress, now: MonotonicTime) {
        if (progress.isCommitted) return
        val release = progress.release
        val deadline = release.deadline
        val latest = if (deadline == null) progress.since + ORDER_READ_LIMIT else deadline - COMPLETION_TIME
        val verdict = judge(progress, COMPLETION_RESPONSES, now)
        // A write that is still under way when the end is due must not cost a healthy version its release; one more attempt is left.
        val isHeldUp = progress.pending != null && verdict == ReleaseVerdict.Healthy && deadline != null
        val limit = if (isHeldUp) latest + COMPLETION_TIME / 2 else latest
        if (verdict is ReleaseVerdict.Faulty || now > limit) releases.apply(release, ReleaseStage.RolledBack, now, null)
    }

    private fun nextWrite(progress: Progress, now: MonotonicTime): ReleaseAction? {
        val release = progress.release
        val stage = release.stage ?: return ReleaseAction.WriteState(releases.stateWith(release, ReleaseStage.Canary))
        val next = if (release.isActive) nextStage(progress, stage, now) else stage
        val isWritten = progress.written?.stage == next && progress.writtenEra >= releases.storeEra
        return when {
            next != stage -> {
                if (next == ReleaseStage.Completed) progress.isCommitted = true
                ReleaseAction.WriteState(releases.stateWith(release, next))
            }

            !releases.isReported(release) ->
                if (isWritten) ReleaseAction.WriteStatus(release.service, stage, release.targetVersion) else writeState(release, stage)

            // Peers and later holders learn from the state that the operator's status is up to date.
            isWritten && stage.isFinal && progress.written?.reportedEra != release.reportedEra -> writeState(release, stage)

            else -> null
        }
    }

    private fun writeState(release: Release, stage: ReleaseStage) = ReleaseAction.WriteState(releases.stateWith(release, stage))

    private fun nextStage(progress: Progress, stage: ReleaseStage, now: MonotonicTime): ReleaseStage {
        if (progress.isCommitted) return ReleaseStage.Completed
        val release = progress.release
        val deadline = release.deadline ?: return stage
        val plannedEnd = deadline - COMPLETION_TIME - STEP_MARGIN
        val shiftTime = shiftTime(release, deadline, now)
        val shiftEnd = progress.shiftSince?.let { minOf(it + shiftTime, plannedEnd) } ?: plannedEnd
        return when {
            now >= shiftEnd && judge(progress, COMPLETION_RESPONSES, now) == ReleaseVerdict.Healthy -> ReleaseStage.Completed
            stage == ReleaseStage.Shifting || now < plannedEnd - shiftTime - SHIFT_WRITE_TIME -> stage
            judge(progress, SHIFT_RESPONSES, now) == ReleaseVerdict.Healthy -> ReleaseStage.Shifting
            else -> stage
        }
    }

    /** Returns the time that almost all requests take, in which the old targets become empty, as far as the budget permits. */
    private fun shiftTime(release: Release, deadline: MonotonicTime, now: MonotonicTime): Duration {
        val permitted = (deadline - release.seenAt) * (settings.budgetRatio - settings.canaryRatio)
        return serviceTimes.usualTotal(release.service, now)?.let { minOf(it, permitted) } ?: permitted
    }

    /**
     * Handles the result of [action] at [now]; without [success], the write may have happened or may happen later. Every action must get
     * its result, also one that was not performed because the lease was lost.
     */
    public fun onWritten(action: ReleaseAction, success: Boolean, now: MonotonicTime) {
        val progress = progresses[action.service]?.takeIf { it.pending === action } ?: return
        val release = progress.release
        progress.pending = null
        progress.retryAt = if (success) null else now + RETRY_DELAY
        if (!success) return
        when (action) {
            is ReleaseAction.WriteState -> {
                // The status "running" stays valid in the next stage.
                val reportedEra = release.reportedEra.takeUnless { action.state.stage.isFinal }
                progress.written = action.state
                progress.writtenEra = releases.storeEra
                releases.apply(release, action.state.stage, now, reportedEra)
            }

            is ReleaseAction.WriteStatus -> if (release.stage == action.stage || release.isActive) release.reportedEra = releases.storeEra
        }
    }

    private companion object {
        /**
         * How long before the deadline the end is decided, for two attempts at a write. The state and the status are written one after the
         * other; the store answers in 4 ms and, when it is slow, in 240 ms.
         */
        val COMPLETION_TIME: Duration = 1.seconds

        /** The time within which the next step follows and peers hear of a stage. */
        val STEP_MARGIN: Duration = 150.milliseconds

        /** The time in which a slow store takes the state that begins the shift, and a step. */
        val SHIFT_WRITE_TIME: Duration = 400.milliseconds

        /** The delay before a write is repeated; a slow answer of the store is not followed by a burst of writes. */
        val RETRY_DELAY: Duration = 100.milliseconds

        /** How long an instance that knows only the state waits for the order, which a restored store may have lost. */
        val ORDER_READ_LIMIT: Duration = 10.seconds

        /** The periods that show a version that turns bad late; the rollback has to take effect within a few seconds. */
        val RECENT_PERIODS = listOf(1.seconds, 3.seconds)

        /** The responses without which a shift does not begin. A version that fails a third of them does not pass with 98 %. */
        const val SHIFT_RESPONSES = 10

        /** The responses without which a release is not completed. A version that fails 15 % of them does not pass with 96 %. */
        const val COMPLETION_RESPONSES = 20
    }
}
