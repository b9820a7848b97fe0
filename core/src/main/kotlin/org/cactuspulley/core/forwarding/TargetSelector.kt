package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.model.rendezvousRank
import org.cactuspulley.core.rollout.VersionSelector
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The constraints and preferences for selecting a target.
 *
 * @property prompt the prompt of a request to an engine; null for other requests.
 * @property excluded the targets that must not be selected, because they failed this request.
 * @property minimumWeights the oldest version of the model's weights on which the request may begin; null for any.
 * @property preferredWeights the oldest version on which the request should begin while targets with it have
 *    capacity; null for any.
 * @property affinity the affinity value; requests with the same value should go to the same target; null for any
 *    target.
 * @property isLastResort whether an excluded target is better than none, because the request would otherwise be
 *    refused.
 * @property terms what the choice between zones depends on; null if the request stays in its zone whenever a target there accepts it.
 */
public data class SelectionCriteria(
    val grant: ForwardingGrant,
    val prompt: PromptDescription?,
    val excluded: Set<TargetId>,
    val minimumWeights: Long?,
    val preferredWeights: Long?,
    val affinity: Long? = prompt?.affinity,
    val isLastResort: Boolean = false,
    val terms: RequestTerms? = null,
)

/** When a target may accept a request that none accepts now. */
public sealed interface Availability {
    /** No target is known that could, but some may register or load the weights that the request needs. */
    public data object Unknown : Availability

    /** All targets have failed the request, or could not be reached for it. */
    public data object AllTried : Availability

    /** The request is larger than the memory of every target that could run it, so that none ever accepts it. */
    public data object TooLarge : Availability

    /** The rate limits of all targets that could leave this instance no share; other instances may serve the request immediately. */
    public data object Elsewhere : Availability

    /**
     * A target may accept it at [time], when it is no longer excluded, has had the pause that it asked for, or is [limitedTarget] and its
     * rate limit permits one more request. [isFull] says that it has no slot or memory for the request now, so that [time] is an estimate.
     */
    public data class From(val time: MonotonicTime, val limitedTarget: TargetId? = null, val isFull: Boolean = false) : Availability
}

/**
 * Selects the target of a request.
 *
 * Requests that share a prompt prefix go to the target that rendezvous hashing ranks first for it, so that all
 * instances agree without communication, and to the next target while the first one's load exceeds the limit derived
 * from the pool's mean load and the work that the prefix saves. Other requests go to the least loaded target, preferably
 * in the instance's own zone.
 *
 * With [speeds], the load of a target counts by the time that it takes there, so that slow targets get proportionally less.
 *
 * With a [zoneBalance], all of this applies to the targets of one zone, which the balance decides on first, if the pool has enough targets
 * in the own zone.
 */
