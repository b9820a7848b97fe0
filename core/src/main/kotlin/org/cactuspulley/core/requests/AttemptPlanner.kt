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

/** What to do with a request that is next in its queue. */
internal sealed interface AttemptPlan {
    /** The attempt is sent. */
    data class Start(val effect: StartAttempt, val selectionEffects: List<CoreEffect>) : AttemptPlan

    /** No target can take the request before [retryAt]. */
    data class Wait(val retryAt: MonotonicTime) : AttemptPlan

    /** No target can serve the request. */
    data class Fail(val kind: RefusalKind) : AttemptPlan
}

/** Chooses targets and makes attempts of requests. */
internal class AttemptPlanner(private val selection: TargetSelection, private val noTargetPatience: Duration) {
    var configuration: Configuration = Configuration()

    /** Plans the next attempt of [active]; a plan to start is binding. */
    fun plan(active: ActiveRequest, now: MonotonicTime): AttemptPlan =
        when (val decision = chooseWithoutExclusion(active, now)) {
            is TargetDecision.Busy -> AttemptPlan.Wait(decision.retryAt)
            is TargetDecision.None -> withoutTarget(active, decision.reason, now)
            is TargetDecision.Chosen -> start(active, decision, now)
        }

    /** Chooses a target that has not failed this request, or any when all have. */
    private fun chooseWithoutExclusion(active: ActiveRequest, now: MonotonicTime): TargetDecision {
        val decision = choose(active, now)
        val allFailed = decision is TargetDecision.None && decision.reason == NoTargetReason.ALL_EXCLUDED
        if (!allFailed || active.excluded.isEmpty()) return decision
        active.excluded.clear()
        return choose(active, now)
    }

    /** Chooses a target; a stream is resumed only by one with the weights that it began with. */
    private fun choose(active: ActiveRequest, now: MonotonicTime): TargetDecision {
        var request = active.selection()
        while (true) {
            val decision = selection.choose(request, now)
            if (decision !is TargetDecision.Chosen || active.deliveredTokens == 0) return decision
            if (decision.weights == active.deliveredWeights) return decision
            request = request.copy(excluded = request.excluded + decision.target)
        }
    }

    private fun withoutTarget(active: ActiveRequest, reason: NoTargetReason, now: MonotonicTime): AttemptPlan {
        val since = active.noTargetSince ?: now.also { active.noTargetSince = it }
        val mayRecover = reason == NoTargetReason.ALL_UNHEALTHY && now < since + noTargetPatience
        return when {
            mayRecover -> AttemptPlan.Wait(now + NO_TARGET_RETRY_DELAY)
            active.deliveredTokens > 0 -> AttemptPlan.Fail(RefusalKind.STREAM_BROKEN)
            else -> AttemptPlan.Fail(RefusalKind.NO_TARGET)
        }
    }

    private fun start(active: ActiveRequest, choice: TargetDecision.Chosen, now: MonotonicTime): AttemptPlan {
        val address = addressOf(choice.target) ?: return AttemptPlan.Fail(RefusalKind.NO_TARGET)
        active.attempts += 1
        val attempt = AttemptId("${active.description.id.text}.${active.attempts}")
        active.noTargetSince = null
        active.currentTarget = choice.target
        active.attemptWeights = choice.weights
        val request = active.selection()
        return AttemptPlan.Start(effect(active, attempt, address, choice, request), selection.attemptStarted(attempt, request, choice, now))
    }

    private fun effect(
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
        idempotencyKey = active.targetKey(attempt),
        keepAnswer = active.claimed,
        handOver = choice.cacheTransfer?.let { handOver -> addressOf(handOver.source)?.let { HandOverSource(it, handOver) } },
        startBefore = minOf(active.description.deadline, active.trialStartsBefore ?: active.description.deadline),
        deadline = active.description.deadline,
    )

    private fun addressOf(target: TargetId): TargetAddress? =
        configuration.targets[target]?.value?.let { TargetAddress(it.id, it.host, it.port) }

    private companion object {
        val NO_TARGET_RETRY_DELAY = 200.milliseconds
    }
}
