package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.model.rendezvousWeight
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An instance as it announces itself.
 *
 * @property callerAddress host and port that callers connect to.
 * @property peerAddress host and port that other instances send to.
 */
public data class FleetMember(
    val id: InstanceId,
    val incarnation: InstanceIncarnation,
    val zone: ZoneName,
    val callerAddress: String,
    val peerAddress: String,
)

/** Knows the other instances and which of them serve, by what they send themselves. */
public class FleetView(private val self: FleetMember, private val livenessTimeout: Duration = LIVENESS_TIMEOUT) {
    private class Peer(var member: FleetMember) {
        var lastContactAt: MonotonicTime? = null
        var serves = false
        var reachesStore = false
        var wasRelayed = false
    }

    private val peers = LinkedHashMap<InstanceId, Peer>()

    /** Whether this instance serves; told to callers and peers. */
    public var selfServes: Boolean = false

    /** Takes note that [member] announced itself in the store. */
    public fun recordAnnouncement(member: FleetMember) {
        if (member.id == self.id) return
        val known = peers[member.id]
        when {
            known == null -> peers[member.id] = Peer(member)
            known.lastContactAt == null || known.member.incarnation <= member.incarnation -> known.member = member
        }
    }

    /**
     * Takes note that [member] was heard at [now], perhaps [relayed] by a speaker of its zone, and what it said of itself;
     * whether it counts as live only from now on.
     */
    public fun recordContact(
        member: FleetMember,
        serves: Boolean,
        reachesStore: Boolean,
        now: MonotonicTime,
        relayed: Boolean = false,
    ): Boolean {
        if (member.id == self.id) return false
        val peer = peers.getOrPut(member.id) { Peer(member) }
        val wasLive = isLive(peer, now)
        // A machine's time of day may have been set back before a restart; only a live incarnation is the newer one for sure.
        if (wasLive && member.incarnation < peer.member.incarnation) return false
        peer.member = member
        peer.lastContactAt = now
        peer.serves = serves
        peer.reachesStore = reachesStore
        peer.wasRelayed = relayed
        return !wasLive
    }

    /** Instances to send to: all that were ever announced. */
    public val known: List<FleetMember> get() = peers.values.map { it.member }

    /** Whether there are too many instances for each to tell all others everything. */
    public val isLarge: Boolean get() = peers.size >= MAX_MESH_PEERS

    /** Instances to send to in the own zone. */
    public val sameZoneMembers: List<FleetMember> get() = known.filter { it.zone == self.zone }

    /** The zones of the other instances. */
    public val otherZones: Set<ZoneName> get() = peers.values.map { it.member.zone }.toSet() - self.zone

    /** The live instances that speak for [zone] to other zones in a large fleet, in an order on which all agree. */
    public fun zoneRelays(zone: ZoneName, now: MonotonicTime): List<FleetMember> {
        val live = live(now).filter { it.zone == zone } + listOf(self).filter { zone == self.zone }
        return live.sortedByDescending { rendezvousWeight(RELAY_SUBJECT, it.id.text) }.take(RELAYS_PER_ZONE)
    }

    /**
     * The instance of [zone] to which the speaker at [position] of this zone tells what it gathered. As long as nobody of that
     * zone was heard, its members are tried in turn, by [round].
     */
    public fun relayDestination(zone: ZoneName, position: Int, round: Long, now: MonotonicTime): FleetMember? {
        val zoneRelays = zoneRelays(zone, now)
        if (zoneRelays.isNotEmpty()) return zoneRelays[position % zoneRelays.size]
        val members = known.filter { it.zone == zone }
        return if (members.isEmpty()) null else members[Math.floorMod(round + position, members.size)]
    }

    /** Instances that were heard of late, without this one. */
    public fun live(now: MonotonicTime): List<FleetMember> = peers.values.filter { isLive(it, now) }.map { it.member }

    /** Whether the instance called [id] was heard of late; always so for this one. */
    public fun isLive(id: InstanceId, now: MonotonicTime): Boolean = id == self.id || peers[id]?.let { isLive(it, now) } ?: false

    /** When [id] was last heard; null if never. */
    public fun lastContactAt(id: InstanceId): MonotonicTime? = peers[id]?.lastContactAt

    /** Addresses for callers, this instance's among them while it serves; those in the zone [preferredZone] come first. */
    public fun callerAddresses(preferredZone: ZoneName?, now: MonotonicTime): List<String> {
        val serving = peers.values.filter { it.serves && isLive(it, now) }.map { it.member } + listOf(self).filter { selfServes }
        return serving.sortedBy { it.zone != preferredZone }.map { it.callerAddress }.take(MAX_ADDRESSES)
    }

    /** The place of this instance in an order, which [subject] decides, of live instances that reach the store; 0 is the first. */
    public fun rank(subject: String, now: MonotonicTime): Int {
        val own = rendezvousWeight(subject, self.id.text)
        return peers.values.count { it.reachesStore && isLive(it, now) && rendezvousWeight(subject, it.member.id.text) > own }
    }

    /**
     * Whether this instance should follow the store itself: it is among the first [STORE_READERS] of those that reach it.
     * The others hear from these what changed, so that calls do not grow with the fleet.
     */
    public fun isStoreReader(now: MonotonicTime): Boolean = rank(STORE_READER_SUBJECT, now) < STORE_READERS

    /** Whether this instance is the first of those that follow the store, whose reads show soonest that answers stay away. */
    public fun isFirstStoreReader(now: MonotonicTime): Boolean = rank(STORE_READER_SUBJECT, now) == 0

    /** Whether this instance is among the [STORE_CHECKERS] that look at the store themselves when a follower loses it. */
    public fun isStoreChecker(now: MonotonicTime): Boolean = rank(STORE_READER_SUBJECT, now) < STORE_CHECKERS

    /** Whether [id] reached the store by its last word; false if it gave none. */
    public fun reachesStore(id: InstanceId): Boolean = peers[id]?.reachesStore ?: false

    private fun isLive(peer: Peer, now: MonotonicTime): Boolean {
        val lastContactAt = peer.lastContactAt ?: return false
        return now - lastContactAt < if (peer.wasRelayed) RELAYED_LIVENESS_TIMEOUT else livenessTimeout
    }

    private companion object {
        /** Three missed digests of 400 ms, so that one lost datagram does not take an instance out. */
        val LIVENESS_TIMEOUT = 1_300.milliseconds

        /** What comes over two speakers is up to a digest's and a bundle's period old, 1.2 s; a lost bundle adds 0.8 s. */
        val RELAYED_LIVENESS_TIMEOUT = 3_000.milliseconds

        /** In a fleet of this size each instance sends and receives 40 digests a second, a hundredth of a small core. */
        const val MAX_MESH_PEERS = 16

        /** One speaker of a zone may end without the zone's going unheard. */
        const val RELAYS_PER_ZONE = 2
        const val RELAY_SUBJECT = "zone-speakers"

        /** So many losses of readers, or of their connections, at the same time go unnoticed for a lapse at most. */
        const val STORE_READERS = 3
        const val STORE_READER_SUBJECT = "store-readers"

        /** As many as the instances of a small fleet; a store that turns some away seldom turns away as many. */
        const val STORE_CHECKERS = 8

        /** The most addresses of one answer to a caller. */
        const val MAX_ADDRESSES = 64
    }
}
