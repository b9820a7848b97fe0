package org.cactuspulley.runtime.forwarding

/** The newest known record of each key of one topic, dropped keys included, so that it can be told to peers. */
internal class TopicReplica {
    private val records = LinkedHashMap<String, KeyedRecord>()

    /** All records before this offset are known; null until the topic has been read. */
    var next: Long? = null
        private set

    /** Keys with a value. */
    val keys: List<String> get() = records.values.filter { it.value != null }.map { it.key }

    /** Takes [record] if it is the newest of its key; whether it was. */
    fun apply(record: KeyedRecord): Boolean {
        val known = records[record.key]
        if (known != null && known.offset >= record.offset) return false
        records[record.key] = record
        return true
    }

    /** All records before [offset] are known now. */
    fun advance(offset: Long) {
        next = maxOf(next ?: offset, offset)
    }

    /** The topic's records were deleted: it has to be read anew. */
    fun reset() {
        next = null
    }

    /** What changed from [offset] on; everything where it is null. */
    fun since(offset: Long?): List<KeyedRecord> = records.values.filter { offset == null || it.offset >= offset }
}
