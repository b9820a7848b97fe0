package org.cactuspulley.runtime.forwarding

/**
 * The newest known record of each key of one topic, including deleted keys, so that all changes can be relayed to peers.
 *
 * Most records only repeat the one before, such as heartbeats. The replica therefore keeps, for each key, where it last changed.
 *
 * Offsets and positions belong to [era]. A store that was restored from a copy gives offsets out again, so nothing is compared across
 * eras: the replica [enters][enter] a later era with the newest records of all keys, and keeps what it knows until these replace or
 * delete it.
 */
internal class TopicReplica {
    /**
     * The newest record of a key; [changedAt] is the offset of its last record that changed anything, or null if none did.
     *
     * @property isFormer whether the record is one of an earlier era.
     */
    private class Entry(val record: KeyedRecord, val changedAt: Long?, val isFormer: Boolean = false)

    private val entries = LinkedHashMap<String, Entry>()

    /** The offset from which on all changes are known; deletions before it may not be. */
    private var completeFrom = 0L

    /** The era of the store to which all offsets belong. */
    var era = 0L
        private set

    /** The offset before which all records of [era] are known; null until the topic has been read in that era. */
    var next: Long? = null
        private set

    /** Whether the topic has been read, in any era. */
    var wasRead = false
        private set

    /** Begins [newEra], of which no record is known yet. */
    fun enter(newEra: Long) {
        era = newEra
        next = null
        completeFrom = 0
        entries.values.removeIf { it.record.value == null }
        entries.replaceAll { _, entry -> Entry(entry.record, changedAt = null, isFormer = true) }
    }

    /**
     * Stores [record] if it is the newest of its key; returns whether it is. The deletion of a key and its return count as changes,
     * whatever this instance makes of them.
     */
    fun apply(record: KeyedRecord): Boolean {
        val known = entries[record.key]
        if (known != null && !known.isFormer && known.record.offset >= record.offset) return false
        val isDeletedOrBack = record.value == null || (known != null && known.record.value == null)
        entries[record.key] = Entry(record, if (isDeletedOrBack) record.offset else known?.changedAt)
        return true
    }

    /**
     * Stores [record], which a peer relayed, if it is the newest of its key; returns whether it is. An unknown key before [next] has
     * been deleted.
     */
    fun applyRelayed(record: KeyedRecord): Boolean {
        val isDeleted = record.key !in entries && next?.let { record.offset < it } ?: false
        return !isDeleted && apply(record)
    }

    /** Records that the newest record of [key] differs from the one before. */
    fun markChanged(key: String) {
        val entry = entries[key] ?: return
        entries[key] = Entry(entry.record, entry.record.offset)
    }

    /** Marks all records before [offset] as known. */
    fun advance(offset: Long) {
        if (next == null) completeFrom = offset
        next = maxOf(next ?: offset, offset)
        wasRead = true
    }

    /** Returns deletions of the known keys that are missing among [records], the newest records of all keys before [end]. */
    fun deletionsIn(records: List<KeyedRecord>, end: Long): List<KeyedRecord> {
        val present = records.map { it.key }.toSet()
        return entries.values.map { it.record }.filter { it.value != null && it.key !in present }.map { KeyedRecord(it.key, end - 1, null) }
    }

    /** Returns the newest records of all keys. */
    fun all(): List<KeyedRecord> = entries.values.map { it.record }

    /** Returns the newest records of the keys that changed from [offset] on, or null if not all these changes are known. */
    fun completeChangesSince(offset: Long): List<KeyedRecord>? = if (offset < completeFrom) null else knownChangesSince(offset)

    /** Returns the newest records of the keys that are known to have changed from [offset] on. */
    fun knownChangesSince(offset: Long): List<KeyedRecord> =
        entries.values.filter { it.changedAt != null && it.changedAt >= offset }.map { it.record }
}
