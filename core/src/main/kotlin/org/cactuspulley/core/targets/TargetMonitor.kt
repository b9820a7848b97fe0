package org.cactuspulley.core.targets

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.ReadCacheEvents
import org.cactuspulley.core.effect.ReadStatus
import org.cactuspulley.core.effect.RecordOnTimeline
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.CacheChanged
import org.cactuspulley.core.event.CacheEventsFailed
import org.cactuspulley.core.event.CacheEventsRead
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.StatusFailed
import org.cactuspulley.core.event.StatusRead
import org.cactuspulley.core.event.TargetCrashDetected
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.message.CacheDigest
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.message.PlacementNotice
import org.cactuspulley.core.message.TargetCrashReport
import org.cactuspulley.core.message.TargetMessage
import org.cactuspulley.core.message.TargetSummaries
import org.cactuspulley.core.message.TargetSummary
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.model.rendezvousRank
import org.cactuspulley.core.platform.CacheEventKind
import org.cactuspulley.core.platform.CacheEventPage
import org.cactuspulley.core.timeline.TargetHealthChanged
import org.cactuspulley.core.timeline.TargetRestarted
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings for monitoring targets.
 *
 * @property statusInterval the time between two status reads by the watcher.
 * @property statusTimeout the time that a target has to answer a status read.
 * @property fallbackInterval the time without news after which an instance that is not the watcher reads the status
 *    itself.
 * @property eventWait the time that a read of cache events waits for events.
 * @property maxHashesPerDigest the largest number of piece hashes that are sent to peers after one read of cache
 *    events.
 */
public data class TargetMonitorSettings(
    val statusInterval: Duration = 250.milliseconds,
    val statusTimeout: Duration = 1.seconds,
    val fallbackInterval: Duration = 2.seconds,
    val eventWait: Duration = 1.seconds,
    val maxHashesPerDigest: Int = 512,
)

/**
 * Maintains what this instance knows about the targets. One instance, selected by rendezvous hashing among those in
 * the zone of the target, reads the status and the cache events of a target and sends them to the others. An instance
 * that receives no news about a target for a while, or whose own requests fail there, reads the status itself.
 */
