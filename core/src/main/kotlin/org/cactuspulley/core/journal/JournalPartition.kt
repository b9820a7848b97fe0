package org.cactuspulley.core.journal

import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.record.JournalRecord

/** One intent stream as this instance follows it. */
internal class JournalPartition(
    val stream: StreamName,
    private val appender: BatchAppender<JournalEntry>,
    var idleDeadline: MonotonicTime,
) {
    val index = JournalIndex()
    private var nextOffset = LogOffset.FIRST

    val hasUnconfirmedEntries: Boolean get() = appender.hasUnconfirmedEntries

    val nextDeadline: MonotonicTime? get() = appender.nextDeadline

    fun add(entry: JournalEntry) = appender.add(entry)

    fun discardIntent(intent: IntentId) = appender.discard { it is JournalEntry.Intent && it.intent == intent }

    fun flush(now: MonotonicTime): AppendRecord? = appender.flush(now)

    fun updateAppender(change: BatchAppender<JournalEntry>.() -> Unit) = appender.change()

    /**
     * Folds records that were read; returns the entries that are new, in log order. Records that do
     * not follow on what was read before are ignored, unless the log has dropped those between.
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
