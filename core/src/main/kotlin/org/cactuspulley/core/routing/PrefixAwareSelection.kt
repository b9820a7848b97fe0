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
 * Selects the target with the lowest expected cost in seconds. The cost of a target is the expected wait there, plus the
 * weighted time to compute the prompt pieces that it has not cached, plus a penalty if it is not a preferred target of
 * the prompt.
 *
 * [PrefixPlacement] ranks the preferred targets by rendezvous hashing of the prompt's prefixes. Instances that do not know
 * of each other's decisions therefore send equal prompts to the same targets and different prompts to different ones.
 */
public class PrefixAwareSelection internal constructor(
    private val directory: TargetDirectory,
    private val random: Random,
    private val settings: SelectionSettings,
    private val learnedCaches: LearnedCacheEstimator,
    private val cacheEstimator: CacheEstimator,
) : TargetSelection {
    private val eligibility = TargetEligibility(directory)
    private val loads = InFlightLoads(settings)
    private val capacity = TargetCapacity(settings)
    private var peers = emptySet<InstanceId>()
    private val placedAttempts = HashMap<AttemptId, PlacedAttempt>()
    private val demand = PrefixDemand(settings.demandEntries, settings.demandTimeConstant.toDouble(DurationUnit.SECONDS))
    private val prefixPlacement = PrefixPlacement(demand, settings.placementHeadroom)

    override val nextDeadline: MonotonicTime? get() = null

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        when (event) {
            is CacheChanged -> directory.find(event.target)?.let { learnedCaches.applyCacheChange(event, it, now) }
            is MembershipChanged -> peers = event.membership.instances.keys - event.membership.self
            is PeerMessageReceived -> (event.message as? PlacementNotice)?.let { applyNotice(it, now) }
            else -> Unit
        }
        return emptyList()
    }

    private fun applyNotice(notice: PlacementNotice, now: MonotonicTime) {
        val known = directory.find(notice.target)?.takeIf { it.incarnation?.number == notice.incarnation } ?: return
        val computedAt = now + capacity.prefillTime(known, loads.estimate(known, now).prefillTokens + notice.tokens)
        learnedCaches.recordPending(known, notice.pieces.toLongArray(), now, computedAt)
        loads.recordRemotePlacement(notice.target, notice.tokens, now)
    }

    private fun placementNotices(
        known: KnownTarget,
        prompt: HashedPrompt,
        uncachedTokens: Int,
        cacheTransfer: CacheTransfer?,
    ): List<CoreEffect> {
        val incarnation = known.incarnation ?: return emptyList()
        if (!settings.sendPlacementNotices || (uncachedTokens < PIECE_TOKENS && cacheTransfer == null)) return emptyList()
        val notice = PlacementNotice(known.target.id, incarnation.number, uncachedTokens, prompt.hashes.toList())
        return peers.map { SendToPeer(it, notice) }
    }

    override fun choose(request: SelectionRequest, now: MonotonicTime): TargetDecision =
        eligibility.candidates(request).fold({ select(request, it, now) }, { TargetDecision.None(it) })

    private fun select(request: SelectionRequest, candidates: List<Candidate>, now: MonotonicTime): TargetDecision {
        val prompts = candidates.groupBy {
            it.cacheScopeFor(request)
        }.mapValues { (scope, serving) -> planPrompt(scope, request, serving, now) }
        val scored = candidates.mapNotNull { candidate ->
            val load = loads.estimate(candidate.known, now)
            if (!capacity.accepts(candidate.known, load, request.mayWait)) return@mapNotNull null
            score(candidate, load, prompts.getValue(candidate.cacheScopeFor(request)), now)
        }
        if (scored.isEmpty()) return TargetDecision.Busy(now + settings.busyRetryDelay)
        val best = scored.minBy { it.cost }
        return best.candidate.toDecision(request, best.cachedTokens, best.cacheTransfer)
    }

    private fun planPrompt(scope: String, request: SelectionRequest, serving: List<Candidate>, now: MonotonicTime): PlannedPrompt {
        val prompt = HashedPrompt(scope, request.prompt)
        val preferredTargets = prefixPlacement.preferredTargets(prompt.hashes, serving.map { it.known.target.id }, now).toSet()
        return PlannedPrompt(prompt, preferredTargets, transferSource(prompt, serving, request, now))
    }

    private fun transferSource(
        prompt: HashedPrompt,
        serving: List<Candidate>,
        request: SelectionRequest,
        now: MonotonicTime,
    ): TransferSource? {
        val stores = directory.inPool(request.pool).filter { it.target.kind == TargetKind.CACHE_STORE && it.isHealthyAndServing() }
        return (serving.map { it.known }.filter { it.isHealthyAndServing() } + stores)
            .map { TransferSource(it.target.id, cacheEstimator.transferablePieces(it, prompt, now)) }
            .maxByOrNull { it.pieces }
            ?.takeIf { it.pieces > 0 && settings.transferCache }
    }

    private fun score(candidate: Candidate, load: LoadEstimate, planned: PlannedPrompt, now: MonotonicTime): ScoredCandidate {
        val known = candidate.known
        val prompt = planned.prompt
        val rate = capacity.prefillRate(known).toDouble()
        val cachedHere = cacheEstimator.cachedTokens(known, prompt, now)
        val cacheTransfer = planned.source?.let { planTransfer(it, known, cachedHere, prompt, rate) }
        val cached = maxOf(cachedHere, cacheTransfer?.tokens ?: 0)
        val transferTime = cacheTransfer?.let { transferSeconds(it.tokens - cachedHere) } ?: 0.0
        val prefill = (prompt.totalTokens - cached) / rate
        val ahead = load.prefillTokens / rate + slotCost(known, load)
        val nonPreferredPrefill = if (known.target.id in planned.preferredTargets) 0.0 else (prompt.totalTokens - cachedHere) / rate
        val cost = ahead + (transferTime + prefill) * settings.prefillCostFactor + nonPreferredPrefill * settings.nonPreferredCostFactor
        return ScoredCandidate(candidate, cached, cost + random.nextDouble() * settings.costJitter, cacheTransfer)
    }

    private fun planTransfer(
        source: TransferSource,
        known: KnownTarget,
        cachedHere: Int,
        prompt: HashedPrompt,
        rate: Double,
    ): CacheTransfer? {
        val tokens = prompt.leadingTokens(source.pieces)
        val missing = tokens - cachedHere
        if (source.target == known.target.id || missing < PIECE_TOKENS) return null
        if (transferSeconds(missing) > settings.maxTransferTimeRatio * missing / rate) return null
        return CacheTransfer(source.target, prompt.hashes[source.pieces - 1], tokens)
    }

    private fun transferSeconds(tokens: Int): Double =
        settings.transferLatency.toDouble(DurationUnit.SECONDS) + tokens.toDouble() / settings.transferTokensPerSecond

    private fun slotCost(known: KnownTarget, load: LoadEstimate): Double {
        val slots = capacity.decodeSlots(known)
        if (slots == 0) return load.requests * settings.runningRequestCost
        return load.requests.toDouble() / slots * settings.slotOccupancyCost
    }

    override fun attemptStarted(
        attempt: AttemptId,
        request: SelectionRequest,
        choice: TargetDecision.Chosen,
        now: MonotonicTime,
    ): List<CoreEffect> {
        val known = directory.find(choice.target) ?: return emptyList()
        val prompt = HashedPrompt(choice.cacheScope, request.prompt)
        val uncachedTokens = (prompt.totalTokens - choice.expectedCachedTokens).coerceAtLeast(0)
        val ahead = loads.estimate(known, now).prefillTokens
        val prefillUntil = now + capacity.prefillTime(known, ahead + uncachedTokens)
        loads.start(attempt, InFlightAttempt(choice.target, now, uncachedTokens, prefillUntil))
        placedAttempts[attempt] = PlacedAttempt(choice, prompt, learnedCaches.pieceAges(known, prompt.hashes, now))
        learnedCaches.recordPending(known, prompt.hashes, now, prefillUntil)
        demand.add(prompt.hashes, 1.0, now)
        return placementNotices(known, prompt, uncachedTokens, choice.cacheTransfer)
    }

    override fun attemptFinished(attempt: AttemptId, report: AttemptReport, now: MonotonicTime): List<CoreEffect> {
        val target = loads.finish(attempt, now)?.target ?: return emptyList()
        val placed = placedAttempts.remove(attempt)
        val known = directory.find(target)
        if (placed != null && known != null && known.incarnation == placed.choice.incarnation) {
            learnFrom(placed, known, report, now)
        }
        val crashed = report is AttemptReport.Failed && report.crashed
        return if (crashed) listOf(Publish(TargetCrashDetected(target))) else emptyList()
    }

    private fun learnFrom(placed: PlacedAttempt, known: KnownTarget, report: AttemptReport, now: MonotonicTime) {
        if (report !is AttemptReport.Completed) return
        report.cachedTokens?.let { learnedCaches.learnRetention(known, placed.ages, placed.prompt.leadingPieces(it)) }
        learnedCaches.recordCached(known, placed.prompt.hashes, now)
    }
}

