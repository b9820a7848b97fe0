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

/** The phase of a request that has not ended. Ended requests are removed. */
internal sealed interface RequestPhase {
    /** The admission decision is pending; tokens were requested from other instances. */
    data object AwaitingAdmission : RequestPhase

    /** The journal has not yet decided on the claim. */
    data object AwaitingClaim : RequestPhase

    /** The permission to run a trial of a suspect request is pending. */
    data object AwaitingTrial : RequestPhase

    /** The request waits in the queue for a target. */
    data object Queued : RequestPhase

    /** The request is between two other phases. This phase never outlasts the handling of one event. */
    data object Transitioning : RequestPhase

    /** [attempt] was started, and no byte of its answer has arrived. */
    data class Sent(val attempt: AttemptId) : RequestPhase

    /** The first byte of the answer of [attempt] has arrived. */
    data class Answering(val attempt: AttemptId) : RequestPhase

    /** [attempt] was cancelled because of [reason] and has not ended yet. */
    data class Cancelling(val attempt: AttemptId, val reason: CancelReason) : RequestPhase
}

/** The attempt that runs in this phase, or null if none does. */
internal val RequestPhase.runningAttempt: AttemptId?
    get() = when (this) {
        is RequestPhase.Sent -> attempt
        is RequestPhase.Answering -> attempt
        is RequestPhase.Cancelling -> attempt
        else -> null
    }

/** The reason for which an attempt is cancelled. */
internal enum class CancelReason { CALLER_GONE, DEADLINE_PASSED, NO_FIRST_BYTE }

/** The state of a request from its arrival to its end. */
internal class ActiveRequest(val description: RequestDescription, val grant: Grant) {
    var phase: RequestPhase = RequestPhase.Transitioning

    /** Whether admission holds a charge or a pending admission for the request. */
    var charged: Boolean = false

    /** Whether the journal holds a pending or granted claim for the request. */
    var claimed: Boolean = false

    /** Whether this instance holds the permission to run a trial of this suspect request. */
    var holdsTrialPermission: Boolean = false

    /** The time before which a permitted trial must be sent, or null without a permission. */
    var trialStartDeadline: MonotonicTime? = null

    /** Whether a permitted trial may be sent at [now]. */
    fun mayStartTrialAt(now: MonotonicTime): Boolean = holdsTrialPermission && trialStartDeadline.let { it != null && now < it }

    /** Clears the permission after it was used or returned. */
    fun clearTrialPermission() {
        holdsTrialPermission = false
        trialStartDeadline = null
    }

    /** The time at which target selection first found no target since the latest attempt was started, or null if it has not. */
    var noTargetSince: MonotonicTime? = null

    /** Whether any attempt of the request may have run at a target. */
    var mayHaveRun: Boolean = false

    /** Whether an earlier send with the same idempotency key may have run. True for every request with a key until the journal decides. */
    var earlierSendMayHaveRun: Boolean = description.idempotencyKey != null

    /** Whether the caller closed its connection before the answer ended. */
    var abandoned: Boolean = false

    /** The number of attempts that were started. */
    var attempts: Int = 0

    /** The number of output tokens that were delivered to the caller. */
    var deliveredTokens: Int = 0

    /** The weights version that generated the delivered tokens, or null while no token was delivered. */
    var deliveredWeights: WeightsVersion? = null

    /** The weights version of the latest attempt, or null before the first one or at a plain service. */
    var latestWeights: WeightsVersion? = null

    /** The target of the latest attempt, or null before the first one. */
    var latestTarget: TargetId? = null

    /** The targets at which an attempt of this request has failed. */
    val excludedTargets: MutableSet<TargetId> = mutableSetOf()

    val fingerprint: Fingerprint get() = Fingerprint(grant.workspace, description.fingerprint)

    /** The bucket that the request is charged to, or null on a route that is open to all. */
    val bucket: BucketId? = grant.profile?.let { profile -> grant.workspace?.let { BucketId(it, profile.name) } }

    /** The number of tokens that are charged at admission: the prompt and the longest permitted answer. */
    val estimatedTokens: Long
        get() = (description.promptTokens.toLong() + description.maximumOutputTokens).coerceAtLeast(1)

    /** Whether the request needs a claim in the journal, which lets it run at most once for its idempotency key. */
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
        /** The queue bucket shared by all requests on routes that are open to all. */
        val OPEN_ROUTE_BUCKET = BucketId(WorkspaceId(""), ProfileName(""))
    }
}
