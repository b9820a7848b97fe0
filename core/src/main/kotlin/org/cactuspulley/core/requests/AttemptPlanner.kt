package org.cactuspulley.core.requests

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.HandOverSource
import org.cactuspulley.core.effect.StartAttempt
import org.cactuspulley.core.effect.TargetAddress
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.routing.NoTargetReason
import org.cactuspulley.core.routing.SelectionRequest
import org.cactuspulley.core.routing.TargetDecision
import org.cactuspulley.core.routing.TargetSelection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The next step for a request that is at the front of its queue. */
internal sealed interface AttemptPlan {
    /** The attempt is started by [effect], after the [selectionEffects] of target selection. */
    data class Start(val effect: StartAttempt, val selectionEffects: List<CoreEffect>) : AttemptPlan

    /** All suitable targets are busy or unhealthy; the choice is repeated at [retryAt]. */
    data class Wait(val retryAt: MonotonicTime) : AttemptPlan

    /** No target can serve the request, so it is refused with [kind]. */
    data class Fail(val kind: RefusalKind) : AttemptPlan
}

/**
 * Chooses targets for requests and plans their attempts.
 *
 * @param noTargetTimeout the maximum time that a request waits while every target of its pool is unhealthy.
 */
internal class AttemptPlanner(private val selection: TargetSelection, private val noTargetTimeout: Duration) {
    var configuration: Configuration = Configuration()

    /** Plans the next attempt of [active]. A returned [AttemptPlan.Start] already counts as an attempt, so its effects must be executed. */
    fun plan(active: ActiveRequest, now: MonotonicTime): AttemptPlan =
        when (val decision = chooseWithFallback(active, now)) {
            is TargetDecision.Busy -> AttemptPlan.Wait(decision.retryAt)
            is TargetDecision.None -> planWithoutTarget(active, decision.reason, now)
            is TargetDecision.Chosen -> planStart(active, decision, now)
        }

    /** Chooses a target that has not failed this request. If none is left, clears the exclusions and chooses once more. */
    private fun chooseWithFallback(active: ActiveRequest, now: MonotonicTime): TargetDecision {
        val decision = chooseWithMatchingWeights(active, now)
        val allFailed = decision is TargetDecision.None && decision.reason == NoTargetReason.ALL_EXCLUDED
        if (!allFailed || active.excludedTargets.isEmpty()) return decision
        active.excludedTargets.clear()
        return chooseWithMatchingWeights(active, now)
    }

    /** Chooses a target. A stream is resumed only by a target with the weights that it began with. */
    private fun chooseWithMatchingWeights(active: ActiveRequest, now: MonotonicTime): TargetDecision {
        var request = active.toSelectionRequest()
        while (true) {
            val decision = selection.choose(request, now)
            if (decision !is TargetDecision.Chosen || active.deliveredTokens == 0) return decision
            if (decision.weights == active.deliveredWeights) return decision
            request = request.copy(excluded = request.excluded + decision.target)
        }
    }

    private fun planWithoutTarget(active: ActiveRequest, reason: NoTargetReason, now: MonotonicTime): AttemptPlan {
        val since = active.noTargetSince ?: now.also { active.noTargetSince = it }
        val mayRecover = reason == NoTargetReason.ALL_UNHEALTHY && now < since + noTargetTimeout
        return when {
            mayRecover -> AttemptPlan.Wait(now + NO_TARGET_RETRY_DELAY)
            active.deliveredTokens > 0 -> AttemptPlan.Fail(RefusalKind.STREAM_BROKEN)
            else -> AttemptPlan.Fail(RefusalKind.NO_TARGET)
        }
    }

    private fun planStart(active: ActiveRequest, choice: TargetDecision.Chosen, now: MonotonicTime): AttemptPlan {
        val address = addressOf(choice.target) ?: return AttemptPlan.Fail(RefusalKind.NO_TARGET)
        active.attempts += 1
        val attempt = AttemptId("${active.description.id.text}.${active.attempts}")
        active.noTargetSince = null
        active.latestTarget = choice.target
        active.latestWeights = choice.weights
        val request = active.toSelectionRequest()
        return AttemptPlan.Start(
            startAttemptEffect(active, attempt, address, choice, request),
            selection.attemptStarted(attempt, request, choice, now),
        )
    }

    private fun startAttemptEffect(
        active: ActiveRequest,
        attempt: AttemptId,
        address: TargetAddress,
        choice: TargetDecision.Chosen,
        request: SelectionRequest,
    ) = StartAttempt(
        request = active.description.id,
        attempt = attempt,
        target = address,
        weights = choice.weights,
        cacheScope = choice.cacheScope,
        mayWait = request.mayWait,
        resumeFrom = active.deliveredTokens,
        repeatable = active.grant.repeatable,
        idempotencyKey = active.targetIdempotencyKey(attempt),
        keepAnswer = active.claimed,
        handOver = choice.cacheTransfer?.let { handOver -> addressOf(handOver.source)?.let { HandOverSource(it, handOver) } },
        startBefore = minOf(active.description.deadline, active.trialStartDeadline ?: active.description.deadline),
        deadline = active.description.deadline,
    )

    private fun addressOf(target: TargetId): TargetAddress? =
        configuration.targets[target]?.value?.let { TargetAddress(it.id, it.host, it.port) }

    private companion object {
        val NO_TARGET_RETRY_DELAY = 200.milliseconds
    }
}
