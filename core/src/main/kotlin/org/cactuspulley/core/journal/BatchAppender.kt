package org.cactuspulley.core.journal

import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.record.LogRecord
import kotlin.time.Duration

/**
 * Appends entries to one stream, one record at a time: what is added while a record is on its way
 * goes into the next one. An entry is appended again until the log acknowledges it or it is read
 * there, so it may stand in the log twice.
 */
internal class BatchAppender<E>(
    private val stream: StreamName,
    private val retryDelay: Duration,
    private val nextRecordId: () -> RecordId,
    private val createRecord: (List<E>) -> LogRecord,
) {
    private val pending = LinkedHashSet<E>()
    private var inFlight: List<E> = emptyList()
    private var inFlightId: RecordId? = null
    private var retryAt: MonotonicTime? = null

    /** Whether entries are not yet known to be in the log. */
    val hasUnconfirmedEntries: Boolean get() = pending.isNotEmpty() || inFlight.isNotEmpty()

    val nextDeadline: MonotonicTime? get() = retryAt.takeIf { inFlightId == null && pending.isNotEmpty() }

    fun add(entry: E) {
        pending.add(entry)
    }

    /** Gives up entries that are not worth appending any more. Those on their way may still arrive. */
    fun discard(predicate: (E) -> Boolean) {
        pending.removeAll(predicate)
        inFlight = inFlight.filterNot(predicate)
    }

    /** The next append, if one is due. */
    fun flush(now: MonotonicTime): AppendRecord? {
        val mayAppend = inFlightId == null && pending.isNotEmpty() && retryAt.let { it == null || now >= it }
        if (!mayAppend) return null
        inFlight = pending.take(MAX_ENTRIES_PER_RECORD)
        pending.removeAll(inFlight.toSet())
        retryAt = null
        val id = nextRecordId()
        inFlightId = id
        return AppendRecord(stream, id, createRecord(inFlight))
    }

    fun confirmAppend(record: RecordId) {
        if (record != inFlightId) return
        inFlightId = null
        inFlight = emptyList()
    }

    fun retryAppend(record: RecordId, now: MonotonicTime) {
        if (record != inFlightId) return
        val retried = inFlight + pending
        pending.clear()
        pending.addAll(retried)
        inFlight = emptyList()
        inFlightId = null
        retryAt = now + retryDelay
    }

    /** Takes note that [entries] were read in the log. */
    fun confirmRead(entries: Collection<E>) {
        pending.removeAll(entries.toSet())
        inFlight = inFlight - entries.toSet()
    }

    private companion object {
        const val MAX_ENTRIES_PER_RECORD = 32
    }
}