public class TargetSelector(
    private val directory: TargetDirectory,
    private val zone: ZoneName,
    private val rateLimits: TargetRateLimits,
    private val random: Random = Random.Default,
    private val zoneBalance: ZoneBalance? = null,
    private val capacity: TargetCapacity = TargetCapacity.UNLIMITED,
    private val versions: VersionSelector? = null,
    private val speeds: TargetSpeeds? = null,
) {
    /** Returns the target for [criteria], or null if no target can accept the request now. */
    public fun select(criteria: SelectionCriteria, now: MonotonicTime): Target? {
        val eligible = directory.members(criteria.grant.pool)
            .filter { isEligible(it, criteria, now) && !it.isPaused(now) && rateLimits.admits(it, now) && hasRoom(it, criteria, now) }
        if (eligible.isEmpty()) return null
        val healthy = preferredVersions(eligible.filterNot { it.health.isExcluded(now) }, criteria)
        if (healthy.isEmpty()) return if (criteria.isLastResort) eligible.minBy { it.health.excludedUntil ?: now } else null
        val notLoading = if (criteria.prompt == null) healthy else healthy.filterNot { isLoading(it, now) }.ifEmpty { healthy }
        notLoading.firstOrNull { rateLimits.isUnconfirmed(it, now) && hasPreferredWeights(it, criteria, now) }?.let { return it }
        val prompt = criteria.prompt ?: return withinZone(healthy, criteria, now) { leastLoaded(it, now) }
        return withinZone(notLoading, criteria, now) { byAffinity(it, prompt.model, criteria, now) }
    }

    /**
     * Returns the target that [choose] selects among those of one zone: the own one, or the others if the request leaves it. If the
     * request would be late there, the target of that zone that is expected to start it first replaces one that starts it too late.
     */
    private fun withinZone(
        candidates: List<Target>,
        criteria: SelectionCriteria,
        now: MonotonicTime,
        choose: (List<Target>) -> Target,
    ): Target {
        val balance = zoneBalance?.takeIf { hasEnoughTargets(it, criteria.grant.pool) } ?: return choose(candidates)
        val flow = ZoneFlow(criteria.grant.pool, criteria.grant.route.name)
        val (own, others) = candidates.partition { it.entry.zone == zone }
        if (own.isEmpty()) {
            // A request that has failed at targets of the zone says nothing about the others.
            if (directory.members(criteria.grant.pool).none { it.id in criteria.excluded && it.entry.zone == zone }) {
                balance.recordForcedLeaving(flow, now)
            }
            return choose(others.filter { balance.isReachable(it.entry.zone, now) }.ifEmpty { others })
        }
        val terms = criteria.terms ?: return choose(own)
        val starts = candidates.associateWith { expectedStart(balance, flow, it, terms, criteria.prompt != null, now) }
        val reachable = others.filter { balance.isReachable(it.entry.zone, now) }
        val isLeaving = balance.leaves(flow, terms, own.earliest(starts), reachable.earliest(starts), now)
        val zoneTargets = if (isLeaving) reachable else own
        val chosen = choose(zoneTargets)
        val start = starts.getValue(chosen) ?: return chosen
        return if (now + start <= terms.objectiveAt) chosen else zoneTargets.minBy { starts.getValue(it) ?: start }
    }

    private fun hasEnoughTargets(balance: ZoneBalance, pool: PoolName): Boolean =
        directory.members(pool).count { it.entry.zone == zone && !it.isLeaving } >= balance.minimumTargets

    private fun List<Target>.earliest(starts: Map<Target, Duration?>): Duration? = mapNotNull { starts[it] }.minOrNull()

    private fun expectedStart(
        balance: ZoneBalance,
        flow: ZoneFlow,
        target: Target,
        terms: RequestTerms,
        hasPrompt: Boolean,
        now: MonotonicTime,
    ): Duration? {
        val work = ExpectedWork.at(target, terms.units, hasPrompt, now)
        return balance.expectedStart(flow, target.entry.zone, work, terms.usualTotal, slowdown(target, now))
    }

    /**
     * Returns the version that requests to [pool] should prefer at [now]: [newest] as soon as a target there has loaded it, because
     * those who named it want responses from it; null before that.
     */
    public fun preferredWeights(pool: PoolName, newest: DesiredWeights?, now: MonotonicTime): Long? = newest?.version?.takeIf { version ->
        directory.members(pool).any { target ->
            !target.isLeaving && !isLoading(target, now) && target.probableWeights(newest.model, now)?.let { it >= version } ?: false
        }
    }

    /** Returns whether and when a target may accept a request for which [select] finds none at [now]. */
    public fun availability(criteria: SelectionCriteria, now: MonotonicTime): Availability {
        val fitting = directory.members(criteria.grant.pool).filter { isEligible(it, criteria.copy(excluded = emptySet()), now) }
        if (fitting.isEmpty()) return Availability.Unknown
        val untried = fitting.filterNot { it.id in criteria.excluded }
        if (untried.isEmpty()) return Availability.AllTried
        val candidates = untried.filter { capacity.canHold(it, criteria.prompt) }
        if (candidates.isEmpty()) return Availability.TooLarge
        val (target, time) = candidates.mapNotNull { target -> acceptsFrom(target, criteria, now)?.let { target to it } }
            .minByOrNull { it.second } ?: return Availability.Elsewhere
        return Availability.From(time, target.id.takeIf { rateLimits.limit(target) != null }, isFull = !hasRoom(target, criteria, now))
    }

    /** Returns the mean time between two ends of requests at the targets of [pool]; null if it is not known. */
    public fun endInterval(pool: PoolName, now: MonotonicTime): Duration? =
        capacity.endInterval(directory.members(pool).filterNot { it.isLeaving }, now)

    /** Returns what is in flight at the targets of each pool. */
    public fun occupancy(now: MonotonicTime): Map<PoolName, Occupancy> =
        directory.all.groupBy { it.entry.pool }.mapValues { (_, targets) -> capacity.occupancy(targets, now) }

    private fun hasRoom(target: Target, criteria: SelectionCriteria, now: MonotonicTime): Boolean =
        capacity.fits(target, criteria.prompt, now, criteria.grant.isolatedWorkspace)

    private fun acceptsFrom(target: Target, criteria: SelectionCriteria, now: MonotonicTime): MonotonicTime? {
        val limitedUntil = rateLimits.availableFrom(target, now) ?: return null
        val fullUntil = capacity.availableFrom(target, criteria.prompt, now, criteria.grant.isolatedWorkspace) ?: return null
        return maxOf(limitedUntil, fullUntil, target.acceptsFrom(now))
    }

    /**
     * Returns the mean time between two requests to [pool] that an instance may send while the rate limits of its targets hold; null if
     * some target has no limit.
     */
    public fun limitedInterval(pool: PoolName, now: MonotonicTime): Duration? {
        val targets = directory.members(pool).filterNot { it.isLeaving }
        val limits = targets.map { rateLimits.limit(it) ?: return null }
        if (limits.isEmpty()) return null
        return rateLimits.interval(limits.sum(), now)
    }

    private fun hasPreferredWeights(target: Target, criteria: SelectionCriteria, now: MonotonicTime): Boolean {
        val preferred = criteria.preferredWeights ?: return true
        val model = criteria.prompt?.model ?: return true
        return (target.probableWeights(model, now) ?: 0) >= preferred
    }

    private fun isEligible(target: Target, criteria: SelectionCriteria, now: MonotonicTime): Boolean {
        if (target.isLeaving || target.id in criteria.excluded) return false
        if (versions?.allows(target, criteria.grant, now) == false) return false
        val model = criteria.prompt?.model ?: return true
        val weights = target.probableWeights(model, now) ?: return false
        return criteria.minimumWeights == null || weights >= criteria.minimumWeights
    }

    private fun preferredVersions(candidates: List<Target>, criteria: SelectionCriteria): List<Target> =
        versions?.preferred(candidates, criteria.grant, isRepeat = criteria.excluded.isNotEmpty()) ?: candidates

    private fun isLoading(target: Target, now: MonotonicTime): Boolean = target.loadingUntil?.let { now < it } ?: false

    private fun byAffinity(candidates: List<Target>, model: ModelName, criteria: SelectionCriteria, now: MonotonicTime): Target {
        speeds?.selectProbe(candidates.filter { hasPreferredWeights(it, criteria, now) }, now)?.let { return it }
        val preferred = criteria.preferredWeights
        val loads = candidates.associateWith { loadTime(it, it.load.total(now), ownUnits(criteria), now) }
        val affinity = criteria.affinity ?: return candidates.minBy { loads.getValue(it) }
        val totalSpeed = candidates.sumOf { 1 / slowdown(it, now) }
        val loadLimit = prefixUnits(criteria.prompt) + LOAD_LIMIT_FACTOR * candidates.sumOf { it.load.total(now) } / totalSpeed
        val ranked = rendezvousRank(affinity.toString(), candidates) { it.id.text }.filter { loads.getValue(it) <= loadLimit }
        val preferredTarget = ranked.firstOrNull { preferred == null || (it.probableWeights(model, now) ?: 0) >= preferred }
        return preferredTarget ?: ranked.firstOrNull() ?: candidates.minBy { loads.getValue(it) }
    }

    /** The load that a request saves at a target that has its shared pieces; waiting behind as much takes no longer than it saves. */
    private fun prefixUnits(prompt: PromptDescription?): Double = TargetLoad.prefillUnits(prompt?.sharedTokens ?: 0)

    private fun slowdown(target: Target, now: MonotonicTime): Double = if (speeds == null) 1.0 else target.speed.slowdown(now)

    private fun ownUnits(criteria: SelectionCriteria): Double =
        criteria.terms?.units ?: TargetLoad.unitsUntilFirstEvent(criteria.prompt, criteria.prompt?.sharedTokens ?: 0)

    /**
     * Returns what [load] takes at [target], in units of load at the usual speed. The request's [own] units count by what they take
     * longer than usual, so that an idle slow target is not preferred to a fast one with little load.
     */
    private fun loadTime(target: Target, load: Double, own: Double, now: MonotonicTime): Double {
        val slowdown = slowdown(target, now)
        return if (slowdown == 1.0) load else (load + own) * slowdown - own
    }

    private fun leastLoaded(candidates: List<Target>, now: MonotonicTime): Target {
        speeds?.selectProbe(candidates, now)?.let { return it }
        return candidates.minBy { slotUse(it, now) }
    }

    private fun slotUse(target: Target, now: MonotonicTime): Double {
        val zonePenalty = if (target.entry.zone == zone) 0.0 else OTHER_ZONE_PENALTY
        val reported = target.health.load(now)
        val requests = maxOf(target.load.total(now), (reported?.run { running + waiting } ?: 0).toDouble())
        return loadTime(target, requests, own = 1.0, now) / target.entry.slots.coerceAtLeast(1) + zonePenalty +
            random.nextDouble(TIE_BREAK_RANGE)
    }

    private companion object {
        /**
         * The multiple of the mean load that a target may have; 1.25 keeps requests with the same affinity together
         * while the load is even (consistent hashing with bounded loads).
         */
        const val LOAD_LIMIT_FACTOR = 1.25

        /**
         * A target in another zone is selected if, in the own zone, the fraction of slots in use is larger by more than
         * this: by one slot of three, or two of six.
         */
        const val OTHER_ZONE_PENALTY = 0.3

        /** The range of the random offset that spreads requests over targets of equal load. */
        const val TIE_BREAK_RANGE = 0.05
    }
}
