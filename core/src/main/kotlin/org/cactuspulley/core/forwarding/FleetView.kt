package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.model.rendezvousWeight
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The data that an instance announces about itself.
 *
 * @property incarnation the number of the instance's start; a later start has a higher number unless the clock was
 *    set back.
 * @property callerAddress the host and port that callers connect to.
 * @property peerAddress the host and port that other instances send to.
 * @property linkMegabits the capacity of the instance's network link in megabits per second; 0 if it is not known.
 */
public data class FleetMember(
    val id: InstanceId,
    val incarnation: InstanceIncarnation,
    val zone: ZoneName,
    val callerAddress: String,
    val peerAddress: String,
    val linkMegabits: Double = 0.0,
)

/** The [rank] of this instance, 0 for the first, among [size] instances. */
public data class FleetPosition(val rank: Int, val size: Int)

/** Tracks the other instances and whether they are live and serving, by their announcements and messages. */
public class FleetView(private val self: FleetMember, private val livenessTimeout: Duration = LIVENESS_TIMEOUT) {
    private class Peer(var member: FleetMember) {
        /** The peer's weight in the order of the store readers, which is compared several times a second. */
        val readerWeight = rendezvousWeight(STORE_READER_SUBJECT, member.id.text)
        var lastContactAt: MonotonicTime? = null
        var serves = false
        var reachesStore = false
        var wasRelayed = false
    }

    private val peers = LinkedHashMap<InstanceId, Peer>()
    private val ownReaderWeight = rendezvousWeight(STORE_READER_SUBJECT, self.id.text)

    /** The id of this instance. */
    public val selfId: InstanceId get() = self.id

    /** Whether this instance serves requests; it is reported to callers and peers. */
    public var selfServes: Boolean = false

    /**
     * Whether the announcement of this instance has been read from the store. It comes after those of all instances that started
     * earlier, so that these are known too.
     */
    public var isAnnounced: Boolean = false
        private set

    /** Records that [member] has announced itself in the store. */
    public fun recordAnnouncement(member: FleetMember) {
        if (member.id == self.id) {
            isAnnounced = true
            return
        }
        val known = peers[member.id]
        when {
            known == null -> peers[member.id] = Peer(member)
            known.lastContactAt == null || known.member.incarnation <= member.incarnation -> known.member = member
        }
    }

    /**
     * Records the state that [member] reported and that was received at [now], [relayed] by another instance or
     * directly; returns whether the member became live by it.
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
        // The system clock may have been set back before a restart, so only an incarnation that is live is known to be
        // newer.
        if (wasLive && member.incarnation < peer.member.incarnation) return false
        peer.member = member
        peer.lastContactAt = now
        peer.serves = serves
        peer.reachesStore = reachesStore
        peer.wasRelayed = relayed
        return !wasLive
    }

    /** All instances that ever announced themselves or were heard from. */
    public val known: List<FleetMember> get() = peers.values.map { it.member }

    /** The number of instances that ever announced themselves or were heard from, this one included. */
    public val size: Int get() = peers.size + 1

    /** Whether the fleet is too large for each instance to send everything to all others. */
    public val isLarge: Boolean get() = peers.size >= MAX_MESH_PEERS

    /** The known instances in the zone of this instance. */
    public val sameZoneMembers: List<FleetMember> get() = known.filter { it.zone == self.zone }

    /** The zones of the other instances, without the zone of this one. */
    public val otherZones: Set<ZoneName> get() = peers.values.map { it.member.zone }.toSet() - self.zone

    /**
     * Returns the live instances that relay the messages of [zone] to other zones in a large fleet, in an order on
     * which all instances agree. Those with the fastest links come first: a relay sends what it receives to its whole
     * zone, and a link that this fills loses the packets of callers and peers alike.
     */
    public fun zoneRelays(zone: ZoneName, now: MonotonicTime): List<FleetMember> {
        val livePeers = peers.values.filter { it.member.zone == zone && isLive(it, now) }.map { it.member }
        val live = if (zone == self.zone) livePeers + self else livePeers
        val order = compareByDescending<FleetMember> { it.linkMegabits }.thenByDescending { rendezvousWeight(RELAY_SUBJECT, it.id.text) }
        return live.sortedWith(order).take(RELAYS_PER_ZONE)
    }

    /**
     * Returns the instance of [zone] to which the relay at [position] of this zone sends what it has gathered; null
     * if none is known. While no instance of that zone is live, its known instances are tried in turn, by [round].
     */
    public fun relayDestination(zone: ZoneName, position: Int, round: Long, now: MonotonicTime): FleetMember? {
        val zoneRelays = zoneRelays(zone, now)
        if (zoneRelays.isNotEmpty()) return zoneRelays[position % zoneRelays.size]
        val members = known.filter { it.zone == zone }
        return if (members.isEmpty()) null else members[Math.floorMod(round + position, members.size)]
    }

    /** Returns the live instances without this one. */
    public fun live(now: MonotonicTime): List<FleetMember> = peers.values.filter { isLive(it, now) }.map { it.member }

