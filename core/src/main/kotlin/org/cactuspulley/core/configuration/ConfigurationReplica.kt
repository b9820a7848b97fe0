package org.cactuspulley.core.configuration

import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.message.RelayedKnowledge
import org.cactuspulley.core.message.RelayedRecord
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.record.ConfigurationSnapshot
import org.cactuspulley.core.record.StoredRecord

/**
 * A replica of the configuration that follows the operators' stream of the log. It only moves to higher offsets.
 *
 * If the log has dropped records that this replica lacks, the replica holds the records after the gap
 * until a snapshot closes the gap. The snapshot comes from the log or from a peer.
 */
public class ConfigurationReplica {
    /** The configuration up to the replica's offset; it is valid only if [isComplete]. */
    public var configuration: Configuration = Configuration()
        private set

    /** Whether [configuration] includes every record before its offset. */
    public var isComplete: Boolean = false
        private set

    /** The offset of the newest snapshot record that was received, or null. */
    public var lastSnapshot: LogOffset? = null
        private set

    private val recordsAfterGap = sortedMapOf<Long, StoredRecord>()
    private val recentRecords = ArrayDeque<StoredRecord>()

    /** Merges records that were read from the log. Returns whether the replica then ends exactly where the read ended. */
    public fun merge(read: RecordsRead): Boolean {
        if (read.firstKept <= configuration.next) isComplete = true
        read.records.forEach(::mergeRecord)
        return isComplete && recordsAfterGap.isEmpty() && read.next == configuration.next
    }

    /** Merges the snapshot and the records that a peer relayed. Returns false if records are still missing. */
    public fun merge(knowledge: RelayedKnowledge): Boolean {
        knowledge.snapshot?.let(::installSnapshot)
        knowledge.records.forEach { mergeRecord(StoredRecord(it.offset, it.id, it.record)) }
        return isComplete && recordsAfterGap.isEmpty()
    }

    /** Returns the records or the snapshot that a peer whose replica ends before offset [next] lacks, or null if it lacks nothing. */
    public fun knowledgeSince(next: Long): RelayedKnowledge? {
        if (!isComplete || next >= configuration.next.number) return null
        val oldest = recentRecords.firstOrNull()?.offset?.number ?: Long.MAX_VALUE
        if (next < oldest) return RelayedKnowledge(snapshot = configuration)
        val missing = recentRecords.filter { it.offset.number >= next }
        return RelayedKnowledge(records = missing.map { RelayedRecord(it.offset, it.id, it.record) })
    }

    private fun mergeRecord(stored: StoredRecord) {
        if (stored.record is ConfigurationSnapshot) recordSnapshotOffset(stored.offset)
        if (stored.offset < configuration.next) return
        val record = stored.record
        if (stored.offset > configuration.next || !isComplete) {
            recordsAfterGap[stored.offset.number] = stored
            if (record is ConfigurationSnapshot && closesGap(record)) installSnapshot(record.configuration)
        } else {
            applyRecord(stored)
            applyHeldRecords()
        }
    }

    private fun recordSnapshotOffset(offset: LogOffset) {
        lastSnapshot = lastSnapshot?.let { maxOf(it, offset) } ?: offset
    }

    private fun closesGap(snapshot: ConfigurationSnapshot): Boolean =
        snapshot.configuration.next.number >= recordsAfterGap.firstKey() || snapshot.configuration.next <= configuration.next

    private fun installSnapshot(snapshot: Configuration) {
        if (isComplete && snapshot.next <= configuration.next) return
        configuration = snapshot
        isComplete = true
        recentRecords.clear()
        applyHeldRecords()
    }

    private fun applyHeldRecords() {
        recordsAfterGap.headMap(configuration.next.number).clear()
        while (true) {
            val held = recordsAfterGap.remove(configuration.next.number) ?: return
            applyRecord(held)
        }
    }

    private fun applyRecord(stored: StoredRecord) {
        configuration = configuration.applyRecord(stored).configuration
        recentRecords.addLast(stored)
        if (recentRecords.size > MAX_RECENT_RECORDS) recentRecords.removeFirst()
    }

    private companion object {
        const val MAX_RECENT_RECORDS = 128
    }
}
