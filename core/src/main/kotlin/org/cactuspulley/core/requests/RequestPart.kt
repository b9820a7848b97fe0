package org.cactuspulley.core.requests

import com.github.michaelbull.result.fold
import org.cactuspulley.core.configuration.Authorization
import org.cactuspulley.core.configuration.AuthorizationFailure
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Grant
import org.cactuspulley.core.effect.CancelAttempt
import org.cactuspulley.core.effect.CompleteAnswer
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.DrainConnections
import org.cactuspulley.core.effect.HandOverSource
import org.cactuspulley.core.effect.RecordOnTimeline
import org.cactuspulley.core.effect.RefuseRequest
import org.cactuspulley.core.effect.ReleaseRequest
import org.cactuspulley.core.effect.SendRecordedAnswer
import org.cactuspulley.core.effect.StartAttempt
import org.cactuspulley.core.effect.StopCompleted
import org.cactuspulley.core.effect.TargetAddress
import org.cactuspulley.core.event.AdmissionResolved
import org.cactuspulley.core.event.AttemptFinished
import org.cactuspulley.core.event.AttemptFirstByte
import org.cactuspulley.core.event.ClaimResolved
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.RequestAbandoned
import org.cactuspulley.core.event.RequestArrived
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.event.TrialResolved
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.journal.ClaimDecision
import org.cactuspulley.core.journal.JournalKey
import org.cactuspulley.core.journal.JournalOutcome
import org.cactuspulley.core.journal.JournalPart
import org.cactuspulley.core.limits.AdmissionControl
import org.cactuspulley.core.limits.AdmissionDecision
import org.cactuspulley.core.limits.RefusalReason
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.earliest
import org.cactuspulley.core.quarantine.QuarantinePart
import org.cactuspulley.core.quarantine.QuarantineVerdict
import org.cactuspulley.core.queueing.OfferResult
import org.cactuspulley.core.queueing.QueuedRequest
import org.cactuspulley.core.queueing.RequestQueue
import org.cactuspulley.core.routing.AttemptReport
import org.cactuspulley.core.routing.SelectionRequest
import org.cactuspulley.core.routing.TargetDecision
import org.cactuspulley.core.routing.TargetSelection
import org.cactuspulley.core.timeline.RequestTimelineEvent

/**
 * Runs each request from its arrival to its end: authorization, admission, the claim in the journal,
 * the queue, and attempts at targets until an answer is complete. Each request ends exactly once.
 *
 * A repeatable request is retried at another target when its target fails, within the retry budget and
 * the caller's deadline. A broken stream is resumed after the tokens that the caller already has, by a
 * target with the same weights. A non-repeatable request is sent again only if no earlier attempt can have run.
 */
