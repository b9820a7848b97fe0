package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.fold
import org.cactuspulley.core.forwarding.DirectoryChange
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the directory of targets up to date with the platform's registry.
 *
 * Every target writes a heartbeat, so a long read would return at once. Instead the live instances read the registry in turn, and
 * each sends the changes to the others, so that the number of reads does not grow with the fleet.
 */
internal class TargetRegistry(
    private val context: ForwardingContext,
    store: RecordStore,
    private val records: RecordDecoder,
    private val onChange: () -> Unit,
) {
    private val state = context.state
    private val follower = StoreFollower(context, store, StoreTopic.REGISTRY, RegistryListener(), null) { false }

    /** The instance that read the registry last; null if none is known. */
    private var lastReader: InstanceId? = null

    /** When the store returned the newest records that this instance knows, to itself or to a peer; null if it knows none. */
    private var knownAt: MonotonicTime? = null

    /** When the store last answered a read of the registry, as far as this instance knows; null if never. */
    private var answeredAt: MonotonicTime? = null

    /** The peer whose records are being applied; null for records from the store. */
    private var relayedBy: InstanceId? = null

    /** The registry's records that are known so far. */
    val replica: TopicReplica get() = follower.replica

    /** Called after each successful read, with the records that changed since offset `from`; null stands for the first read. */
    var onRead: (from: Long?, changed: List<KeyedRecord>) -> Unit = { _, _ -> }

    init {
        follower.onRead = { from, changed ->
            // All instances of a fleet that starts read at the same time, so that the first read of one is nobody's turn.
            if (from != null) lastReader = state.fleet.selfId
            knownAt = context.clock.now()
            onRead(from, changed)
        }
    }

    /** Returns the time since the newest known records were read from the store; null if none are known. */
    fun age(now: MonotonicTime): Duration? = knownAt?.let { now - it }

    /** Reads the registry. */
    fun read() = follower.read()

    /** Applies what is due at [now] and reads the registry if it is this instance's turn; a timer calls it. */
    fun advance(now: MonotonicTime) {
        for (id in state.directory.applyDeferredRemovals(now)) {
            context.log.event("target_removed", "target" to id.text)
            context.connections.drop(id)
        }
        if (isDue(now)) read()
    }

    /**
     * Live instances take turns; an instance that receives no records reads by itself. The wait is limited, because the instances
     * before it may have stopped or may not reach the store.
     */
    private fun isDue(now: MonotonicTime): Boolean {
        val lastKnownAt = knownAt ?: return replica.next != null
        if (now - lastKnownAt < READ_PERIOD) return false
        val selfId = state.fleet.selfId
        val ids = (state.fleet.live(now).map { it.id.text } + selfId.text).sorted()
        val last = ids.indexOf(lastReader?.text)
        val turn = if (last < 0) ids.indexOf(selfId.text) else Math.floorMod(ids.indexOf(selfId.text) - last - 1, ids.size)
        return now - lastKnownAt >= READ_PERIOD + READ_STAGGER * minOf(turn, MAX_TURNS)
    }

    /** Applies records that [peer] relayed and that arrived at [now]. */
    fun applyRelayed(peer: InstanceId, range: RelayedRange, now: MonotonicTime) {
        val readAt = now - range.ageMillis.milliseconds
        relayedBy = peer
        val isOfUse = follower.applyRelayed(range, readAt)
        relayedBy = null
        if (!isOfUse || replica.next != range.next) return
        lastReader = peer
        knownAt = maxOf(knownAt ?: readAt, readAt)
    }

    private inner class RegistryListener : TopicListener {
        override fun recordChanged(record: KeyedRecord): Boolean {
            val value = record.value
            val id = TargetId(record.key.removePrefix(records.targetKeyPrefix))
            val change = if (value == null) state.directory.remove(id, context.clock.now()) else updateDirectory(record.key, value)
            if (change in UNREPORTED_CHANGES) return false
            context.log.event(
                "target_${change.name.lowercase()}",
                "target" to id.text,
                "offset" to record.offset,
                "relayedBy" to relayedBy?.text,
            )
            if (change == DirectoryChange.REMOVED || change == DirectoryChange.RESTARTED) context.connections.drop(id)
            onChange()
            return true
        }

        private fun updateDirectory(key: String, value: ByteArray): DirectoryChange = records.target(key, value).fold(
            success = { entry ->
                if (!entry.isLeaving) state.releases.recordEntry(entry.pool, entry.softwareVersion, context.clock.now())
                state.directory.upsert(entry)
            },
            failure = { failure ->
                context.log.event("target_record_unreadable", "key" to failure.key, "reason" to failure.reason)
                DirectoryChange.STALE
            },
        )

        /** Detects the end of an outage. A store that fails only this instance still answers its peers, which relay the records. */
        override fun storeAnswered(at: MonotonicTime) {
            val last = answeredAt
            if (last != null && at - last > OUTAGE_THRESHOLD) {
                context.log.event("registry_recovered", "gapMillis" to (at - last).inWholeMilliseconds, "relayedBy" to relayedBy?.text)
                state.directory.registryRecovered(at)
            }
            answeredAt = maxOf(last ?: at, at)
        }

        /** Targets whose entries the copy lacks register again as after an outage, however short the store was away. */
        override fun storeRestored(at: MonotonicTime) = state.directory.registryRestored(at)
    }

    private companion object {
        /**
         * The maximum age of the registry's records. Instances must know of a leaving target within 2 s of its announcement,
         * including transit time and the wait for the instance whose turn it is to read.
         */
        val READ_PERIOD: Duration = 600.milliseconds

        /** The time that each instance has for its turn, to read the registry and send the records to the others. */
        val READ_STAGGER: Duration = 150.milliseconds

        /** The largest number of turns that an instance waits, so that it reads at the latest 1.2 s after it was last up to date. */
        const val MAX_TURNS = 4

        /**
         * The shortest time without an answer of the store that counts as an outage. In a shorter one no entry expires, because a
         * target reports more than twice in the time after which its entry does.
         */
        val OUTAGE_THRESHOLD: Duration = 2.seconds

        /** The changes that carry no new information and are not logged. */
        val UNREPORTED_CHANGES = setOf(DirectoryChange.UNCHANGED, DirectoryChange.STALE)
    }
}
