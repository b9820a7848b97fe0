package org.cactuspulley.core.membership

import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.DeregisterInstance
import org.cactuspulley.core.effect.PollInstanceList
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.RecordOnTimeline
import org.cactuspulley.core.effect.RegisterInstance
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.effect.UpdatePeerAddresses
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.InstancesListed
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.NeighboursChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.message.Heartbeat
import org.cactuspulley.core.message.HeartbeatAnswer
import org.cactuspulley.core.message.InstanceSpread
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.earliest
import org.cactuspulley.core.timeline.InstanceChanged

/**
 * Knows the other instances from the platform's lagging list, from the heartbeats of a few
 * neighbours and from what neighbours pass on about instances that come or leave.
 *
 * The list says who exists; it lags, so an instance that spoke to this one itself is believed
 * before the list. A neighbour that is silent is given up before the list drops it. The part starts
 * with the first event that it is handed.
 *
 * @param self the local instance.
 * @param seeds instances to begin with while the list can't be read.
 */
public class MembershipPart(
    private var self: Instance,
    seeds: List<Instance> = emptyList(),
    private val timing: MembershipTiming = MembershipTiming(),
) : CorePart {
    private val known = HashMap<InstanceId, KnownInstance>()
    private var listedAsOfMillis = Long.MIN_VALUE
    private var neighbours = emptySet<InstanceId>()
    private var neighbourSince = emptyMap<InstanceId, MonotonicTime>()
    private var publishedNeighbours = emptyList<Instance>()
    private var publishedSuspects = emptySet<InstanceId>()
    private var hasPublished = false
    private var hasChanged = true
    private var lastHandled: MonotonicTime? = null
    private var pollDeadline: MonotonicTime? = null
    private var registerDeadline: MonotonicTime? = null

    init {
        seeds.filter { it.id != self.id }.forEach { known[it.id] = KnownInstance(it, listed = true) }
    }

    /** The instances as they are known now. */
    public var membership: Membership = Membership(self.id, mapOf(self.id to self))
        private set

    override val nextDeadline: MonotonicTime?
        get() = earliest(pollDeadline, registerDeadline)

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        forgiveSilenceAfterPause(now)
        when (event) {
            is InstancesListed -> takeList(event, now)
            is PeerMessageReceived -> takeMessage(event.from, event.message, now, effects)
            is StopRequested -> leave(effects)
            else -> Unit
        }
        runTimers(now, effects)
        publishChanges(now, effects)
        return effects
    }

    /** After a pause of this process its neighbours only look silent. */
    private fun forgiveSilenceAfterPause(now: MonotonicTime) {
        val last = lastHandled
        lastHandled = now
        if (last == null || now - last < timing.suspectAfter / 2) return
        neighbourSince = neighbourSince.mapValues { now }
    }

    private fun takeList(event: InstancesListed, now: MonotonicTime) {
        if (event.asOfMillis < listedAsOfMillis) return
        listedAsOfMillis = event.asOfMillis
        val before = known.mapValues { it.value.instance }
        val listed = event.instances.filter { it.id != self.id }
        for (instance in listed) {
            known[instance.id] = known[instance.id]?.listedAs(instance) ?: KnownInstance(instance, listed = true)
        }
        val ids = listed.mapTo(HashSet()) { it.id }
        known.replaceAll { id, instance -> if (id in ids) instance else instance.copy(listed = false) }
        known.values.removeIf { !it.listed && !it.heardSince(now - timing.listLag) }
        hasChanged = hasChanged || before != known.mapValues { it.value.instance }
    }

    private fun takeMessage(from: InstanceId, message: PeerMessage, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        when (message) {
            is Heartbeat -> hear(from, message.incarnation, message.state, now)
            is HeartbeatAnswer -> hear(from, message.incarnation, message.state, now)
            is InstanceSpread -> takeSpread(from, message.instance, now, effects)
            else -> Unit
        }
    }

    private fun hear(id: InstanceId, incarnation: InstanceIncarnation, state: InstanceState, now: MonotonicTime) {
        val before = known[id] ?: return
        if (incarnation < before.instance.incarnation) return
        val heard = before.instance.copy(incarnation = incarnation, state = state)
        val isNews = before.instance.isOlderThan(heard)
        known[id] = before.copy(instance = if (isNews) heard else before.instance, heardAt = now)
        hasChanged = hasChanged || isNews
    }

    private fun takeSpread(from: InstanceId, instance: Instance, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (instance.id == self.id) return
        val before = known[instance.id]
        val isNews = before == null || before.instance.isOlderThan(instance)
        if (!isNews) return
        known[instance.id] = KnownInstance(instance, before?.listed ?: false, heardAt = now)
        hasChanged = true
        (neighbours - from - instance.id).mapTo(effects) { SendToPeer(it, InstanceSpread(instance)) }
    }

    private fun leave(effects: MutableList<CoreEffect>) {
        if (self.state == InstanceState.LEAVING) return
        self = self.copy(state = InstanceState.LEAVING)
        hasChanged = true
        effects += RegisterInstance(self, timing.listingTimeToLive.inWholeMilliseconds)
        neighbours.mapTo(effects) { SendToPeer(it, InstanceSpread(self)) }
    }

    /** Takes the local instance from the list; for the moment when the process ends. */
    public fun depart(): List<CoreEffect> = listOf(DeregisterInstance(self.id, self.incarnation))

    private fun runTimers(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (isDue(pollDeadline, now)) {
            pollDeadline = now + timing.pollInterval
            effects += PollInstanceList
        }
        if (isDue(registerDeadline, now)) {
            if (registerDeadline == null) announce(effects)
            registerDeadline = now + timing.registerInterval
            effects += RegisterInstance(self, timing.listingTimeToLive.inWholeMilliseconds)
        }
    }

    private fun announce(effects: MutableList<CoreEffect>) {
        neighboursOf(self, known.values.map { it.instance }).mapTo(effects) { SendToPeer(it.id, InstanceSpread(self)) }
    }

    private fun isDue(deadline: MonotonicTime?, now: MonotonicTime): Boolean = deadline == null || deadline <= now

    private fun publishChanges(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (hasChanged) useNeighbours(now)
        val suspected = neighbours.filterTo(HashSet()) { isSuspected(it, now) }
        if (!hasChanged && suspected == publishedSuspects) return
        hasChanged = false
        publishedSuspects = suspected
        val others = known.values.map { it.instance }.filterNot { it.id in suspected }
        publishMembership((others + self).associateBy { it.id }, effects)
        publishNeighbours(others, effects)
    }

    private fun useNeighbours(now: MonotonicTime) {
        neighbours = neighboursOf(self, known.values.map { it.instance }).mapTo(HashSet()) { it.id }
        neighbourSince = neighbours.associateWith { neighbourSince[it] ?: now }
    }

    private fun publishMembership(instances: Map<InstanceId, Instance>, effects: MutableList<CoreEffect>) {
        val before = membership.instances
        if (instances == before && hasPublished) return
        hasPublished = true
        membership = Membership(self.id, instances)
        effects += changesBetween(before, instances).map(::RecordOnTimeline)
        effects += Publish(MembershipChanged(membership))
    }

    /** A silent neighbour is still called, so that it is found again, and another one takes its place. */
    private fun publishNeighbours(others: List<Instance>, effects: MutableList<CoreEffect>) {
        val called = (neighbours.mapNotNull { known[it]?.instance } + neighboursOf(self, others)).distinctBy { it.id }
        effects += UpdatePeerAddresses(known.mapValues { it.value.instance.peerAddress })
        if (called == publishedNeighbours) return
        publishedNeighbours = called
        effects += Publish(NeighboursChanged(called))
    }

    private fun isSuspected(id: InstanceId, now: MonotonicTime): Boolean {
        val since = neighbourSince[id] ?: return false
        val silentSince = known[id]?.heardAt?.let { maxOf(it, since) } ?: since
        return silentSince + timing.suspectAfter < now
    }

    private fun changesBetween(before: Map<InstanceId, Instance>, after: Map<InstanceId, Instance>): List<InstanceChanged> {
        val changed = after.values.filter { before[it.id] != it }.map { InstanceChanged(it.id, it.state) }
        val gone = (before.keys - after.keys).map { InstanceChanged(it, null) }
        return changed + gone
    }
}

/** An instance, whether the list names it and when it last spoke to this one. */
private data class KnownInstance(val instance: Instance, val listed: Boolean, val heardAt: MonotonicTime? = null) {
    fun heardSince(time: MonotonicTime): Boolean = heardAt != null && heardAt >= time

    fun listedAs(listedInstance: Instance): KnownInstance =
        copy(instance = if (listedInstance.isOlderThan(instance)) instance else listedInstance, listed = true)
}

private fun Instance.isOlderThan(other: Instance): Boolean =
    incarnation < other.incarnation || (incarnation == other.incarnation && state < other.state)