/** Creates a prefix-aware selection over the targets of [directory]. */
public fun PrefixAwareSelection(
    directory: TargetDirectory,
    random: Random,
    settings: SelectionSettings = SelectionSettings(),
): PrefixAwareSelection {
    val learnedCaches = LearnedCacheEstimator(settings)
    return PrefixAwareSelection(directory, random, settings, learnedCaches, learnedCaches)
}

/**
 * A candidate with its cost.
 *
 * @property cachedTokens the number of prompt tokens that are expected to be cached when the attempt starts.
 * @property cost the expected cost in seconds; the candidate with the lowest cost is selected.
 * @property cacheTransfer the transfer of cached pieces before the attempt, if it is worthwhile.
 */
private class ScoredCandidate(val candidate: Candidate, val cachedTokens: Int, val cost: Double, val cacheTransfer: CacheTransfer?)

/**
 * A prompt with what its selection needs.
 *
 * @property source the target that can transfer the most pieces of the prompt; null if there is none.
 */
private class PlannedPrompt(val prompt: HashedPrompt, val preferredTargets: Set<TargetId>, val source: TransferSource?)

/** A target that can transfer the first [pieces] pieces of a prompt. */
private class TransferSource(val target: TargetId, val pieces: Int)

private fun KnownTarget.isHealthyAndServing(): Boolean =
    health == TargetHealth.HEALTHY && state == TargetState.SERVING && !target.leaving

/**
 * A running attempt and what was expected when it started.
 *
 * @property ages the ages in milliseconds of the leading pieces that the target was expected to have cached.
 */
private class PlacedAttempt(val choice: TargetDecision.Chosen, val prompt: HashedPrompt, val ages: IntArray)
