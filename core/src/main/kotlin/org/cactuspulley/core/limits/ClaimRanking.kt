package org.cactuspulley.core.limits

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.rendezvousWeight

/**
 * Ranks the instances that should claim free parts: first the holder of the slot's other part, then the instances
 * with the fewest parts. Instances that know the same table compute the same ranking, so claims seldom collide.
 */
internal class ClaimRanking(private val live: List<InstanceId>, private val table: SlotTable, now: MonotonicTime) {
    private val partCounts = HashMap<InstanceId, Int>().apply {
        live.forEach { put(it, 0) }
        table.parts.values.filter { it.expiresAt > now && it.instance in this }.forEach { merge(it.instance, 1, Int::plus) }
    }

    /** Returns the live instance that holds the most parts, or null. Different requesters break ties differently. */
    fun largestHolder(requester: InstanceId): InstanceId? =
        live.maxWithOrNull(compareBy<InstanceId> { partCounts.getValue(it) }.thenBy { rendezvousWeight(requester.text, it.text) })

    /** Returns the number of parts that [instance] holds. */
    fun partCount(instance: InstanceId): Int = partCounts[instance] ?: 0

    /**
     * Returns the instance that gets the next slot of a leaving holder, and counts the slot's parts as held by it: an
     * instance without parts that requested a slot, or else one that holds parts and so is known to be alive.
     */
    fun assignSuccessor(requesters: Set<InstanceId>): InstanceId? {
        val successor = live.minWithOrNull(
            compareBy<InstanceId> { if (it in requesters && partCount(it) == 0) 0 else 1 }
                .thenBy { if (partCount(it) > 0) 0 else 1 }
                .thenBy { partCount(it) }
                .thenBy { it.text },
        )
        successor?.let { partCounts.merge(it, LeaseKind.entries.size, Int::plus) }
        return successor
    }

    /** Returns the parts of [claimable] that [self] should claim; [isDue] returns whether the instance of a rank may claim a part yet. */
    fun claimsFor(self: InstanceId, claimable: List<SlotPart>, isDue: (SlotPart, Int) -> Boolean): List<SlotPart> {
        val claims = mutableListOf<SlotPart>()
        val assigned = HashMap<SlotPart, InstanceId>()
        for (part in claimable) {
            val ranked = rank(part, assigned)
            val first = ranked.firstOrNull() ?: continue
            assigned[part] = first
            partCounts.merge(first, 1, Int::plus)
            val rank = ranked.indexOf(self)
            if (rank >= 0 && isDue(part, rank)) claims.add(part)
        }
        return claims
    }

    private fun rank(part: SlotPart, assigned: Map<SlotPart, InstanceId>): List<InstanceId> {
        val sibling = SlotPart(part.number xor 1)
        val siblingHolder = assigned[sibling] ?: table.holderOf(sibling)?.instance
        return live.sortedWith(
            compareBy<InstanceId> { if (it == siblingHolder) 0 else 1 }
                .thenBy { partCounts.getValue(it) }
                .thenByDescending { rendezvousWeight("slot-${part.index.number}", it.text) },
        )
    }
}
