package org.cactuspulley.runtime.forwarding

/** The newest known record of each key of one topic, including deleted keys, so that all changes can be relayed to peers. */
internal class TopicReplica {
    private val records = LinkedHashMap<String, KeyedRecord>()

    /** The offset before which all records are known; null until the topic has been read. */
    var next: Long? = null
        private set

    /** The keys that are not deleted. */
    val keys: List<String> get() = records.values.filter { it.value != null }.map { it.key }

    /** Stores [record] if it is the newest of its key; returns whether it is. */
    fun apply(record: KeyedRecord): Boolean {
        val known = records[record.key]
        if (known != null && known.offset >= record.offset) return false
        records[record.key] = record
        return true
    }

    /** Marks all records before [offset] as known. */
    fun advance(offset: Long) {
        next = maxOf(next ?: offset, offset)
    }

    /** Forgets the read position after records of the topic were deleted, so that the whole topic is read again. */
    fun reset() {
        next = null
    }

    /** Returns the records that changed from [offset] on, or all records if it is null. */
    fun since(offset: Long?): List<KeyedRecord> = records.values.filter { offset == null || it.offset >= offset }
}
