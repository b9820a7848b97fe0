package org.cactuspulley.core.journal

import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.record.LogRecord
import kotlin.time.Duration

/**
 * Appends entries to one stream in batches, with at most one append in flight. Entries that are added
 * meanwhile go into the next record. An entry is appended again until the log acknowledges it or it is
 * read back from the log, so the log may contain it more than once.
 *
 * @param E the type of the entries. Two equal entries count as one.
 * @property stream the stream that the entries are appended to.
 * @property retryDelay the time between an append whose result is unknown and the next attempt.
 * @property nextRecordId returns a new record id for each append.
 * @property createRecord builds the record that contains the given entries.
 */
internal class BatchAppender<E>(
    private val stream: StreamName,
    private val retryDelay: Duration,
    private val nextRecordId: () -> RecordId,
    private val createRecord: (List<E>) -> LogRecord,
) {
    /** Holds the entries that wait for the next append, in the order in which they were added. */
    private val pending = LinkedHashSet<E>()

    /** Holds the entries of the append in flight, without those that were read back or discarded since. */
    private var inFlight: List<E> = emptyList()

    /** Holds the record id of the append in flight, or null if there is none. */
    private var inFlightId: RecordId? = null

    /** Holds the earliest time of the next append after one with an unknown result, or null if no delay applies. */
    private var retryAt: MonotonicTime? = null

    /** Tells whether there are entries that are neither acknowledged nor read back. */
    val hasUnconfirmedEntries: Boolean get() = pending.isNotEmpty() || inFlight.isNotEmpty()

    /** Tells when [flush] should be called again to retry an append, or null if no retry is scheduled. */
    val nextDeadline: MonotonicTime? get() = retryAt.takeIf { inFlightId == null && pending.isNotEmpty() }

    /** Queues [entry] for the next append. */
    fun add(entry: E) {
        pending.add(entry)
    }

    /** Stops appending the entries that match [predicate]. An append in flight may still write them to the log. */
    fun discard(predicate: (E) -> Boolean) {
        pending.removeAll(predicate)
        inFlight = inFlight.filterNot(predicate)
    }

    /** Returns the next append, or null if none is due. */
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

    /** Marks the entries of [record] as appended if it is the append in flight. */
    fun confirmAppend(record: RecordId) {
        if (record != inFlightId) return
        inFlightId = null
        inFlight = emptyList()
    }

    /** Queues the entries of [record] again, ahead of the others, if it is the append in flight. Its result is unknown. */
    fun retryAppend(record: RecordId, now: MonotonicTime) {
        if (record != inFlightId) return
        val retried = inFlight + pending
        pending.clear()
        pending.addAll(retried)
        inFlight = emptyList()
        inFlightId = null
        retryAt = now + retryDelay
    }

    /** Marks [entries] as appended because they were read back from the log. */
    fun confirmRead(entries: Collection<E>) {
        pending.removeAll(entries.toSet())
        inFlight = inFlight - entries.toSet()
    }

    private companion object {
        const val MAX_ENTRIES_PER_RECORD = 32
    }
}