public class RequestPart(
    private val authorization: Authorization,
    private val admission: AdmissionControl,
    private val queue: RequestQueue,
    private val selection: TargetSelection,
    private val journal: JournalPart,
    private val quarantine: QuarantinePart,
    private val settings: RequestSettings = RequestSettings(),
) : CorePart {
    private val requests = mutableMapOf<RequestId, ActiveRequest>()
    private val deadlines = RequestDeadlines(::isPending)
    private val retryBudget = RetryBudget(settings.retryFraction, settings.retryBurst)
    private val drainRetryTimes = mutableMapOf<PoolName, MonotonicTime>()
    private val gracefulStop = GracefulStop(settings.serviceAfterStop)
    private val planner = AttemptPlanner(selection, settings.noTargetTimeout)
    private var effects = mutableListOf<CoreEffect>()

    /** The number of requests that have not ended. */
    public val activeRequests: Int get() = requests.size

    override val nextDeadline: MonotonicTime?
        get() = listOf(queue.nextDeadline, deadlines.earliest, drainRetryTimes.values.minOrNull(), gracefulStop.nextDeadline)
            .fold(null as MonotonicTime?, ::earliest)

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        effects = mutableListOf()
        when (event) {
            is RequestArrived -> handleArrival(event.description, now)
            is RequestAbandoned -> requests[event.request]?.let { abandon(it, now) }
            is AdmissionResolved -> ifInPhase(event.request, RequestPhase.AwaitingAdmission) { handleAdmission(it, event.decision, now) }
            is ClaimResolved -> ifInPhase(event.request, RequestPhase.AwaitingClaim) { handleClaimDecision(it, event.decision, now) }
            is TrialResolved -> ifInPhase(event.request, RequestPhase.AwaitingTrial) { handleTrialDecision(it, event.startBefore, now) }
            is AttemptFirstByte -> handleFirstByte(event)
            is AttemptFinished -> handleAttemptFinished(event, now)
            is ConfigurationChanged -> applyConfiguration(event.configuration, now)
            is StopRequested -> beginStop(event, now)
            TimerFired -> handleTimer(now)
            else -> Unit
        }
        if (gracefulStop.tryComplete(now, idle = requests.isEmpty() && !journal.hasUnconfirmedEntries)) effects += StopCompleted
        return effects
    }

    private fun ifInPhase(request: RequestId, phase: RequestPhase, action: (ActiveRequest) -> Unit) {
        requests[request]?.takeIf { it.phase == phase }?.let(action)
    }

    private fun handleArrival(description: RequestDescription, now: MonotonicTime) {
        gracefulStop.requestArrived(now)
        authorization.authorize(description, now).fold(
            success = { grant -> accept(description, grant, now) },
            failure = { failure ->
                val isFirstSend = description.idempotencyKey == null
                effects += RefuseRequest(description.id, Refusal(failure.toRefusalKind(), notRun = isFirstSend))
            },
        )
    }

    private fun accept(description: RequestDescription, grant: Grant, now: MonotonicTime) {
        val active = ActiveRequest(description, grant)
        requests[description.id] = active
        deadlines.add(RequestDeadline.Caller(description.id, description.deadline))
        retryBudget.credit()
        val verdict = quarantine.verdict(active.fingerprint, now)
        if (verdict is QuarantineVerdict.Quarantined) return refuse(active, RefusalKind.QUARANTINED, now, verdict.until)
        val bucket = active.bucket ?: return claimIfRequired(active, now)
        when (val decision = admission.admit(description.id, bucket, active.estimatedTokens, now)) {
            is AdmissionDecision.Pending -> {
                active.charged = true
                active.phase = RequestPhase.AwaitingAdmission
                effects += decision.effects
            }

            else -> handleAdmission(active, decision, now)
        }
    }

    private fun handleAdmission(active: ActiveRequest, decision: AdmissionDecision, now: MonotonicTime) {
        when (decision) {
            AdmissionDecision.Admitted -> {
                active.charged = true
                claimIfRequired(active, now)
            }

            is AdmissionDecision.Refused -> {
                active.charged = false
                refuse(active, decision.reason.toRefusalKind(), now, decision.retryAt)
            }

            is AdmissionDecision.Pending -> effects += decision.effects
        }
    }

    private fun claimIfRequired(active: ActiveRequest, now: MonotonicTime) {
        val key = active.description.idempotencyKey
        if (!active.requiresClaim || key == null) return enqueueUnlessQuarantined(active, now)
        active.claimed = true
        active.phase = RequestPhase.AwaitingClaim
        val description = active.description
        effects += journal.claim(
            description.id,
            JournalKey(active.grant.workspace, key),
            description.fingerprint,
            description.deadline,
            now,
        )
    }

    private fun handleClaimDecision(active: ActiveRequest, decision: ClaimDecision, now: MonotonicTime) {
        if (decision == ClaimDecision.RunHere) {
            active.earlierSendMayHaveRun = false
            return enqueueUnlessQuarantined(active, now)
        }
        active.claimed = false
        when (decision) {
            is ClaimDecision.Recorded -> {
                effects += SendRecordedAnswer(active.description.id, decision.answer)
                end(active, now)
            }

            ClaimDecision.NotKept -> refuseResend(active, RefusalKind.OUTCOME_NOT_KEPT, now)

            ClaimDecision.OutcomeUnknown -> refuseResend(active, RefusalKind.OUTCOME_UNKNOWN, now)

            ClaimDecision.KeyReused -> {
                active.earlierSendMayHaveRun = false
                refuse(active, RefusalKind.IDEMPOTENCY_KEY_REUSED, now)
            }

            else -> refuse(active, RefusalKind.LOG_UNAVAILABLE, now, now + LOG_RETRY_DELAY)
        }
    }

    /** Queues the request. Requests trial permission first if a request with the same fingerprint crashed a target. */
    private fun enqueueUnlessQuarantined(active: ActiveRequest, now: MonotonicTime) {
        when (val verdict = quarantine.verdict(active.fingerprint, now)) {
            is QuarantineVerdict.Quarantined -> refuse(active, RefusalKind.QUARANTINED, now, verdict.until)
            QuarantineVerdict.Suspect -> if (active.mayStartTrialAt(now)) enqueue(active, now) else requestTrialPermission(active, now)
            QuarantineVerdict.Clear -> enqueue(active, now)
        }
    }

    private fun requestTrialPermission(active: ActiveRequest, now: MonotonicTime) {
        active.clearTrialPermission()
        active.phase = RequestPhase.AwaitingTrial
        effects += quarantine.requestTrial(active.description.id, active.fingerprint, active.description.deadline, now)
    }

    private fun handleTrialDecision(active: ActiveRequest, startBefore: MonotonicTime?, now: MonotonicTime) {
        if (startBefore == null) return refuse(active, RefusalKind.SUSPECT, now, now + SUSPECT_RETRY_DELAY)
        active.holdsTrialPermission = true
        active.trialStartDeadline = startBefore
        enqueueUnlessQuarantined(active, now)
    }

    private fun enqueue(active: ActiveRequest, now: MonotonicTime) {
        active.phase = RequestPhase.Queued
        when (val result = queue.offer(active.toQueuedRequest(), now)) {
            OfferResult.Queued -> drain(active.grant.pool, now)
            OfferResult.Full -> refuse(active, RefusalKind.QUEUE_FULL, now, now + OVERLOAD_RETRY_DELAY)
            is OfferResult.TooLate -> refuse(active, RefusalKind.DEADLINE_UNREACHABLE, now, result.expectedStart)
        }
    }

    private fun drain(pool: PoolName, now: MonotonicTime) {
        drainRetryTimes.remove(pool)
        queue.drain(pool, now) { queued -> startQueued(queued, now) }
    }

    /** Starts a queued request or ends it. Returns false if it must keep waiting in the queue. */
    private fun startQueued(queued: QueuedRequest, now: MonotonicTime): Boolean {
        val active = requests[queued.id] ?: return true
        if (removeIfNotStartable(active, now)) return true
        when (val plan = planner.plan(active, now)) {
            is AttemptPlan.Wait -> {
                drainRetryTimes.merge(queued.pool, plan.retryAt, ::minOf)
                return false
            }

            is AttemptPlan.Start -> startAttempt(active, plan, now)

            is AttemptPlan.Fail -> {
                active.phase = RequestPhase.Transitioning
                refuse(active, plan.kind, now, now + OVERLOAD_RETRY_DELAY)
            }
        }
        return true
    }

    private fun startAttempt(active: ActiveRequest, plan: AttemptPlan.Start, now: MonotonicTime) {
        val attempt = plan.effect.attempt
        active.phase = RequestPhase.Sent(attempt)
        effects += plan.selectionEffects
        effects += plan.effect
        effects += RecordOnTimeline(
            RequestTimelineEvent.AttemptStarted(plan.effect.request, active.grant.workspace, plan.effect.target.id, attempt),
        )
        if (active.grant.repeatable) {
            deadlines.add(RequestDeadline.FirstByte(plan.effect.request, attempt, now + settings.firstByteTimeout))
        }
    }

    /** Refuses the request or requests trial permission if it may not start now. Returns true if it did either. */
    private fun removeIfNotStartable(active: ActiveRequest, now: MonotonicTime): Boolean {
        val description = active.description
        val keyIsValid = active.deliveredTokens > 0 || authorization.mayStart(description.key, now)
        val verdict = quarantine.verdict(active.fingerprint, now)
        val passesQuarantine = verdict == QuarantineVerdict.Clear || (verdict == QuarantineVerdict.Suspect && active.mayStartTrialAt(now))
        if (keyIsValid && passesQuarantine && now < description.deadline) return false
        active.phase = RequestPhase.Transitioning
        when {
            !keyIsValid -> refuse(active, RefusalKind.KEY_WITHDRAWN, now)
            now >= description.deadline -> refuse(active, RefusalKind.DEADLINE_PASSED, now)
            verdict is QuarantineVerdict.Quarantined -> refuse(active, RefusalKind.QUARANTINED, now, verdict.until)
            else -> requestTrialPermission(active, now)
        }
        return true
    }

    private fun handleFirstByte(event: AttemptFirstByte) {
        val active = requests[event.request] ?: return
        if (active.phase == RequestPhase.Sent(event.attempt)) active.phase = RequestPhase.Answering(event.attempt)
    }

    private fun handleAttemptFinished(event: AttemptFinished, now: MonotonicTime) {
        val active = requests[event.request]
        if (active == null || active.phase.runningAttempt != event.attempt) return
        val cancelReason = (active.phase as? RequestPhase.Cancelling)?.reason
        active.phase = RequestPhase.Transitioning
        active.mayHaveRun = active.mayHaveRun || event.outcome.mayHaveRun
        effects += selection.attemptFinished(event.attempt, event.outcome.toAttemptReport(), now)
        updateDelivery(active, event.outcome)
        recordAttemptEnd(active, event)
        when (val outcome = event.outcome) {
            is AttemptOutcome.Completed -> complete(active, event.attempt, outcome, now)

            AttemptOutcome.NotSent, AttemptOutcome.WrongWeights -> retryElsewhere(active, cancelReason, now)

            is AttemptOutcome.Crashed -> {
                effects += quarantine.reportCrash(event.attempt, event.request, active.fingerprint, now)
                active.clearTrialPermission()
                retryOrFail(active, cancelReason, now)
            }

            is AttemptOutcome.Cancelled, is AttemptOutcome.Invalid, is AttemptOutcome.TargetFailed -> retryOrFail(active, cancelReason, now)
        }
        drain(active.grant.pool, now)
    }

    private fun updateDelivery(active: ActiveRequest, outcome: AttemptOutcome) {
        val delivered = when (outcome) {
            is AttemptOutcome.Crashed -> outcome.deliveredTokens
            is AttemptOutcome.Invalid -> outcome.deliveredTokens
            is AttemptOutcome.Cancelled -> outcome.deliveredTokens
            else -> return
        }
        if (delivered > 0 && active.deliveredTokens == 0) active.deliveredWeights = active.latestWeights
        active.deliveredTokens = maxOf(active.deliveredTokens, delivered)
    }

    private fun recordAttemptEnd(active: ActiveRequest, event: AttemptFinished) {
        val target = active.requireLatestTarget()
        effects += RecordOnTimeline(
            RequestTimelineEvent.AttemptEnded(event.request, active.grant.workspace, target, event.attempt, event.outcome.timelineLabel()),
        )
    }

    private fun complete(active: ActiveRequest, attempt: AttemptId, outcome: AttemptOutcome.Completed, now: MonotonicTime) {
        if (active.claimed) {
            val answer = outcome.answer
            effects += journal.finish(
                active.description.id,
                if (answer == null) JournalOutcome.AnsweredNotKept else JournalOutcome.Answered(answer),
                now,
            )
            active.claimed = false
        }
        if (!active.abandoned) effects += CompleteAnswer(active.description.id, attempt)
        effects += quarantine.endTrial(active.description.id, active.fingerprint, now)
        active.clearTrialPermission()
        if (active.charged) effects += admission.settle(active.description.id, active.usedTokens(outcome), now)
        active.charged = false
        end(active, now)
    }

    /** Retries or ends a request, repeatable or not, after an attempt of which nothing ran. */
    private fun retryElsewhere(active: ActiveRequest, cancelReason: CancelReason?, now: MonotonicTime) {
        active.excludedTargets += active.requireLatestTarget()
        if (!endIfCancelledOrExpired(active, cancelReason, now)) retry(active, RefusalKind.NO_TARGET, now)
    }

    /** Retries or ends a request after a failed attempt that may have run. */
    private fun retryOrFail(active: ActiveRequest, cancelReason: CancelReason?, now: MonotonicTime) {
        active.excludedTargets += active.requireLatestTarget()
        if (endIfCancelledOrExpired(active, cancelReason, now)) return
        val failure = if (active.deliveredTokens > 0) RefusalKind.STREAM_BROKEN else RefusalKind.ATTEMPT_FAILED
        if (active.grant.repeatable) retry(active, failure, now) else refuse(active, failure, now)
    }

    /** Ends the request if its caller is gone or its deadline has passed. Returns whether it ended. */
    private fun endIfCancelledOrExpired(active: ActiveRequest, cancelReason: CancelReason?, now: MonotonicTime): Boolean {
        when {
            cancelReason == CancelReason.CALLER_GONE -> end(active, now)

            cancelReason == CancelReason.DEADLINE_PASSED || now >= active.description.deadline ->
                refuse(active, RefusalKind.DEADLINE_PASSED, now)

            else -> return false
        }
        return true
    }

    private fun retry(active: ActiveRequest, failure: RefusalKind, now: MonotonicTime) {
        when {
            active.abandoned -> end(active, now)
            active.attempts >= settings.maximumAttempts -> refuse(active, failure, now)
            !retryBudget.tryTake() -> refuse(active, RefusalKind.RETRIES_EXHAUSTED, now, now + OVERLOAD_RETRY_DELAY)
            else -> enqueueUnlessQuarantined(active, now)
        }
    }

    private fun abandon(active: ActiveRequest, now: MonotonicTime) {
        active.abandoned = true
        val attempt = active.phase.runningAttempt
        if (attempt == null) return end(active, now)
        if (active.grant.repeatable && active.phase !is RequestPhase.Cancelling) cancel(active, attempt, CancelReason.CALLER_GONE)
    }

    private fun cancel(active: ActiveRequest, attempt: AttemptId, reason: CancelReason) {
        active.phase = RequestPhase.Cancelling(attempt, reason)
        effects += CancelAttempt(active.description.id, attempt)
    }

    private fun refuse(active: ActiveRequest, kind: RefusalKind, now: MonotonicTime, retryAt: MonotonicTime? = null) {
        if (!active.abandoned) {
            val refusal = Refusal(kind, notRun = !active.mayHaveRun && !active.earlierSendMayHaveRun, retryAt)
            effects += RefuseRequest(active.description.id, refusal)
            effects += RecordOnTimeline(
                RequestTimelineEvent.RequestRefused(active.description.id, active.grant.workspace, kind.type, refusal.notRun),
            )
        }
        end(active, now)
    }

    /** Refuses a resend of a request whose earlier send ran or may have run. */
    private fun refuseResend(active: ActiveRequest, kind: RefusalKind, now: MonotonicTime) {
        effects += RefuseRequest(active.description.id, Refusal(kind, notRun = false))
        end(active, now)
    }

    /** Removes the request and releases its queue entry, trial permission, claim and charge. */
    private fun end(active: ActiveRequest, now: MonotonicTime) {
        val request = active.description.id
        if (active.phase == RequestPhase.Queued) queue.remove(request)
        if (active.holdsTrialPermission || active.phase == RequestPhase.AwaitingTrial) {
            effects += quarantine.endTrial(request, active.fingerprint, now)
        }
        if (active.claimed) {
            effects += if (active.mayHaveRun) journal.finish(request, JournalOutcome.Unknown, now) else journal.cancel(request, now)
        }
        if (active.charged) {
            val used = (active.description.promptTokens + active.deliveredTokens).toLong()
            effects += if (active.mayHaveRun) admission.settle(request, used, now) else admission.release(request, now)
        }
        if (active.abandoned) effects += ReleaseRequest(request)
        requests.remove(request)
    }

    private fun applyConfiguration(changed: Configuration, now: MonotonicTime) {
        planner.configuration = changed
        requests.values
            .filter { it.phase.runningAttempt == null && it.deliveredTokens == 0 }
            .filterNot { authorization.mayStart(it.description.key, now) }
            .forEach { refuse(it, RefusalKind.KEY_WITHDRAWN, now) }
        requests.values.map { it.grant.pool }.toSet().forEach { drain(it, now) }
    }

    private fun beginStop(event: StopRequested, now: MonotonicTime) {
        if (gracefulStop.begin(event.stopDeadline, now)) effects += DrainConnections
    }

    private fun handleTimer(now: MonotonicTime) {
        deadlines.takeDue(now).forEach { deadline ->
            val active = requests[deadline.request] ?: return@forEach
            when (deadline) {
                is RequestDeadline.Caller -> handleDeadline(active, now)
                is RequestDeadline.FirstByte -> cancel(active, deadline.attempt, CancelReason.NO_FIRST_BYTE)
            }
        }
        queue.expire(now).mapNotNull { requests[it.id] }.forEach { expired ->
            expired.phase = RequestPhase.Transitioning
            refuse(expired, RefusalKind.DEADLINE_PASSED, now)
        }
        drainRetryTimes.filterValues { it <= now }.keys.toList().forEach { drain(it, now) }
    }

    private fun handleDeadline(active: ActiveRequest, now: MonotonicTime) {
        val attempt = active.phase.runningAttempt
        when {
            attempt == null -> refuse(active, RefusalKind.DEADLINE_PASSED, now)
            active.phase !is RequestPhase.Cancelling -> cancel(active, attempt, CancelReason.DEADLINE_PASSED)
        }
    }

    private fun isPending(deadline: RequestDeadline): Boolean {
        val active = requests[deadline.request] ?: return false
        return deadline !is RequestDeadline.FirstByte || active.phase == RequestPhase.Sent(deadline.attempt)
    }
}
