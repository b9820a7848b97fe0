package org.cactuspulley.core.routing

import com.github.michaelbull.result.fold
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.TargetCrashDetected
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.rendezvousRank
import org.cactuspulley.core.targets.TargetDirectory
import kotlin.random.Random

/** The rule by which a baseline policy selects one of the available candidates. */
internal sealed interface BaselineRule

/** Selects the candidates in turn. [turn] is the number of attempts that have started. */
internal class RoundRobin(var turn: Long = 0) : BaselineRule

/** Selects the candidate with the fewest estimated requests, and a random one among equals. */
internal class LeastLoaded(val random: Random) : BaselineRule

/** Selects the candidate that ranks first by a hash of the workspace and the first prompt piece; full ones are skipped. */
internal data object PrefixHash : BaselineRule

/** A selection that ignores what targets have cached. It is a baseline for comparison with [PrefixAwareSelection]. */
internal class BaselineSelection(
    private val rule: BaselineRule,
    directory: TargetDirectory,
    private val settings: SelectionSettings,
) : TargetSelection {
    private val eligibility = TargetEligibility(directory)
    private val loads = InFlightLoads(settings)
    private val capacity = TargetCapacity(settings)

    override val nextDeadline: MonotonicTime? get() = null

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> = emptyList()

    override fun choose(request: SelectionRequest, now: MonotonicTime): TargetDecision =
        eligibility.candidates(request).fold({ select(request, it, now) }, { TargetDecision.None(it) })

    private fun select(request: SelectionRequest, candidates: List<Candidate>, now: MonotonicTime): TargetDecision {
        val estimates = candidates.associateWith { loads.estimate(it.known, now) }
        val available = candidates.filter { capacity.accepts(it.known, estimates.getValue(it), request.mayWait) }
        if (available.isEmpty()) return TargetDecision.Busy(now + settings.busyRetryDelay)
        return when (rule) {
            is RoundRobin -> available[(rule.turn % available.size).toInt()]
            is LeastLoaded -> available.shuffled(rule.random).minBy { estimates.getValue(it).requests }
            is PrefixHash -> rendezvousRank(prefixKey(request), available) { it.known.target.id.text }.first()
        }.toDecision(request)
    }

    private fun prefixKey(request: SelectionRequest): String =
        "${request.workspace?.text.orEmpty()} ${request.prompt.firstOrNull()?.contentHash}"

    override fun attemptStarted(
        attempt: AttemptId,
        request: SelectionRequest,
        choice: TargetDecision.Chosen,
        now: MonotonicTime,
    ): List<CoreEffect> {
        if (rule is RoundRobin) rule.turn++
        loads.start(attempt, InFlightAttempt(choice.target, now, 0, now))
        return emptyList()
    }

    override fun attemptFinished(attempt: AttemptId, report: AttemptReport, now: MonotonicTime): List<CoreEffect> {
        val target = loads.finish(attempt, now)?.target ?: return emptyList()
        val crashed = report is AttemptReport.Failed && report.crashed
        return if (crashed) listOf(Publish(TargetCrashDetected(target))) else emptyList()
    }
}

/** Returns the decision to send [request] to this candidate. */
internal fun Candidate.toDecision(
    request: SelectionRequest,
    expectedCachedTokens: Int = 0,
    cacheTransfer: CacheTransfer? = null,
): TargetDecision.Chosen = TargetDecision.Chosen(
    target = known.target.id,
    incarnation = known.incarnation,
    weights = weights,
    cacheScope = cacheScopeFor(request),
    expectedCachedTokens = expectedCachedTokens,
    cacheTransfer = cacheTransfer,
)

/** Returns the cache scope of [request] at this candidate; empty for a plain service. */
internal fun Candidate.cacheScopeFor(request: SelectionRequest): String {
    val model = request.model ?: return ""
    return weights?.let { cacheScope(request.workspace, model, it, request.adapter) }.orEmpty()
}
