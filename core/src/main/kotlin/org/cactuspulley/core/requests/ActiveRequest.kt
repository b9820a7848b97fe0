package org.cactuspulley.core.requests

import org.cactuspulley.core.configuration.Grant
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.quarantine.Fingerprint
import org.cactuspulley.core.queueing.QueuedRequest
import org.cactuspulley.core.routing.SelectionRequest

/** Where a request stands. A request that has ended is no longer kept. */
internal sealed interface RequestPhase {
    /** Tokens were asked for at other instances. */
    data object AwaitingAdmission : RequestPhase

    /** The journal's decision is outstanding. */
    data object AwaitingClaim : RequestPhase

    /** The permission to try a suspect request is outstanding. */
    data object AwaitingTrial : RequestPhase

    /** The request waits for a target. */
    data object Queued : RequestPhase

    /** The request is between two of the other phases, within one event. */
    data object Transitioning : RequestPhase

    /** [attempt] was sent. */
    data class Sent(val attempt: AttemptId) : RequestPhase

    /** The answer of [attempt] has begun. */
    data class Answering(val attempt: AttemptId) : RequestPhase

    /** [attempt] is being cancelled because of [reason]. */
    data class Cancelling(val attempt: AttemptId, val reason: CancelReason) : RequestPhase
}

/** The attempt that runs in this phase, if any. */
internal val RequestPhase.runningAttempt: AttemptId?
    get() = when (this) {
        is RequestPhase.Sent -> attempt
        is RequestPhase.Answering -> attempt
        is RequestPhase.Cancelling -> attempt
        else -> null
    }

/** Why an attempt is cancelled. */
internal enum class CancelReason { CALLER_GONE, DEADLINE_PASSED, NO_FIRST_BYTE }

/** What is known of a request between its arrival and its end. */
internal class ActiveRequest(val description: RequestDescription, val grant: Grant) {
    var phase: RequestPhase = RequestPhase.Transitioning

    /** Whether tokens are charged, or asked for. */
    var charged: Boolean = false

    /** Whether the journal holds a claim, pending or granted. */
    var claimed: Boolean = false

    /** Whether this instance holds the permission to try a suspect request. */
    var holdsTrialPermission: Boolean = false

    /** Until when a permitted trial may be sent. */
    var trialStartDeadline: MonotonicTime? = null

    /** Whether a permitted trial may be sent now. */
    fun mayStartTrialAt(now: MonotonicTime): Boolean = holdsTrialPermission && trialStartDeadline.let { it != null && now < it }

    /** The permission is used up or given back. */
    fun clearTrialPermission() {
        holdsTrialPermission = false
        trialStartDeadline = null
    }

    /** Since when no target was healthy, or null. */
    var noTargetSince: MonotonicTime? = null

    /** Whether a byte of the request may have reached a target and may have run. */
    var mayHaveRun: Boolean = false

    /** Whether an earlier send under the same idempotency key may have run; the journal's decision settles it. */
    var earlierSendMayHaveRun: Boolean = description.idempotencyKey != null

    /** Whether the caller hung up. */
    var abandoned: Boolean = false
    var attempts: Int = 0
    var deliveredTokens: Int = 0

    /** The weights that the delivered tokens came from. */
    var deliveredWeights: WeightsVersion? = null
    var attemptWeights: WeightsVersion? = null
    var currentTarget: TargetId? = null
    val excludedTargets: MutableSet<TargetId> = mutableSetOf()

    val fingerprint: Fingerprint get() = Fingerprint(grant.workspace, description.fingerprint)

    val bucket: BucketId? = grant.profile?.let { profile -> grant.workspace?.let { BucketId(it, profile.name) } }

    val estimatedTokens: Long
        get() = (description.promptTokens.toLong() + description.maximumOutputTokens).coerceAtLeast(1)

    /** The idempotency key under which the journal lets the request run at most once, or null. */
    val requiresClaim: Boolean get() = !grant.repeatable && description.idempotencyKey != null

    fun toSelectionRequest(): SelectionRequest = SelectionRequest(
        request = description.id,
        workspace = grant.workspace,
        pool = grant.pool,
        model = description.model,
        adapter = description.adapter,
        prompt = description.prompt,
        maximumOutputTokens = description.maximumOutputTokens,
        mayWait = grant.profile?.mayWait ?: false,
        deadline = description.deadline,
        excluded = excludedTargets.toSet(),
    )

    fun toQueuedRequest(): QueuedRequest = QueuedRequest(
        id = description.id,
        bucket = bucket ?: OPEN_ROUTE_BUCKET,
        pool = grant.pool,
        weight = grant.profile?.weight ?: 1,
        mayWait = grant.profile?.mayWait ?: false,
        costTokens = estimatedTokens,
        deadline = description.deadline,
    )

    private companion object {
        /** Stands for all requests on routes that are open to all. */
        val OPEN_ROUTE_BUCKET = BucketId(WorkspaceId(""), ProfileName(""))
    }
}
