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
 * Tracks the other instances. Its sources are the platform's instance list, heartbeats with a few
 * neighbours, and announcements of joining and leaving instances that neighbours forward.
 *
 * The list decides which instances exist, but it lags, so newer information from the instances themselves
 * takes precedence. A silent neighbour is suspected and removed from the membership before the list drops it.
 *
 * The part starts when it handles its first event.
 *
 * @param self the local instance.
 * @param seeds the instances that are assumed to exist until the list can be read.
 */
public class MembershipPart(
    private var self: Instance,
    seeds: List<Instance> = emptyList(),
    private val timing: MembershipTiming = MembershipTiming(),
) : CorePart {
    private val knownInstances = HashMap<InstanceId, KnownInstance>()
    private var listedAsOfMillis = Long.MIN_VALUE
    private var neighbours = emptySet<InstanceId>()

    /** For each neighbour, the time before which its silence does not count towards the suspicion timeout. */
    private var silenceCountsFrom = emptyMap<InstanceId, MonotonicTime>()

    private var publishedNeighbours = emptyList<Instance>()
    private var publishedSuspects = emptySet<InstanceId>()
    private var hasPublished = false
    private var hasChanged = true
    private var lastHandledAt: MonotonicTime? = null
    private var pollDeadline: MonotonicTime? = null
    private var registerDeadline: MonotonicTime? = null

    init {
        seeds.filter { it.id != self.id }.forEach { knownInstances[it.id] = KnownInstance(it, isListed = true) }
    }

    /** The instances that are currently known and not suspected. */
    public var membership: Membership = Membership(self.id, mapOf(self.id to self))
        private set

    override val nextDeadline: MonotonicTime?
        get() = earliest(pollDeadline, registerDeadline)

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        restartSuspicionTimeoutsAfterPause(now)
        when (event) {
            is InstancesListed -> handleInstanceList(event, now)
            is PeerMessageReceived -> handlePeerMessage(event.from, event.message, now, effects)
            is StopRequested -> startLeaving(effects)
            else -> Unit
        }
        runTimers(now, effects)
        publishChanges(now, effects)
        return effects
    }

    /** Restarts the suspicion timeout of every neighbour after a pause of this process, because they only appear silent then. */
    private fun restartSuspicionTimeoutsAfterPause(now: MonotonicTime) {
        val last = lastHandledAt
        lastHandledAt = now
        if (last == null || now - last < timing.suspicionTimeout / 2) return
        silenceCountsFrom = silenceCountsFrom.mapValues { now }
    }

    private fun handleInstanceList(event: InstancesListed, now: MonotonicTime) {
        if (event.asOfMillis < listedAsOfMillis) return
        listedAsOfMillis = event.asOfMillis
        val before = knownInstances.mapValues { it.value.instance }
        val listed = event.instances.filter { it.id != self.id }
        for (instance in listed) {
            knownInstances[instance.id] = knownInstances[instance.id]?.mergeListed(instance) ?: KnownInstance(instance, isListed = true)
        }
        val ids = listed.mapTo(HashSet()) { it.id }
        knownInstances.replaceAll { id, instance -> if (id in ids) instance else instance.copy(isListed = false) }
        knownInstances.values.removeIf { !it.isListed && !it.wasContactedSince(now - timing.maxListLag) }
        hasChanged = hasChanged || before != knownInstances.mapValues { it.value.instance }
    }

    private fun handlePeerMessage(from: InstanceId, message: PeerMessage, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        when (message) {
            is Heartbeat -> recordHeartbeat(from, message.incarnation, message.state, now)
            is HeartbeatAnswer -> recordHeartbeat(from, message.incarnation, message.state, now)
            is InstanceSpread -> handleInstanceSpread(from, message.instance, now, effects)
            else -> Unit
        }
    }

    private fun recordHeartbeat(id: InstanceId, incarnation: InstanceIncarnation, state: InstanceState, now: MonotonicTime) {
        val before = knownInstances[id] ?: return
        if (incarnation < before.instance.incarnation) return
        // A heartbeat tells no addresses, so a newer incarnation becomes known by its announcement or by the list.
        val updated = if (incarnation == before.instance.incarnation) before.instance.copy(state = state) else before.instance
        val isNewer = before.instance.isOlderThan(updated)
        knownInstances[id] = before.copy(instance = if (isNewer) updated else before.instance, lastContact = now)
        hasChanged = hasChanged || isNewer
    }

    private fun handleInstanceSpread(from: InstanceId, instance: Instance, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (instance.id == self.id) return
        val before = knownInstances[instance.id]
        val isNewer = before == null || before.instance.isOlderThan(instance)
        if (!isNewer) return
        knownInstances[instance.id] = KnownInstance(instance, before?.isListed ?: false, lastContact = now)
        hasChanged = true
        (neighbours - from - instance.id).mapTo(effects) { SendToPeer(it, InstanceSpread(instance)) }
    }

    private fun startLeaving(effects: MutableList<CoreEffect>) {
        if (self.state == InstanceState.LEAVING) return
        self = self.copy(state = InstanceState.LEAVING)
        hasChanged = true
        effects += RegisterInstance(self, timing.registrationTimeToLive.inWholeMilliseconds)
        neighbours.mapTo(effects) { SendToPeer(it, InstanceSpread(self)) }
    }

    /** Removes the local instance from the platform's list; to be called when the process ends. */
    public fun deregister(): List<CoreEffect> = listOf(DeregisterInstance(self.id, self.incarnation))

    private fun runTimers(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (isDue(pollDeadline, now)) {
            pollDeadline = now + timing.pollInterval
            effects += PollInstanceList
        }
        if (isDue(registerDeadline, now)) {
            if (registerDeadline == null) announceSelf(effects)
            registerDeadline = now + timing.registerInterval
            effects += RegisterInstance(self, timing.registrationTimeToLive.inWholeMilliseconds)
        }
    }

    private fun announceSelf(effects: MutableList<CoreEffect>) {
        neighboursOf(self, knownInstances.values.map { it.instance }).mapTo(effects) { SendToPeer(it.id, InstanceSpread(self)) }
    }

    private fun isDue(deadline: MonotonicTime?, now: MonotonicTime): Boolean = deadline == null || deadline <= now

    private fun publishChanges(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (hasChanged) updateNeighbours(now)
        val suspected = neighbours.filterTo(HashSet()) { isSuspected(it, now) }
        if (!hasChanged && suspected == publishedSuspects) return
        hasChanged = false
        publishedSuspects = suspected
        val others = knownInstances.values.map { it.instance }.filterNot { it.id in suspected }
        publishMembership((others + self).associateBy { it.id }, effects)
        publishNeighbours(others, effects)
    }

    private fun updateNeighbours(now: MonotonicTime) {
        neighbours = neighboursOf(self, knownInstances.values.map { it.instance }).mapTo(HashSet()) { it.id }
        silenceCountsFrom = neighbours.associateWith { silenceCountsFrom[it] ?: now }
    }

    private fun publishMembership(instances: Map<InstanceId, Instance>, effects: MutableList<CoreEffect>) {
        val before = membership.instances
        if (instances == before && hasPublished) return
        hasPublished = true
        membership = Membership(self.id, instances)
        effects += changesBetween(before, instances).map(::RecordOnTimeline)
        effects += Publish(MembershipChanged(membership))
    }

    /**
     * Publishes the instances that receive heartbeats. A suspected neighbour still receives heartbeats, so that
     * its recovery is detected, and an additional neighbour replaces it.
     */
    private fun publishNeighbours(others: List<Instance>, effects: MutableList<CoreEffect>) {
        val heartbeatPeers = (neighbours.mapNotNull { knownInstances[it]?.instance } + neighboursOf(self, others)).distinctBy { it.id }
        effects += UpdatePeerAddresses(knownInstances.mapValues { it.value.instance.peerAddress })
        if (heartbeatPeers == publishedNeighbours) return
        publishedNeighbours = heartbeatPeers
        effects += Publish(NeighboursChanged(heartbeatPeers))
    }

    private fun isSuspected(id: InstanceId, now: MonotonicTime): Boolean {
        val since = silenceCountsFrom[id] ?: return false
        val silentSince = knownInstances[id]?.lastContact?.let { maxOf(it, since) } ?: since
        return silentSince + timing.suspicionTimeout < now
    }

    private fun changesBetween(before: Map<InstanceId, Instance>, after: Map<InstanceId, Instance>): List<InstanceChanged> {
        val changed = after.values.filter { before[it.id] != it }.map { InstanceChanged(it.id, it.state) }
        val removed = (before.keys - after.keys).map { InstanceChanged(it, null) }
        return changed + removed
    }
}

/**
 * What is known about another instance.
 *
 * @property isListed whether the platform's list contains the instance.
 * @property lastContact when the last heartbeat, heartbeat answer or newer announcement of the instance arrived; null if none did.
 */
private data class KnownInstance(val instance: Instance, val isListed: Boolean, val lastContact: MonotonicTime? = null) {
    fun wasContactedSince(time: MonotonicTime): Boolean = lastContact != null && lastContact >= time

    fun mergeListed(listedInstance: Instance): KnownInstance =
        copy(instance = if (listedInstance.isOlderThan(instance)) instance else listedInstance, isListed = true)
}

private fun Instance.isOlderThan(other: Instance): Boolean =
    incarnation < other.incarnation || (incarnation == other.incarnation && state < other.state)
