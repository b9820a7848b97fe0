package org.cactuspulley.core.routing

import com.github.michaelbull.result.fold
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.CacheChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.TargetCrashDetected
import org.cactuspulley.core.message.PlacementNotice
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.TargetState
import org.cactuspulley.core.targets.KnownTarget
import org.cactuspulley.core.targets.TargetDirectory
import org.cactuspulley.core.targets.TargetHealth
import kotlin.random.Random
import kotlin.time.DurationUnit

/**
 * Chooses the target that is expected to give the first token soonest at the least cost to the others:
 * the expected wait there, and the time to compute the pieces of the prompt that it has not cached.
 * Near-equal targets are ranked by rendezvous hashing of the prompt's start, so that instances that
 * know nothing of each other's choices bring equal prompts together and unequal ones apart.
 */
public class PrefixAwareSelection internal constructor(
    private val directory: TargetDirectory,
    private val random: Random,
    private val settings: SelectionSettings,
    private val learned: LearnedCacheKnowledge,
    private val knowledge: CacheKnowledge,
) : TargetSelection {
    private val eligibility = TargetEligibility(directory)
    private val loads = InFlightLoads(settings)
    private val capacity = TargetCapacity(settings)
    private var peers = emptySet<InstanceId>()
    private val placements = HashMap<AttemptId, Placement>()
    private val demand = PrefixDemand(settings.demandEntries, settings.demandMemory.toDouble(DurationUnit.SECONDS))
    private val holderPlan = HolderPlan(demand, settings.holderHeadroom)

    override val nextDeadline: MonotonicTime? get() = null

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        when (event) {
            is CacheChanged -> directory.find(event.target)?.let { learned.apply(event, it, now) }
            is MembershipChanged -> peers = event.membership.instances.keys - event.membership.self
            is PeerMessageReceived -> (event.message as? PlacementNotice)?.let { noticed(it, now) }
            else -> Unit
        }
        return emptyList()
    }

    private fun noticed(notice: PlacementNotice, now: MonotonicTime) {
        val known = directory.find(notice.target)?.takeIf { it.incarnation?.number == notice.incarnation } ?: return
        val computedAt = now + capacity.prefillTime(known, loads.estimate(known, now).prefillTokens + notice.tokens)
        learned.expect(known, notice.pieces.toLongArray(), now, computedAt)
        loads.notice(notice.target, notice.tokens, now)
    }

    private fun notices(known: KnownTarget, prompt: HashedPrompt, toCompute: Int, handOver: HandOver?): List<CoreEffect> {
        val incarnation = known.incarnation ?: return emptyList()
        if (!settings.shareNotices || (toCompute < PIECE_TOKENS && handOver == null)) return emptyList()
        val notice = PlacementNotice(known.target.id, incarnation.number, toCompute, prompt.hashes.toList())
        return peers.map { SendToPeer(it, notice) }
    }

    override fun choose(request: SelectionRequest, now: MonotonicTime): TargetDecision =
        eligibility.candidates(request).fold({ pick(request, it, now) }, { TargetDecision.None(it) })

    private fun pick(request: SelectionRequest, candidates: List<Candidate>, now: MonotonicTime): TargetDecision {
        val prompts = candidates.groupBy { it.scope(request) }.mapValues { (scope, serving) -> plan(scope, request, serving, now) }
        val scored = candidates.mapNotNull { candidate ->
            val load = loads.estimate(candidate.known, now)
            if (!capacity.hasRoom(candidate.known, load, request.mayWait)) return@mapNotNull null
            score(candidate, load, prompts.getValue(candidate.scope(request)), now)
        }
        if (scored.isEmpty()) return TargetDecision.Busy(now + settings.busyRetry)
        val best = scored.minBy { it.cost }
        return best.candidate.chosen(request, best.cachedTokens, best.handOver)
    }

    private fun plan(scope: String, request: SelectionRequest, serving: List<Candidate>, now: MonotonicTime): PlannedPrompt {
        val prompt = HashedPrompt(scope, request.prompt)
        val holders = holderPlan.holders(prompt.hashes, serving.map { it.known.target.id }, now).toSet()
        return PlannedPrompt(prompt, holders, handOverSource(prompt, serving, request, now))
    }

    private fun handOverSource(prompt: HashedPrompt, serving: List<Candidate>, request: SelectionRequest, now: MonotonicTime): Source? {
        val stores = directory.inPool(request.pool).filter { it.target.kind == TargetKind.CACHE_STORE && it.isSound() }
        return (serving.map { it.known }.filter { it.isSound() } + stores)
            .map { Source(it.target.id, knowledge.exportablePieces(it, prompt, now)) }
            .maxByOrNull { it.pieces }
            ?.takeIf { it.pieces > 0 && settings.handOver }
    }

    private fun score(candidate: Candidate, load: LoadEstimate, planned: PlannedPrompt, now: MonotonicTime): Score {
        val known = candidate.known
        val prompt = planned.prompt
        val rate = capacity.prefillRate(known).toDouble()
        val here = knowledge.cachedTokens(known, prompt, now)
        val handOver = planned.source?.let { handOver(it, known, here, prompt, rate) }
        val cached = maxOf(here, handOver?.tokens ?: 0)
        val import = handOver?.let { importTime(it.tokens - here) } ?: 0.0
        val prefill = (prompt.totalTokens - cached) / rate
        val ahead = load.prefillTokens / rate + slotWait(known, load)
        val stray = if (known.target.id in planned.holders) 0.0 else (prompt.totalTokens - here) / rate
        val cost = ahead + (import + prefill) * settings.recomputeCost + stray * settings.strayCost
        return Score(candidate, cached, cost + random.nextDouble() * settings.randomCost, handOver)
    }

    private fun handOver(source: Source, known: KnownTarget, here: Int, prompt: HashedPrompt, rate: Double): HandOver? {
        val tokens = prompt.tokensOf(source.pieces)
        val missing = tokens - here
        if (source.target == known.target.id || missing < PIECE_TOKENS) return null
        if (importTime(missing) > settings.handOverGain * missing / rate) return null
        return HandOver(source.target, prompt.hashes[source.pieces - 1], tokens)
    }

    private fun importTime(tokens: Int): Double =
        settings.importLatency.toDouble(DurationUnit.SECONDS) + tokens.toDouble() / settings.importTokensPerSecond

    private fun slotWait(known: KnownTarget, load: LoadEstimate): Double {
        val slots = capacity.slots(known)
        if (slots == 0) return load.requests * settings.requestCost
        return load.requests.toDouble() / slots * settings.fullSlotsCost
    }

    override fun started(
        attempt: AttemptId,
        request: SelectionRequest,
        choice: TargetDecision.Chosen,
        now: MonotonicTime,
    ): List<CoreEffect> {
        val known = directory.find(choice.target) ?: return emptyList()
        val prompt = HashedPrompt(choice.cacheScope, request.prompt)
        val toCompute = (prompt.totalTokens - choice.expectedCachedTokens).coerceAtLeast(0)
        val ahead = loads.estimate(known, now).prefillTokens
        val prefillUntil = now + capacity.prefillTime(known, ahead + toCompute)
        loads.start(attempt, InFlightAttempt(choice.target, now, toCompute, prefillUntil))
        placements[attempt] = Placement(choice, prompt, learned.ages(known, prompt.hashes, now))
        learned.expect(known, prompt.hashes, now, prefillUntil)
        demand.add(prompt.hashes, 1.0, now)
        return notices(known, prompt, toCompute, choice.handOver)
    }

    override fun finished(attempt: AttemptId, report: AttemptReport, now: MonotonicTime): List<CoreEffect> {
        val target = loads.finish(attempt, now)?.target ?: return emptyList()
        val placement = placements.remove(attempt)
        val known = directory.find(target)
        if (placement != null && known != null && known.incarnation == placement.choice.incarnation) {
            learn(placement, known, report, now)
        }
        val crashed = report is AttemptReport.Failed && report.crashed
        return if (crashed) listOf(Publish(TargetCrashDetected(target))) else emptyList()
    }

    private fun learn(placement: Placement, known: KnownTarget, report: AttemptReport, now: MonotonicTime) {
        if (report !is AttemptReport.Completed) return
        report.cachedTokens?.let { learned.learn(known, placement.ages, placement.prompt.piecesWithin(it)) }
        learned.hold(known, placement.prompt.hashes, now)
    }
}

/** Creates a selection over the targets of [directory]. */
public fun PrefixAwareSelection(
    directory: TargetDirectory,
    random: Random,
    settings: SelectionSettings = SelectionSettings(),
): PrefixAwareSelection {
    val learned = LearnedCacheKnowledge(settings)
    return PrefixAwareSelection(directory, random, settings, learned, learned)
}

/** One candidate's cost in seconds; the least is chosen. */
private class Score(val candidate: Candidate, val cachedTokens: Int, val cost: Double, val handOver: HandOver?)

/** A prompt, the targets that should hold it and the one that can hand over most of it. */
private class PlannedPrompt(val prompt: HashedPrompt, val holders: Set<TargetId>, val source: Source?)

/** A target that can hand over [pieces] leading pieces. */
private class Source(val target: TargetId, val pieces: Int)

private fun KnownTarget.isSound(): Boolean =
    health == TargetHealth.HEALTHY && state == TargetState.SERVING && !target.leaving

/** What was believed when an attempt started. */
private class Placement(val choice: TargetDecision.Chosen, val prompt: HashedPrompt, val ages: IntArray)
