package org.cactuspulley.core.quarantine

import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.RecordOnTimeline
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.event.TrialResolved
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.journal.BatchAppender
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.message.QuarantineMessage
import org.cactuspulley.core.message.QuarantineMessage.TrialRequest
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.earliest
import org.cactuspulley.core.model.rendezvousRank
import org.cactuspulley.core.record.QuarantineRecord
import org.cactuspulley.core.timeline.QuarantineTimelineEvent
import kotlin.time.Duration.Companion.milliseconds

/**
 * Prevents requests that crash their targets from crashing more than two.
 *
 * After one crash the fingerprint is suspect, and only one request with it, called a trial, may run at a
 * time in the whole fleet. The owner of the fingerprint, chosen by rendezvous hashing over the live
 * instances, grants the trials. After two crashes no request with the fingerprint runs until the crashes
 * no longer count. The owner and the instances that rank highest for the workspace are notified of a crash
 * directly, and all others through the log.
 *
 * @property self the id of this instance.
 * @property incarnation the incarnation of this instance.
 * @property settings the limits of the quarantine.
 */
public class QuarantinePart(
    private val self: InstanceId,
    private val incarnation: InstanceIncarnation,
    private val settings: QuarantineSettings = QuarantineSettings(),
) : CorePart {
    private enum class TrialState { REQUESTED, GRANTED }

    /**
     * A trial of this instance.
     *
     * @property fingerprint the suspect fingerprint.
     * @property state whether the trial is requested or granted.
     * @property nextContactAt the time of the next request or report to the owner.
     * @property requestDeadline the time until which the trial must be granted.
     * @property startBefore the time before which the trial must be sent to a target.
     */
    private data class Trial(
        val fingerprint: Fingerprint,
        val state: TrialState,
        val nextContactAt: MonotonicTime,
        val requestDeadline: MonotonicTime,
        val startBefore: MonotonicTime,
    )

    private val crashTracker = CrashTracker()

    /** Holds the leases that this instance has granted as an owner. */
    private val trialLeases = TrialLeases(self, settings)

    /** Holds the trials of this instance's own requests. */
    private val trials = LinkedHashMap<RequestId, Trial>()
    private val appender = BatchAppender(StreamName.QUARANTINE, APPEND_RETRY_DELAY, ::nextRecordId, ::QuarantineRecord)
    private var membership: Membership? = null

    /** Holds the number in the last record id, which makes the record ids of this incarnation unique. */
    private var lastSequenceNumber = 0L
    private var isFollowing = false

    override val nextDeadline: MonotonicTime?
        get() = earliest(trials.values.minOfOrNull { it.nextContactAt }, appender.nextDeadline)

    /** Tells whether a request with [fingerprint] may run. */
    public fun verdict(fingerprint: Fingerprint, now: MonotonicTime): QuarantineVerdict = crashTracker.verdict(fingerprint, now)

    /** Requests a trial of a suspect [fingerprint] for [request]. The result is published as [TrialResolved]. */
    public fun requestTrial(
        request: RequestId,
        fingerprint: Fingerprint,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ): List<CoreEffect> {
        val requestDeadline = minOf(deadline, now + settings.trialRequestTimeout)
        trials[request] = Trial(fingerprint, TrialState.REQUESTED, now, requestDeadline, now + settings.trialStartTimeout)
        return contactOwner(request, now)
    }

    /** Records and announces that [attempt] of [request] crashed its target, and ends the trial of [request]. */
    public fun reportCrash(attempt: AttemptId, request: RequestId, fingerprint: Fingerprint, now: MonotonicTime): List<CoreEffect> {
        val notice = CrashNotice(fingerprint, attempt, settings.crashLifetime.inWholeMilliseconds)
        val effects = mutableListOf<CoreEffect>()
        recordCrash(notice, now, effects)
        instancesToNotify(fingerprint).forEach { effects += SendToPeer(it, QuarantineMessage.CrashNotices(listOf(notice))) }
        appender.add(notice)
        appender.flush(now)?.let { effects += it }
        return effects + endTrial(request, fingerprint, now)
    }

    /** Ends the trial of [request], or cancels the request for it. */
    public fun endTrial(request: RequestId, fingerprint: Fingerprint, now: MonotonicTime): List<CoreEffect> {
        if (trials.remove(request) == null) return emptyList()
        return releaseTrial(request, fingerprint, now)
    }

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        if (!isFollowing) {
            isFollowing = true
            effects += FollowStream(StreamName.QUARANTINE, LogOffset.FIRST)
        }
        when (event) {
            is PeerMessageReceived -> (event.message as? QuarantineMessage)?.let { handleMessage(event.from, it, now, effects) }
            is RecordsRead -> if (event.stream == StreamName.QUARANTINE) handleRecordsRead(event, now, effects)
            is AppendAcknowledged -> if (event.stream == StreamName.QUARANTINE) appender.confirmAppend(event.recordId)
            is AppendUncertain -> if (event.stream == StreamName.QUARANTINE) appender.retryAppend(event.recordId, now)
            is MembershipChanged -> handleMembershipChange(event.membership, now, effects)
            TimerFired -> handleTimer(now, effects)
            else -> Unit
        }
        appender.flush(now)?.let { effects += it }
        return effects
    }

    /** Adds the crash that [notice] reports, and records the verdict on the timeline if the crash is new. */
    private fun recordCrash(notice: CrashNotice, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (!crashTracker.add(notice, now)) return
        val quarantined = crashTracker.verdict(notice.fingerprint, now) is QuarantineVerdict.Quarantined
        val kind = if (quarantined) "quarantined" else "suspect"
        effects +=
            RecordOnTimeline(QuarantineTimelineEvent.FingerprintJudged(notice.fingerprint.workspace, notice.fingerprint.bodyHash, kind))
    }

    private fun handleRecordsRead(event: RecordsRead, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        val notices = event.records.flatMap { (it.record as? QuarantineRecord)?.notices.orEmpty() }
        notices.forEach { recordCrash(it, now, effects) }
        appender.confirmRead(notices)
    }

    private fun handleMessage(from: InstanceId, message: QuarantineMessage, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        when (message) {
            is QuarantineMessage.CrashNotices -> message.notices.forEach { recordCrash(it, now, effects) }

            is TrialRequest -> handleTrialRequest(from, message, now, effects)

            is QuarantineMessage.TrialAnswer -> handleTrialAnswer(from, message, now, effects)

            is QuarantineMessage.TrialEnded -> {
                message.crashes.forEach { recordCrash(it, now, effects) }
                trialLeases.release(message.fingerprint, message.request)
            }
        }
    }

    private fun handleTrialRequest(from: InstanceId, trialRequest: TrialRequest, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        trialRequest.crashes.forEach { recordCrash(it, now, effects) }
        if (trialRequest.running) return trialLeases.recordRunning(trialRequest.fingerprint, from, trialRequest.request, now)
        val granted = decideTrial(from, trialRequest.request, trialRequest.fingerprint, now) ?: return
        effects += SendToPeer(from, QuarantineMessage.TrialAnswer(trialRequest.request, trialRequest.fingerprint, granted))
    }

    /** Returns this instance's decision as the owner, or null if there is none while another trial runs or may run. */
    private fun decideTrial(from: InstanceId, request: RequestId, fingerprint: Fingerprint, now: MonotonicTime): Boolean? = when {
        crashTracker.verdict(fingerprint, now) is QuarantineVerdict.Quarantined -> false
        trialLeases.tryGrant(fingerprint, from, request, now) -> true
        else -> null
    }

    private fun handleTrialAnswer(
        from: InstanceId,
        answer: QuarantineMessage.TrialAnswer,
        now: MonotonicTime,
        effects: MutableList<CoreEffect>,
    ) {
        val request = answer.request
        val trial = trials[request]
        when {
            trial == null -> if (answer.granted) {
                effects +=
                    SendToPeer(from, QuarantineMessage.TrialEnded(request, answer.fingerprint, emptyList()))
            }

            trial.state == TrialState.GRANTED -> Unit

            answer.granted && now < trial.startBefore -> grantTrial(request, trial, now, effects)

            !answer.granted -> denyTrial(request, effects)
        }
    }

    private fun grantTrial(request: RequestId, trial: Trial, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        trials[request] = trial.copy(state = TrialState.GRANTED, nextContactAt = now + settings.renewInterval)
        effects += Publish(TrialResolved(request, trial.startBefore))
    }

    private fun denyTrial(request: RequestId, effects: MutableList<CoreEffect>) {
        trials.remove(request)
        effects += Publish(TrialResolved(request, null))
    }

    /** Requests the trial of [request] from the owner, or reports the trial to the owner if it is granted. */
    private fun contactOwner(request: RequestId, now: MonotonicTime): List<CoreEffect> {
        val trial = trials[request] ?: return emptyList()
        val running = trial.state == TrialState.GRANTED
        val interval = if (running) settings.renewInterval else settings.requestInterval
        trials[request] = trial.copy(nextContactAt = now + interval)
        val ownerId = membership?.let { ownerOf(trial.fingerprint, it) } ?: return emptyList()
        if (ownerId != self) {
            val notices = crashTracker.notices(trial.fingerprint, now)
            return listOf(SendToPeer(ownerId, TrialRequest(request, trial.fingerprint, notices, running)))
        }
        val effects = mutableListOf<CoreEffect>()
        if (running) {
            trialLeases.recordRunning(trial.fingerprint, self, request, now)
        } else {
            decideTrial(self, request, trial.fingerprint, now)?.let { granted ->
                handleTrialAnswer(self, QuarantineMessage.TrialAnswer(request, trial.fingerprint, granted), now, effects)
            }
        }
        return effects
    }

    /** Ends the lease of [request] at the owner. */
    private fun releaseTrial(request: RequestId, fingerprint: Fingerprint, now: MonotonicTime): List<CoreEffect> {
        trialLeases.release(fingerprint, request)
        val ownerId = membership?.let { ownerOf(fingerprint, it) }
        if (ownerId == null || ownerId == self) return emptyList()
        return listOf(SendToPeer(ownerId, QuarantineMessage.TrialEnded(request, fingerprint, crashTracker.notices(fingerprint, now))))
    }

    /** Returns the owner and the instances that callers of the workspace are most likely to use, without this instance. */
    private fun instancesToNotify(fingerprint: Fingerprint): Set<InstanceId> {
        val known = membership ?: return emptySet()
        val homes = rendezvousRank(fingerprint.workspace?.text.orEmpty(), known.live) { it.id.text }.take(settings.notifiedInstances)
        return (homes.map { it.id } + listOfNotNull(ownerOf(fingerprint, known))).toSet() - self
    }

    private fun handleMembershipChange(newMembership: Membership, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        membership = newMembership
        trialLeases.membershipChanged(newMembership, now)
        trials.filterValues { it.state == TrialState.GRANTED }.keys.toList().forEach { effects += contactOwner(it, now) }
    }

    private fun handleTimer(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        crashTracker.expire(now)
        trialLeases.expire(now)
        for ((request, trial) in trials.filterValues { it.nextContactAt <= now }) {
            if (trial.state == TrialState.REQUESTED && now >= trial.requestDeadline) {
                denyTrial(request, effects)
                effects += releaseTrial(request, trial.fingerprint, now)
            } else {
                effects += contactOwner(request, now)
            }
        }
    }

    private fun nextRecordId() = RecordId("${self.text}-${incarnation.number}-quarantine-${++lastSequenceNumber}")

    private companion object {
        val APPEND_RETRY_DELAY = 500.milliseconds
    }
}
