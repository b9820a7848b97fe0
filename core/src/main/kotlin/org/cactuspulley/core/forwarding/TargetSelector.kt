package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.model.rendezvousRank
import kotlin.random.Random

/**
 * What a choice must respect.
 *
 * @property excluded targets that this request has already been sent to.
 * @property minimumWeights the oldest version of the model's weights on which the request may begin; null for any.
 * @property isLastResort whether a target that is left out is better than none: the request would else be refused.
 * @property affinity requests with the same value should meet at one target; null for any.
 * @property preferredWeights the version on which it should begin where targets with it have room; null for any.
 */
public data class SelectionCriteria(
    val grant: ForwardingGrant,
    val prompt: PromptDescription?,
    val excluded: Set<TargetId>,
    val minimumWeights: Long?,
    val preferredWeights: Long?,
    val affinity: Long? = prompt?.affinity,
    val isLastResort: Boolean = false,
)

/**
 * Chooses the target of a request.
 *
 * Requests that share a prompt go to the target that rendezvous hashing ranks first for it, so all
 * instances agree without talking, and to the next one while that is loaded beyond the pool's mean.
 * Others go to the least loaded target, in the own zone where that costs no waiting.
 */
public class TargetSelector(
    private val directory: TargetDirectory,
    private val zone: ZoneName,
    private val random: Random = Random.Default,
) {
    /** The target for [criteria], or null if none can take it now. */
    public fun select(criteria: SelectionCriteria, now: MonotonicTime): Target? {
        val eligible = directory.members(criteria.grant.pool).filter { isEligible(it, criteria) }
        if (eligible.isEmpty()) return null
        val healthy = eligible.filterNot { it.health.isExcluded(now) }
        if (healthy.isEmpty()) return if (criteria.isLastResort) eligible.minBy { it.health.excludedUntil ?: now } else null
        val prompt = criteria.prompt ?: return leastLoaded(healthy, now)
        val notLoading = healthy.filterNot { isLoading(it, now) }.ifEmpty { healthy }
        return byAffinity(notLoading, prompt.model, criteria, now)
    }

    private fun isEligible(target: Target, criteria: SelectionCriteria): Boolean {
        if (target.entry.isLeaving || target.id in criteria.excluded) return false
        val model = criteria.prompt?.model ?: return true
        val weights = target.weights(model) ?: return false
        return criteria.minimumWeights == null || weights >= criteria.minimumWeights
    }

    private fun isLoading(target: Target, now: MonotonicTime): Boolean = target.loadingUntil?.let { now < it } ?: false

    private fun byAffinity(candidates: List<Target>, model: ModelName, criteria: SelectionCriteria, now: MonotonicTime): Target {
        val preferred = criteria.preferredWeights
        val affinity = criteria.affinity ?: return candidates.minBy { it.load.total(now) }
        val loads = candidates.associateWith { it.load.total(now) }
        val loadLimit = LOAD_LIMIT_BASE + LOAD_LIMIT_FACTOR * loads.values.sum() / candidates.size
        val ranked = rendezvousRank(affinity.toString(), candidates) { it.id.text }.filter { loads.getValue(it) <= loadLimit }
        val preferredTarget = ranked.firstOrNull { preferred == null || (it.weights(model) ?: 0) >= preferred }
        return preferredTarget ?: ranked.firstOrNull() ?: candidates.minBy { loads.getValue(it) }
    }

    private fun leastLoaded(candidates: List<Target>, now: MonotonicTime): Target = candidates.minBy { target ->
        val zonePenalty = if (target.entry.zone == zone) 0.0 else OTHER_ZONE_PENALTY
        val reported = target.health.load(now)
        val requests = maxOf(target.load.total(now), (reported?.run { running + waiting } ?: 0).toDouble())
        requests / target.entry.slots.coerceAtLeast(1) + zonePenalty + random.nextDouble(TIE_BREAK_RANGE)
    }

    private companion object {
        /** Units beyond the mean that a target may have: 6,000 tokens are read in 150 ms, a third of an objective. */
        const val LOAD_LIMIT_BASE = 6.0

        /** The part of the mean load that a target may have; 1.25 keeps keys in place while load is even (bounded-load hashing). */
        const val LOAD_LIMIT_FACTOR = 1.25

        /** A target in another zone is taken when the own zone's are fuller by this part of their slots: one slot in three of six. */
        const val OTHER_ZONE_PENALTY = 0.3

        /** Spreads requests over targets of equal load. */
        const val TIE_BREAK_RANGE = 0.05
    }
}