    /** Returns whether the instance with [id] is live; this instance always is. */
    public fun isLive(id: InstanceId, now: MonotonicTime): Boolean = id == self.id || peers[id]?.let { isLive(it, now) } ?: false

    /** Returns the time of the last contact with [id]; null if there was none. */
    public fun lastContactAt(id: InstanceId): MonotonicTime? = peers[id]?.lastContactAt

    /**
     * Returns the caller addresses of the serving instances, this one included; those in [preferredZone] come first. If that [zoneSuffices]
     * and at least [MIN_ZONE_INSTANCES] serve there, only these are returned, because callers use any of the addresses alike.
     */
    public fun callerAddresses(preferredZone: ZoneName?, now: MonotonicTime, zoneSuffices: Boolean = false): List<String> {
        val serving = peers.values.filter { it.serves && isLive(it, now) }.map { it.member } + listOf(self).filter { selfServes }
        val inZone = serving.filter { it.zone == preferredZone }
        if (zoneSuffices && inZone.size >= MIN_ZONE_INSTANCES) return inZone.map { it.callerAddress }.take(MAX_ADDRESSES)
        return serving.sortedBy { it.zone != preferredZone }.map { it.callerAddress }.take(MAX_ADDRESSES)
    }

    /**
     * Returns the rank of this instance, in an order determined by [subject], among the live instances that reach the
     * store; 0 is the first.
     */
    public fun rank(subject: String, now: MonotonicTime): Int {
        val own = rendezvousWeight(subject, self.id.text)
        return peers.values.count { it.reachesStore && isLive(it, now) && rendezvousWeight(subject, it.member.id.text) > own }
    }

    /**
     * Returns the position of this instance, in an order determined by [subject], among the live instances that serve callers; null if
     * it does not serve them itself.
     */
    public fun servingPosition(subject: String, now: MonotonicTime): FleetPosition? {
        if (!selfServes) return null
        val own = rendezvousWeight(subject, self.id.text)
        val serving = peers.values.filter { it.serves && isLive(it, now) }
        return FleetPosition(serving.count { rendezvousWeight(subject, it.member.id.text) > own }, serving.size + 1)
    }

    /**
     * Returns whether this instance should read the store itself, because it is among the first [STORE_READERS] of
     * the instances that reach the store. The others learn of changes from the readers, so that the number of reads
     * does not grow with the fleet.
     */
    public fun isStoreReader(now: MonotonicTime): Boolean = readerRank(now) < STORE_READERS

    /** Returns whether this instance is the first store reader, whose reads reveal first that the store does not answer. */
    public fun isFirstStoreReader(now: MonotonicTime): Boolean = readerRank(now) == 0

    /** Returns whether this instance is among the [STORE_CHECKERS] that read the store themselves when a reader has lost it. */
    public fun isStoreChecker(now: MonotonicTime): Boolean = readerRank(now) < STORE_CHECKERS

    /** Returns the rank of this instance in the order of the store readers, as [rank] does. */
    private fun readerRank(now: MonotonicTime): Int =
        peers.values.count { it.readerWeight > ownReaderWeight && it.reachesStore && isLive(it, now) }

    /** Returns whether [id] could reach the store according to its last message; false if there was none. */
    public fun reachesStore(id: InstanceId): Boolean = peers[id]?.reachesStore ?: false

    private fun isLive(peer: Peer, now: MonotonicTime): Boolean {
        val lastContactAt = peer.lastContactAt ?: return false
        return now - lastContactAt < if (peer.wasRelayed) RELAYED_LIVENESS_TIMEOUT else livenessTimeout
    }

    private companion object {
        /**
         * Three missed digests, which are sent every 400 ms, so that the loss of one datagram does not make an instance
         * count as lost.
         */
        val LIVENESS_TIMEOUT = 1_300.milliseconds

        /**
         * A state that passes two relays is as old as the period of a digest and of a bundle together, 1.2 s; a lost
         * bundle adds 0.8 s.
         */
        val RELAYED_LIVENESS_TIMEOUT = 3_000.milliseconds

        /**
         * The number of peers from which on an instance no longer sends everything to all others. In a fleet of this
         * size each instance sends and receives 40 digests per second, which takes a hundredth of a small core.
         */
        const val MAX_MESH_PEERS = 16

        /** With two relays, one may stop without cutting its zone off. */
        const val RELAYS_PER_ZONE = 2
        const val RELAY_SUBJECT = "zone-speakers"

        /**
         * The number of readers that may lose the store, or their connection, at the same time without delaying
         * changes for longer than the liveness timeout.
         */
        const val STORE_READERS = 3
        const val STORE_READER_SUBJECT = "store-readers"

        /** The size of a small fleet; a store that rejects some instances seldom rejects this many. */
        const val STORE_CHECKERS = 8

        /** With five instances, the loss of one adds no more than a quarter to the load of each other one of the zone. */
        const val MIN_ZONE_INSTANCES = 5

        /** The largest number of addresses in a response to a caller. */
        const val MAX_ADDRESSES = 64
    }
}
