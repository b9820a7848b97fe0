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
 * Who holds a part, as the log says.
 *
 * @property since the offset of the record that gave the part to the owner.
 * @property provenAt the offset of the owner's latest record about the part.
 * @property lapsesAt when this process, which read that record, regards the lease as lapsed.
 * @property provenAfter a time before that record was appended, or null if none is known.
 * @property usableFrom after a hand-over, when the part may be used although its former holder did not confirm that
 *   it stopped; null once the owner is known to use it.
 * @property planVersion the version of the fleet plan that the owner divides buckets by.
 */
internal data class PartOwner(
    val owner: InstanceId,
    val incarnation: InstanceIncarnation,
    val since: LogOffset,
    val provenAt: LogOffset,
    val lapsesAt: MonotonicTime,
    val provenAfter: MonotonicTime?,
    val usableFrom: MonotonicTime?,
    val planVersion: LogOffset,
)

/** When a record was read, and a time before which it was not in the log. */
internal data class ReadTimes(val readAt: MonotonicTime, val appendedAfter: MonotonicTime?)

/**
 * The fold of the stream of slot records. Ownership depends on the records alone, so every reader
 * agrees on it; the times are this reader's own.
 */
internal class SlotTable(private val settings: LimitSettings) {
    private val owners = HashMap<SlotPart, PartOwner>()

    /** The offset of the first record that is not folded in. */
    var next: LogOffset = LogOffset.FIRST
        private set

    val parts: Map<SlotPart, PartOwner> get() = owners

    fun ownerOf(part: SlotPart): PartOwner? = owners[part]

    fun heldBy(instance: InstanceId): List<SlotPart> = owners.filterValues { it.owner == instance }.keys.sortedBy { it.number }

    /** Folds one record in; records below [next] are ignored. */
    fun apply(offset: LogOffset, record: SlotRecord, times: ReadTimes) {
        if (offset < next) return
        next = offset.next()
        when (record) {
            is SlotsClaimed -> claim(offset, record, times)
            is SlotsRenewed -> renew(offset, record, times)
            is SlotsHandedOver -> handOver(offset, record, times)
        }
    }

    /** Takes over what another reader knew; everything below its [next] is folded in already. */
    fun adopt(next: LogOffset, owners: Map<SlotPart, PartOwner>) {
        if (next <= this.next) return
        this.next = next
        this.owners.clear()
        this.owners.putAll(owners)
    }

    /** Moves past records that are not about slots. */
    fun skipTo(offset: LogOffset) {
        if (offset > next) next = offset
    }

    private fun claim(offset: LogOffset, record: SlotsClaimed, times: ReadTimes) {
        for (part in record.parts) {
            val present = owners[part]
            if (present == null || present.provenAt < record.readUpTo) {
                owners[part] = ownership(part, record, offset, offset, times)
            }
        }
    }

    private fun renew(offset: LogOffset, record: SlotsRenewed, times: ReadTimes) {
        for (held in record.parts) {
            val present = owners[held.part]
            if (present == null || present.since < held.since || isHolder(present, record, held)) {
                owners[held.part] = ownership(held.part, record, held.since, offset, times)
            }
        }
    }

    private fun handOver(offset: LogOffset, record: SlotsHandedOver, times: ReadTimes) {
        for (held in record.parts) {
            val present = owners[held.part]
            if (present != null && !isHolder(present, record, held)) continue
            val lapsesAt = present?.lapsesAt ?: lapse(held.part, times)
            owners[held.part] = ownership(held.part, record, offset, offset, times)
                .copy(owner = record.successor, incarnation = InstanceIncarnation(0), usableFrom = lapsesAt)
        }
    }

    private fun isHolder(present: PartOwner, record: SlotRecord, held: HeldPart): Boolean =
        present.owner == record.holder && present.since == held.since && present.incarnation <= record.incarnation

    private fun ownership(part: SlotPart, record: SlotRecord, since: LogOffset, provenAt: LogOffset, times: ReadTimes) = PartOwner(
        owner = record.holder,
        incarnation = record.incarnation,
        since = since,
        provenAt = provenAt,
        lapsesAt = lapse(part, times),
        provenAfter = times.appendedAfter,
        usableFrom = null,
        planVersion = record.planVersion,
    )

    private fun lapse(part: SlotPart, times: ReadTimes) = times.readAt + settings.withMargin(settings.lease(part.kind))
}
