package org.cactuspulley.core.journal

import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.record.JournalRecord

/**
 * One intent stream that this instance follows.
 *
 * @property stream the name of the stream.
 * @property appender appends the entries of this instance to the stream.
 * @property idleDeadline the time at which the stream is no longer followed if it is unused by then.
 */
internal class JournalPartition(
    val stream: StreamName,
    private val appender: BatchAppender<JournalEntry>,
    var idleDeadline: MonotonicTime,
) {
    /** Holds the state of each key of the stream. */
    val index = JournalIndex()

    /** Holds the offset after the last applied record. */
    private var nextOffset = LogOffset.FIRST

    /** Tells whether entries of this instance are not yet known to be in the log. */
    val hasUnconfirmedEntries: Boolean get() = appender.hasUnconfirmedEntries

    /** Tells when [flush] should be called again, or null if no retry is scheduled. */
    val nextDeadline: MonotonicTime? get() = appender.nextDeadline

    /** Queues [entry] for the next append. */
    fun add(entry: JournalEntry) = appender.add(entry)

    /** Stops appending [intent]. An append in flight may still write it to the log. */
    fun discardIntent(intent: IntentId) = appender.discard { it is JournalEntry.Intent && it.intent == intent }

    /** Returns the next append, or null if none is due. */
    fun flush(now: MonotonicTime): AppendRecord? = appender.flush(now)

    /** Applies [change] to the appender of the stream. */
    fun updateAppender(change: BatchAppender<JournalEntry>.() -> Unit) = appender.change()

    /**
     * Applies records that were read from the log and returns the new entries in log order. Records that
     * leave a gap after the last applied record are ignored, unless the log has dropped the records in the gap.
     */
    fun applyRead(event: RecordsRead): List<JournalEntry> {
        val entries = mutableListOf<JournalEntry>()
        val first = event.records.firstOrNull()?.offset
        if (first != null && first > maxOf(nextOffset, event.firstKept)) return entries
        for (stored in event.records) {
            if (stored.offset < nextOffset) continue
            nextOffset = stored.offset.next()
            val record = stored.record as? JournalRecord ?: continue
            record.entries.forEach { index.apply(it, record.instance, record.incarnation, stored.offset) }
            entries += record.entries
        }
        index.dropBefore(event.firstKept)
        appender.confirmRead(entries)
        return entries
    }
}
