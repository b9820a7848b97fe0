/*
 * Selects the instances that exchange heartbeats. The instances form a ring ordered by hashed id, and each
 * instance sends heartbeats to its two successors, which keeps the graph connected. Rendezvous hashing selects
 * further neighbours and prefers zones that are not covered yet, which keeps the diameter of the graph small.
 */
package org.cactuspulley.core.membership

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.rendezvousRank
import org.cactuspulley.core.model.rendezvousWeight

private const val RING_KEY = "neighbour-ring"
private const val RING_SUCCESSORS = 2
private const val RENDEZVOUS_NEIGHBOURS = 2

/** The maximum number of neighbours that [neighboursOf] selects by default. */
public const val MAX_NEIGHBOURS: Int = RING_SUCCESSORS + RENDEZVOUS_NEIGHBOURS

/** Returns the instances that [self] sends heartbeats to, at most [count]. */
public fun neighboursOf(self: Instance, instances: Collection<Instance>, count: Int = MAX_NEIGHBOURS): List<Instance> {
    val others = instances.filter { it.id != self.id }
    if (others.size <= count) return others
    val successors = ringSuccessors(self.id, others).take(RING_SUCCESSORS)
    val ranked = rendezvousRank(self.id.text, others - successors.toSet()) { it.id.text }
    return successors + preferNewZones(ranked, self, successors).take(count - successors.size)
}

private fun ringSuccessors(self: InstanceId, others: List<Instance>): List<Instance> {
    val ownPosition = ringPosition(self)
    val (after, before) = others.sortedBy { ringPosition(it.id) }.partition { ringPosition(it.id) > ownPosition }
    return after + before
}

private fun ringPosition(id: InstanceId): Long = rendezvousWeight(RING_KEY, id.text)

private fun preferNewZones(ranked: List<Instance>, self: Instance, chosen: List<Instance>): List<Instance> {
    val covered = (chosen.map { it.zone } + self.zone).toMutableSet()
    val (fromNewZones, rest) = ranked.partition { covered.add(it.zone) }
    return fromNewZones + rest
}