public class TargetMonitor(
    private val self: InstanceId,
    private val settings: TargetMonitorSettings = TargetMonitorSettings(),
) : CorePart, TargetDirectory {
    private val states = LinkedHashMap<TargetId, TargetWatchState>()
    private val pools = HashMap<PoolName, List<TargetId>>()
    private var membership = Membership(self, emptyMap())

    override var configuration: Configuration = Configuration()
        private set

    override val targets: Collection<KnownTarget> get() = states.values.map { it.known }

    override val nextDeadline: MonotonicTime?
        get() = states.values.minOfOrNull { it.nextStatusAt }

    override fun inPool(pool: PoolName): List<KnownTarget> = pools[pool].orEmpty().mapNotNull(::find)

    override fun find(target: TargetId): KnownTarget? = states[target]?.known

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> = when (event) {
        is ConfigurationChanged -> applyConfiguration(event.configuration, now)
        is MembershipChanged -> updateMembership(event.membership, now)
        is TimerFired -> readDueStatuses(now)
        is StatusRead -> onStatusRead(event, now)
        is StatusFailed -> onStatusFailed(event, now)
        is CacheEventsRead -> onCacheEventsRead(event.target, event.page, now)
        is CacheEventsFailed -> onCacheEventsFailed(event.target)
        is TargetCrashDetected -> onCrashSeen(event.target, now) + sendToPeers(TargetCrashReport(event.target))
        is PeerMessageReceived -> (event.message as? TargetMessage)?.let { onPeerMessage(it, now) }.orEmpty()
        else -> emptyList()
    }

    /** Returns whether this instance is the watcher of [target]. */
    public fun watches(target: TargetId): Boolean = states[target]?.isWatched ?: false

    private fun applyConfiguration(configuration: Configuration, now: MonotonicTime): List<CoreEffect> {
        this.configuration = configuration
        states.keys.retainAll(configuration.targets.keys)
        for ((id, versioned) in configuration.targets) {
            val target = versioned.value
            val state = states[id]
            if (state == null || state.known.target.hasOtherEndpointThan(target)) {
                states[id] = TargetWatchState(KnownTarget(target), now)
            } else {
                state.known = state.known.copy(target = target)
            }
        }
        pools.clear()
        configuration.targets.values.groupBy({ it.value.pool }, { it.value.id }).toMap(pools)
        assignWatchers()
        return readDueStatuses(now)
    }

    private fun updateMembership(membership: Membership, now: MonotonicTime): List<CoreEffect> {
        this.membership = membership
        assignWatchers()
        return readDueStatuses(now)
    }

    private fun assignWatchers() {
        for (state in states.values) {
            val isWatcher = watcherOf(state.known.target, membership.live).let { it == null || it == self }
            if (isWatcher && !state.isWatched) state.events.restart()
            state.isWatched = isWatcher
        }
    }

    private fun readDueStatuses(now: MonotonicTime): List<CoreEffect> =
        states.values.filter { it.nextStatusAt <= now }.flatMap { readStatus(it, now) }

    private fun readStatus(state: TargetWatchState, now: MonotonicTime): List<CoreEffect> {
        state.nextStatusAt = now + (if (state.isWatched) settings.statusInterval else settings.fallbackInterval)
        val effects = mutableListOf<CoreEffect>(ReadStatus(state.known.target, now + settings.statusTimeout))
        readEvents(state, now)?.let(effects::add)
        return effects
    }

    private fun readEvents(state: TargetWatchState, now: MonotonicTime): CoreEffect? {
        if (!state.isWatched || state.known.target.kind != TargetKind.ENGINE || state.events.readInFlight) return null
        state.events.readInFlight = true
        val waitUntil = now + settings.eventWait
        return ReadCacheEvents(state.known.target, state.events.next, waitUntil, waitUntil + settings.statusTimeout)
    }

    private fun onStatusRead(event: StatusRead, now: MonotonicTime): List<CoreEffect> {
        val state = states[event.target] ?: return emptyList()
        val effects = mutableListOf<CoreEffect>()
        if (!state.isNewer(event.askedAt)) return emptyList()
        effects += state.updateAndRecord { state.recordStatus(event.status, event.askedAt) }
        if (state.isWatched) effects += publishStatus(state, now)
        return effects
    }

    private fun onStatusFailed(event: StatusFailed, now: MonotonicTime): List<CoreEffect> {
        val state = states[event.target] ?: return emptyList()
        if (!state.isNewer(event.askedAt)) return emptyList()
        val effects = state.updateAndRecord { state.recordStatusFailure() }
        return if (state.isWatched) effects + publishStatus(state, now) else effects
    }

    private fun onCrashSeen(target: TargetId, now: MonotonicTime): List<CoreEffect> {
        val state = states[target] ?: return emptyList()
        val effects = state.updateAndRecord { state.recordCrash(now) }
        state.nextStatusAt = now
        return effects + readStatus(state, now)
    }

    private fun onCacheEventsRead(target: TargetId, page: CacheEventPage, now: MonotonicTime): List<CoreEffect> {
        val state = states[target] ?: return emptyList()
        if (state.events.detectRestart(page)) return listOfNotNull(readEvents(state, now))
        val complete = state.events.advance(page)
        val nextRead = listOfNotNull(readEvents(state, now))
        if (!state.isWatched || (page.events.isEmpty() && complete)) return nextRead
        val digest = digest(target, page, complete)
        return listOf(Publish(digest.toEvent())) + sendToPeers(digest) + nextRead
    }

    private fun digest(target: TargetId, page: CacheEventPage, complete: Boolean): CacheDigest {
        val lastClear = page.events.indexOfLast { it.kind == CacheEventKind.CLEARED }
        val latestKinds = page.events.drop(lastClear + 1).associate { it.chain to it.kind }
        val stored = latestKinds.filterValues { it == CacheEventKind.STORED }.keys.toList()
        val evicted = latestKinds.filterValues { it == CacheEventKind.EVICTED }.keys.toList()
        val keptEvicted = evicted.take(settings.maxHashesPerDigest)
        return CacheDigest(
            target = target,
            incarnation = page.incarnation,
            stored = stored.take(settings.maxHashesPerDigest - keptEvicted.size),
            evicted = keptEvicted,
            cleared = lastClear >= 0,
            complete = complete && keptEvicted.size == evicted.size,
        )
    }

    private fun onCacheEventsFailed(target: TargetId): List<CoreEffect> {
        states[target]?.events?.readInFlight = false
        return emptyList()
    }

    private fun onPeerMessage(message: TargetMessage, now: MonotonicTime): List<CoreEffect> = when (message) {
        is TargetSummaries -> message.summaries.flatMap { onSummary(it, now) }
        is CacheDigest -> listOf(Publish(message.toEvent()))
        is TargetCrashReport -> onCrashReport(message.target, now)
        is PlacementNotice -> emptyList()
    }

    private fun onSummary(summary: TargetSummary, now: MonotonicTime): List<CoreEffect> {
        val state = states[summary.target] ?: return emptyList()
        val askedAt = now - summary.ageMillis.milliseconds
        if (state.isWatched || !state.isNewer(askedAt)) return emptyList()
        state.nextStatusAt = now + settings.fallbackInterval
        return state.updateAndRecord {
            summary.status?.let { state.recordStatus(it, askedAt) } ?: state.recordStatusFailure(summary.failures)
        }
    }

    /**
     * Reads the status of [target] immediately if this instance watches it; the report of a peer alone does not make
     * a target suspected.
     */
    private fun onCrashReport(target: TargetId, now: MonotonicTime): List<CoreEffect> {
        val state = states[target]?.takeIf { it.isWatched } ?: return emptyList()
        return readStatus(state, now)
    }

    private fun publishStatus(state: TargetWatchState, now: MonotonicTime): List<CoreEffect> {
        val age = state.loadAgeMillis(now)
        return sendToPeers(TargetSummaries(listOf(TargetSummary(state.known.target.id, state.status, age, state.failures))))
    }

    private fun sendToPeers(message: PeerMessage): List<CoreEffect> =
        membership.instances.keys.filter { it != self }.map { SendToPeer(it, message) }
}

/** Returns the instance among [live] that watches [target], or null if there is none. */
public fun watcherOf(target: Target, live: List<Instance>): InstanceId? {
    val sameZone = live.filter { it.zone == target.zone }
    return rendezvousRank(target.id.text, sameZone.ifEmpty { live }) { it.id.text }.firstOrNull()?.id
}

private fun Target.hasOtherEndpointThan(other: Target): Boolean = host != other.host || port != other.port || kind != other.kind

private fun CacheDigest.toEvent(): CacheChanged =
    CacheChanged(target, TargetIncarnation(incarnation), stored, evicted, cleared, complete)

private inline fun TargetWatchState.updateAndRecord(update: () -> Unit): List<CoreEffect> {
    val before = known
    update()
    val effects = mutableListOf<CoreEffect>()
    if (before.health != known.health) {
        effects += RecordOnTimeline(TargetHealthChanged(known.target.id, before.health.name, known.health.name))
    }
    val restarted = before.incarnation != null && known.incarnation != null && before.incarnation != known.incarnation
    if (restarted) effects += RecordOnTimeline(TargetRestarted(known.target.id, known.incarnation!!.number))
    return effects
}
