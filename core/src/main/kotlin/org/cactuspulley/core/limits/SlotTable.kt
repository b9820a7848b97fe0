package org.cactuspulley.core.limits

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.record.HeldPart
import org.cactuspulley.core.record.SlotRecord
import org.cactuspulley.core.record.SlotsClaimed
import org.cactuspulley.core.record.SlotsHandedOver
import org.cactuspulley.core.record.SlotsRenewed

/**
 * The holder of a part according to the log.
 *
 * @property instance the instance that holds the part.
 * @property incarnation the holder's incarnation; 0 after a hand-over until the new holder renews the lease.
 * @property since the offset of the record that gave the part to the holder.
 * @property confirmedOffset the offset of the latest record that gave or renewed the lease.
 * @property expiresAt when the lease counts as expired at this process, which read that record.
 * @property confirmedAfter a time before that record was appended, or null if none is known.
 * @property usableFrom when the new holder may use a handed-over part although the former holder did not confirm that it
 *   stopped spending from it; null once the new holder is known to use the part.
 * @property planVersion the version of the fleet plan by which the holder divides buckets.
 */
internal data class PartHolder(
    val instance: InstanceId,
    val incarnation: InstanceIncarnation,
    val since: LogOffset,
    val confirmedOffset: LogOffset,
    val expiresAt: MonotonicTime,
    val confirmedAfter: MonotonicTime?,
    val usableFrom: MonotonicTime?,
    val planVersion: LogOffset,
)

/**
 * The times at which a record was read and appended, as far as the reader knows them.
 *
 * @property readAt when the record was read.
 * @property appendedAfter a time at which the record was not in the log yet, or null if none is known.
 */
internal data class ReadTimes(val readAt: MonotonicTime, val appendedAfter: MonotonicTime?)

/**
 * The slot table, computed from the stream of slot records. The holders depend on the records alone, so all readers
 * agree on them; the times are measured by this reader's clock.
 */
internal class SlotTable(private val settings: LimitSettings) {
    private val holders = HashMap<SlotPart, PartHolder>()

    /** The offset of the next record to apply. */
    var nextOffset: LogOffset = LogOffset.FIRST
        private set

    /** The latest holder of every part that ever had one, also after the lease has expired. */
    val parts: Map<SlotPart, PartHolder> get() = holders

    fun holderOf(part: SlotPart): PartHolder? = holders[part]

    fun partsHeldBy(instance: InstanceId): List<SlotPart> = holders.filterValues { it.instance == instance }.keys.sortedBy { it.number }

    /** Applies one record; records below [nextOffset] are ignored. */
    fun apply(offset: LogOffset, record: SlotRecord, times: ReadTimes) {
        if (offset < nextOffset) return
        nextOffset = offset.next()
        when (record) {
            is SlotsClaimed -> claim(offset, record, times)
            is SlotsRenewed -> renew(offset, record, times)
            is SlotsHandedOver -> handOver(offset, record, times)
        }
    }

    /** Adopts the table of another reader, which has applied all records below [nextOffset], if it is ahead of this one. */
    fun adopt(nextOffset: LogOffset, holders: Map<SlotPart, PartHolder>) {
        if (nextOffset <= this.nextOffset) return
        this.nextOffset = nextOffset
        this.holders.clear()
        this.holders.putAll(holders)
    }

    /** Skips records that are not slot records. */
    fun skipTo(offset: LogOffset) {
        if (offset > nextOffset) nextOffset = offset
    }

    private fun claim(offset: LogOffset, record: SlotsClaimed, times: ReadTimes) {
        for (part in record.parts) {
            val current = holders[part]
            if (current == null || current.confirmedOffset < record.readUpTo) {
                holders[part] = createHolder(part, record, offset, offset, times)
            }
        }
    }

    private fun renew(offset: LogOffset, record: SlotsRenewed, times: ReadTimes) {
        for (held in record.parts) {
            val current = holders[held.part]
            if (current == null || current.since < held.since || isCurrentHolder(current, record, held)) {
                holders[held.part] = createHolder(held.part, record, held.since, offset, times)
            }
        }
    }

    private fun handOver(offset: LogOffset, record: SlotsHandedOver, times: ReadTimes) {
        for (held in record.parts) {
            val current = holders[held.part]
            if (current != null && !isCurrentHolder(current, record, held)) continue
            val expiresAt = current?.expiresAt ?: expiryOf(held.part, times)
            holders[held.part] = createHolder(held.part, record, offset, offset, times)
                .copy(instance = record.successor, incarnation = InstanceIncarnation(0), usableFrom = expiresAt)
        }
    }

    private fun isCurrentHolder(current: PartHolder, record: SlotRecord, held: HeldPart): Boolean =
        current.instance == record.holder && current.since == held.since && current.incarnation <= record.incarnation

    private fun createHolder(
        part: SlotPart,
        record: SlotRecord,
        since: LogOffset,
        confirmedOffset: LogOffset,
        times: ReadTimes,
    ) = PartHolder(
        instance = record.holder,
        incarnation = record.incarnation,
        since = since,
        confirmedOffset = confirmedOffset,
        expiresAt = expiryOf(part, times),
        confirmedAfter = times.appendedAfter,
        usableFrom = null,
        planVersion = record.planVersion,
    )

    private fun expiryOf(part: SlotPart, times: ReadTimes) = times.readAt + settings.withMargin(settings.leaseDuration(part.kind))
}
