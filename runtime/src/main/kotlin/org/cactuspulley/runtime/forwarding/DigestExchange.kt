package org.cactuspulley.runtime.forwarding

import kotlinx.serialization.ExperimentalSerializationApi
import org.cactuspulley.core.forwarding.CachedPrefix
import org.cactuspulley.core.forwarding.ClaimNumber
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.Occupancy
import org.cactuspulley.core.forwarding.SaveNotice
import org.cactuspulley.core.forwarding.TokenBucketUsage
import org.cactuspulley.core.forwarding.WeightRollout
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exchanges state digests with the peers of this instance (gossip).
 *
 * In a small fleet every instance sends its digests to all others. In a large fleet an instance sends them to its own zone only;
 * the zone's relays bundle the digests they receive and send the bundle to the relays of the other zones, which forward it
 * within their zones. New records of operators and targets, crash notices, and the digests of the instance that issues weight
 * orders go to all instances directly.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class DigestExchange(
    private val context: ForwardingContext,
    private val self: FleetMember,
    private val rollout: WeightRollout,
    private val operations: StoreFollower,
    private val registry: TargetRegistry,
    private val onUpdate: () -> Unit,
    private val sendTo: (PeerMessage, List<HostAndPort>) -> Unit,
) {
    /** The newest digest of a peer; [digest] is kept only if a peer of the same zone sent it directly, and is null otherwise. */
    private class ReceivedDigest(val incarnation: Long, val sequence: Long, val at: MonotonicTime, val digest: FleetDigest?)

    /** How far a peer has read each topic in [era], when it said so and when records were last relayed to it. */
    private class PeerPosition(
        val address: HostAndPort,
        val era: Long,
        val operationsNext: Long?,
        val registryNext: Long?,
        val heardAt: MonotonicTime,
        var relayedAt: MonotonicTime?,
    )

    /** Called with how far a peer that reaches the store knows the operators' topic, and when it said so. */
    var onStorePosition: (era: Long, operationsNext: Long?, at: MonotonicTime) -> Unit = { _, _, _ -> }
    private val state = context.state
    private val positions = HashMap<InstanceId, PeerPosition>()

    private val newestDigests = HashMap<InstanceId, ReceivedDigest>()

    /** The sequence number of the last digest of this instance. */
    private var sequence = 0L

    /** Since when some peer has been ahead of this instance in the operators' topic; null if none is. */
    private var laggingSince: MonotonicTime? = null

    /**
     * Whether this instance reads the operators' topic itself. It does if it is one of the fleet's readers, or if a peer has
     * been ahead for a while without its records arriving here; those may not fit into a datagram.
     */
    fun shouldReadOperations(now: MonotonicTime): Boolean {
        val next = operations.replica.next ?: return true
        val isLagging = operations.isOutdated || positions.values.any {
            now - it.heardAt < POSITION_LIFETIME && it.era == operations.replica.era && (it.operationsNext ?: next) > next
        }
        laggingSince = if (isLagging) laggingSince ?: now else null
        return state.fleet.isStoreReader(now) || laggingSince?.let { now - it > RELAY_TIMEOUT } ?: false
    }

    /** Sends this instance's digest to its peers, and to each lagging peer also the records that it is missing. */
    fun sendDigests() {
        val now = context.clock.now()
        val ownDigest = ownDigest(now).copy(saved = state.cache.drainSaveNotices(now).map(::encoded))
        val rangesByPeer = pendingRanges(now)
        sendTo(PeerMessage(ownDigest), recipients() - rangesByPeer.keys.map { it.address }.toSet())
        rangesByPeer.forEach { (peer, ranges) -> sendTo(PeerMessage(ownDigest.copy(relayedRanges = ranges)), listOf(peer.address)) }
    }

    private fun encoded(notice: SaveNotice) =
        EncodedSaveNotice(notice.prefix.scope, notice.prefix.lastPiece, notice.availableIn.inWholeMilliseconds)

    /**
     * The addresses of the peers that receive regular digests. The instance that issues weight orders sends its digests to all, so that
     * they know how old its claim is before they take it over.
     */
    private fun recipients(): List<HostAndPort> {
        val fleet = state.fleet
        return addresses(if (fleet.isLarge && rollout.lastToken == null) fleet.sameZoneMembers else fleet.known)
    }

    /**
     * The lagging peers and the records that each is missing. In a large fleet only readers and relays serve lagging peers, in
     * their own zone and among the relays of the other zones, whose positions arrive late. Records that were sent recently are
     * still in transit and are not sent again, because repeating a large record each time congests a slow link.
     */
    private fun pendingRanges(now: MonotonicTime): Map<PeerPosition, List<RelayedRange>> {
        val fleet = state.fleet
        if (fleet.isLarge && !fleet.isStoreReader(now) && !isZoneRelay(now)) return emptyMap()
        val served = if (fleet.isLarge) fleet.sameZoneMembers + fleet.otherZones.flatMap { fleet.zoneRelays(it, now) } else fleet.known
        return served.mapNotNull { positions[it.id] }
            .filter { now - it.heardAt < POSITION_LIFETIME && now - (it.relayedAt ?: MonotonicTime.ZERO) >= RELAY_INTERVAL }
            .associateWith { missingRanges(it) }
            .filterValues { it.isNotEmpty() }
            .onEach { (peer, _) -> peer.relayedAt = now }
    }

    private fun isZoneRelay(now: MonotonicTime) = state.fleet.zoneRelays(self.zone, now).any { it.id == self.id }

    private fun addresses(members: List<FleetMember>) = members.mapNotNull { HostAndPort.parse(it.peerAddress) }

    /** Sends the digests of this zone to the relays of the other zones; only the relays of a large fleet do so. */
    fun sendZoneBundle() {
        val now = context.clock.now()
        val fleet = state.fleet
        if (!fleet.isLarge) return
        val relayPosition = fleet.zoneRelays(self.zone, now).indexOfFirst { it.id == self.id }
        if (relayPosition < 0) return
        val own = toBundled(ownDigest(now), now, now)
        val recent = newestDigests.values.filter { now - it.at < POSITION_LIFETIME }
        val zoneDigests = recent.mapNotNull { received -> received.digest?.let { toBundled(it, received.at, now) } }
        val bundle = DigestBundle(self.zone.text, isForwarded = false, zoneDigests + own)
        val recipients = fleet.otherZones.mapNotNull { fleet.relayDestination(it, relayPosition, sequence, now) }
        sendTo(PeerMessage(bundle = bundle), addresses(recipients))
    }

    private fun toBundled(digest: FleetDigest, heardAt: MonotonicTime, now: MonotonicTime) = BundledDigest(
        digest.id,
        digest.incarnation,
        digest.sequence,
        (now - heardAt).inWholeMilliseconds,
        peerCodec.encodeToByteArray(FleetDigest.serializer(), digest.copy(relayedRanges = emptyList())),
    )

    /** Sends the records that this instance has just read from the registry to all live peers. */
    fun registryWasRead(from: Long?, changed: List<KeyedRecord>) {
        sendRecords(registry.replica, StoreTopic.REGISTRY, from, changed)
    }

    /** Sends the operators' records that this instance has just read to all live peers. */
    fun operationsWereRead(from: Long?, changed: List<KeyedRecord>) = sendRecords(operations.replica, StoreTopic.OPERATIONS, from, changed)

    private fun sendRecords(replica: TopicReplica, topic: StoreTopic, from: Long?, changed: List<KeyedRecord>) {
        val now = context.clock.now()
        val next = replica.next ?: return
        if (from == null) return
        val range = RelayedRange(topic, from, next, changed.map(::toRelayed), era = replica.era)
        val digest = ownDigest(now).let { if (state.fleet.isLarge) it.withoutState() else it }
        sendTo(PeerMessage(digest.copy(relayedRanges = listOf(range))), addresses(state.fleet.live(now)))
    }

    /** The digest without the state of targets and workspaces, which follows with the regular digests; this keeps the datagram small. */
    private fun FleetDigest.withoutState() = copy(
        uses = emptyList(),
        excluded = emptyList(),
        work = emptyList(),
        loading = emptyList(),
        shownWeights = emptyList(),
        releaseEvidence = emptyList(),
        occupancy = null,
        speeds = emptyList(),
    )

    /** Sends this instance's digest to all peers, also in a large fleet. */
    fun sendToAll() = sendTo(PeerMessage(ownDigest(context.clock.now())), addresses(state.fleet.known))

    private fun missingRanges(peer: PeerPosition): List<RelayedRange> =
        listOfNotNull(
            missingRange(operations.replica, StoreTopic.OPERATIONS, peer.era, peer.operationsNext, age = null),
            missingRange(registry.replica, StoreTopic.REGISTRY, peer.era, peer.registryNext, age = registry.age(context.clock.now())),
        )

    /**
     * The records of [topic] that a peer is missing which knows those before [peerNext] of [peerEra]; [age] is the time since they were
     * read.
     */
    private fun missingRange(replica: TopicReplica, topic: StoreTopic, peerEra: Long, peerNext: Long?, age: Duration?): RelayedRange? {
        if (replica.era < context.storeEra.current) return null
        val next = replica.next ?: return null
        val from = peerNext.takeIf { peerEra == replica.era }
        if (from != null && from >= next) return null
        val changes = from?.let(replica::completeChangesSince)
        val ageMillis = age?.inWholeMilliseconds ?: 0
        if (changes == null) return RelayedRange(topic, null, next, replica.all().map(::toRelayed), ageMillis, replica.era)
        return RelayedRange(topic, from, next, changes.map(::toRelayed), ageMillis, replica.era)
    }

    private fun toRelayed(record: KeyedRecord) = RelayedRecord(record.key, record.offset, record.value)

    /** The digest of this instance; with all that its quarantine holds if [isComplete]. */
    private fun ownDigest(now: MonotonicTime, isComplete: Boolean = false): FleetDigest {
        return FleetDigest(
            id = self.id.text,
            incarnation = self.incarnation.number,
            sequence = ++sequence,
            zone = self.zone.text,
            callerAddress = self.callerAddress,
            peerAddress = self.peerAddress,
            serves = state.fleet.selfServes,
            linkMegabits = self.linkMegabits,
            reachesStore = !operations.isFailing,
            storeEra = context.storeEra.current,
            operationsNext = operations.replica.nextInCurrentEra(),
            registryNext = registry.replica.nextInCurrentEra(),
            claimFence = rollout.lastToken,
            uses = state.allTokenBuckets.map { (workspace, bucket) ->
                bucket.usage(now).let { WorkspaceUsage(workspace.text, it.total, it.perSecond, it.available) }
            },
            excluded = state.directory.all.mapNotNull { target ->
                target.health.localExclusion(now)?.let { ExcludedTarget(target.id.text, it.inWholeMilliseconds) }
            },
            work = state.directory.all.filter { it.load.local > 0 }.map { TargetWork(it.id.text, it.load.local) },
            loading = rollout.loading.map { it.text },
            shownWeights = shownWeights(),
            namedWeights = state.desiredWeights.namedWithin(state.weightsLimits.reportedAge, now).map {
                NamedWeights(it.model.text, it.version, (now - it.namedAt).inWholeMilliseconds)
            },
            failingStores = state.cache.unresponsiveStores,
            crashNotices = if (context.quarantine.isAwaitingPeers(now)) null else context.quarantine.notices(now, isComplete),
            leaving = context.leavingTargets.notices(now),
            limits = context.rateLimits.notices(now),
            occupancy = if (state.capacity.isEnabled) occupancy() else null,
            releases = context.releases.notices(now),
            releaseEvidence = context.releases.evidenceNotices(),
            speeds = if (state.targetSpeeds == null) emptyList() else slowdowns(now),
        )
    }

    private fun occupancy() = state.directory.all.filter { it.occupancy.local.requests > 0 }.map { target ->
        target.occupancy.local.let { TargetOccupancyNotice(target.id.text, it.requests, it.tokens) }
    }

    private fun slowdowns(now: MonotonicTime): List<TargetSlowdown> =
        state.directory.all.mapNotNull { target -> target.speed.reportToPeers(now)?.let { TargetSlowdown(target.id.text, it) } }

    private fun TopicReplica.nextInCurrentEra(): Long? = next.takeIf { era == context.storeEra.current }

    private fun shownWeights(): List<ObservedWeights> = state.desiredWeights.all.flatMap { desired ->
        state.directory.all.filter {
            (it.entry.weights[desired.model] ?: desired.version) < desired.version &&
                it.weights(desired.model) == desired.version
        }
            .map { ObservedWeights(it.id.text, desired.model.text, desired.version) }
    }

    /** Applies a message that a peer sent. */
    fun receive(message: PeerMessage) {
        message.digest?.let { processDigest(it, context.clock.now(), isRelayed = false) }
        message.bundle?.let(::receiveBundle)
        onUpdate()
    }

    private fun receiveBundle(bundle: DigestBundle) {
        val now = context.clock.now()
        val newDigests = bundle.digests.filter { isNew(InstanceId(it.id), it.incarnation, it.sequence) }
        newDigests.forEach { bundled ->
            decode(bundled)?.let { processDigest(it, now - bundled.ageMillis.milliseconds, isRelayed = true) }
        }
        if (bundle.isForwarded || bundle.zone == self.zone.text) return
        sendTo(PeerMessage(bundle = bundle.copy(isForwarded = true)), addresses(state.fleet.sameZoneMembers))
    }

    /** Decodes one digest of a bundle; returns null if that fails, because the other digests of the bundle are still of use. */
    private fun decode(bundled: BundledDigest): FleetDigest? = try {
        peerCodec.decodeUntrusted(FleetDigest.serializer(), bundled.encoded)
    } catch (failure: Exception) {
        context.log.event("digest_unreadable", "peer" to bundled.id, "reason" to failure.toString())
        null
    }

    private fun isNew(peer: InstanceId, incarnation: Long, sequence: Long): Boolean {
        val known = newestDigests[peer] ?: return peer != self.id
        return known.incarnation != incarnation || known.sequence < sequence
    }

    /** Applies a peer's digest that was sent at [at]; [isRelayed] says whether it came in a bundle. */
    private fun processDigest(digest: FleetDigest, at: MonotonicTime, isRelayed: Boolean) {
        val now = context.clock.now()
        val member = digest.member()
        val peer = member.id
        if (peer == self.id) return
        context.storeEra.recordPeer(peer.text, digest.storeEra)
        val hasLostStore = state.fleet.reachesStore(peer) && !digest.reachesStore
        if (state.fleet.recordContact(member, digest.serves, digest.reachesStore, at, isRelayed)) {
            context.log.event("peer_live", "peer" to peer.text)
        }
        if (isNew(peer, digest.incarnation, digest.sequence)) {
            newestDigests[peer] =
                ReceivedDigest(digest.incarnation, digest.sequence, at, digest.takeIf { !isRelayed && it.zone == self.zone.text })
            applyState(peer, digest, at, until = at + if (isRelayed) RELAYED_LIFETIME else STATE_LIFETIME)
        }
        // The store may leave all of its regular readers without an answer and still answer other instances.
        if (hasLostStore && state.fleet.isStoreChecker(now)) operations.read()
        if (digest.crashNotices == null && !isRelayed && !context.quarantine.isAwaitingPeers(now)) answerStartedPeer(digest, now)
        digest.claimFence?.let { recordPeerClaim(peer, it) }
        digest.relayedRanges.forEach { applyRelayed(peer, it, now) }
        // The relayed records may hold the versions.
        digest.namedWeights.forEach {
            state.desiredWeights.recordPeerAge(ModelName(it.model), it.version, at - it.ageMillis.milliseconds)
        }
    }

    /** Tells a peer that has just started what the fleet holds back, without which it runs no request. */
    private fun answerStartedPeer(digest: FleetDigest, now: MonotonicTime) {
        val address = HostAndPort.parse(digest.peerAddress) ?: return
        sendTo(PeerMessage(ownDigest(now, isComplete = true)), listOf(address))
    }

    /** Applies the state that [peer] had at [at]; its load, its loading targets and its unresponsive stores count [until] then. */
    private fun applyState(peer: InstanceId, digest: FleetDigest, at: MonotonicTime, until: MonotonicTime) {
        HostAndPort.parse(digest.peerAddress)?.let {
            positions[peer] = PeerPosition(it, digest.storeEra, digest.operationsNext, digest.registryNext, at, positions[peer]?.relayedAt)
        }
        digest.uses.forEach { use ->
            val reported = TokenBucketUsage(use.total, use.perSecond, use.available)
            state.tokenBucket(WorkspaceId(use.workspace))?.recordPeerUsage(peer, InstanceIncarnation(digest.incarnation), reported, at)
        }
        digest.saved.forEach {
            state.cache.recordPeerSave(SaveNotice(CachedPrefix(it.scope, it.piece), it.settlesInMillis.milliseconds), at)
        }
        digest.failingStores.forEach { state.cache.recordPeerStoreFailure(it, until, context.clock.now()) }
        digest.crashNotices?.let { context.quarantine.receive(peer, it, at) }
        context.leavingTargets.receive(peer.text, digest.leaving)
        context.rateLimits.receive(peer.text, digest.limits, at)
        context.releases.receive(peer, digest, at)
        if (digest.reachesStore) onStorePosition(digest.storeEra, digest.operationsNext, at)
        digest.excluded.forEach { state.directory[TargetId(it.target)]?.health?.recordPeerExclusion(it.millis.milliseconds, at) }
        digest.work.forEach { state.directory[TargetId(it.target)]?.load?.recordPeerLoad(peer, it.units, until) }
        digest.occupancy?.let { recordOccupancy(peer, it, until) }
        digest.speeds.forEach { state.directory[TargetId(it.target)]?.speed?.recordPeer(peer, it.slowdown, until) }
        digest.loading.forEach { state.directory[TargetId(it)]?.loadingUntil = until }
        digest.shownWeights.forEach { state.directory[TargetId(it.target)]?.recordWeights(ModelName(it.model), it.version) }
    }

    /** Replaces what [peer] reported before: it has nothing in flight at targets that it no longer names. */
    private fun recordOccupancy(peer: InstanceId, notices: List<TargetOccupancyNotice>, until: MonotonicTime) {
        val byTarget = notices.associateBy { it.target }
        state.directory.all.forEach { target ->
            val notice = byTarget[target.id.text]
            target.occupancy.recordPeer(peer, Occupancy(notice?.requests ?: 0, notice?.tokens ?: 0), until)
        }
    }

    private fun recordPeerClaim(peer: InstanceId, token: Long) {
        val ownToken = rollout.lastToken
        val lastHolder = rollout.holder
        if (!rollout.recordClaim(peer, ClaimNumber.of(token), context.clock.now())) return
        // A holder renews its claim several times a second.
        if (peer != lastHolder) context.log.event("claim_heard", "holder" to peer.text, "fence" to token, "ownFence" to ownToken)
    }

    private fun applyRelayed(peer: InstanceId, range: RelayedRange, now: MonotonicTime) {
        when (range.topic) {
            StoreTopic.OPERATIONS -> operations.applyRelayed(range, now)
            StoreTopic.REGISTRY -> registry.applyRelayed(peer, range, now)
            else -> context.log.event("relay_ignored", "topic" to range.topic.name)
        }
    }

    private fun FleetDigest.member() =
        FleetMember(InstanceId(id), InstanceIncarnation(incarnation), ZoneName(zone), callerAddress, peerAddress, linkMegabits)

    private companion object {
        /** How long a peer's read position is valid; after that, the peer may have read further by itself or have stopped. */
        val POSITION_LIFETIME: Duration = 1.seconds

        /** How long to wait for a peer's records: they come with its next digest after 400 ms, or with the second if that is lost. */
        val RELAY_TIMEOUT: Duration = 900.milliseconds

        /**
         * The minimum time between two relays of records to one peer: it lets the records arrive and the peer's next digest confirm
         * them. It is shorter than two digest periods, because one of the two digests may be lost.
         */
        val RELAY_INTERVAL: Duration = 700.milliseconds

        /** How long a peer's load, loading targets and unresponsive stores count; two digests later they have mostly changed. */
        val STATE_LIFETIME: Duration = 900.milliseconds

        /** The same for bundled digests, which arrive up to one digest period and one bundle period later. */
        val RELAYED_LIFETIME: Duration = 2.seconds
    }
}
