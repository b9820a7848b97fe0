package org.cactuspulley.core.limits

import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.LogEvent
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.message.SlotPassedOn
import org.cactuspulley.core.message.SlotTableAnswered
import org.cactuspulley.core.message.SlotTableAsked
import org.cactuspulley.core.message.SlotWanted
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.earliest
import org.cactuspulley.core.record.HeldPart
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.SlotRecord
import org.cactuspulley.core.record.SlotsClaimed
import org.cactuspulley.core.record.SlotsHandedOver
import org.cactuspulley.core.record.SlotsRenewed
import org.cactuspulley.core.record.StoredRecord
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The lease of a part that this instance holds.
 *
 * @property since the offset of the record that gave the part to this instance.
 * @property spendUntil the end of the lease, measured from before the renewal was sent.
 * @property accruesFrom when the part's buckets, empty until then, begin to accrue tokens.
 */
internal class PartLease(val since: LogOffset, var spendUntil: MonotonicTime, val accruesFrom: MonotonicTime)

/** Is notified when this instance gains or loses a part. */
internal interface PartLeaseListener {
    /** This instance holds [part] under [lease] now. */
    fun onPartGained(part: SlotPart, lease: PartLease, now: MonotonicTime)

    /** This instance does not hold [part] any more. */
    fun onPartLost(part: SlotPart, now: MonotonicTime)

    /** This instance handed [part] over to [successor]; the listener sends the remaining units of its buckets. */
    fun onPartHandedOver(part: HeldPart, successor: InstanceId, now: MonotonicTime)

    /** The former holder of a gained part transferred the remaining units of its buckets. */
    fun onTransferReceived(message: SlotPassedOn, now: MonotonicTime)
}

/** Claims, renews and hands over this instance's parts of the slot table through the log. */
internal class SlotLeases(
    private val self: InstanceId,
    private val incarnation: InstanceIncarnation,
    private val settings: LimitSettings,
    private val listener: PartLeaseListener,
) {
    val table = SlotTable(settings)
    private val exchange = SlotTableExchange(self, settings, table)
    private val leases = sortedMapOf<SlotPart, PartLease>(compareBy { it.number })

    /** When this process sent each of its recent records, from which the leases are measured. */
    private val recordSentAt = HashMap<RecordId, MonotonicTime>()
    private val claimRetryAt = HashMap<SlotPart, MonotonicTime>()

    /** When this instance first found a part free that no record gives to any holder. */
    private val freeSince = HashMap<SlotPart, MonotonicTime>()

    /** Transfers that arrived before the record of their hand-over was read. */
    private val earlyTransfers = HashMap<HeldPart, SlotPassedOn>()

    /** When each instance last requested a slot from this one. */
    private val slotRequestedAt = HashMap<InstanceId, MonotonicTime>()
    private var membership = Membership(self, emptyMap())
    private var slotCount = 0
    private var planVersion = LogOffset.FIRST
    private var startedAt = MonotonicTime.ZERO

    /** When the latest read that reached the tail of the stream was requested, or null. */
    private var tailRequestedAt: MonotonicTime? = null
    private var nextRenewalAt: MonotonicTime? = null
    private var nextReviewAt: MonotonicTime? = null
    private var nextHandOverAt: MonotonicTime? = null
    private var nextSlotRequestAt: MonotonicTime? = null
    private var leaving = false
    private var nextRecordNumber = 0L

    val heldParts: Map<SlotPart, PartLease> get() = leases

    val nextDeadline: MonotonicTime? get() = earliest(earliest(nextRenewalAt, nextReviewAt), exchange.nextDeadline)

    /** Whether this process has read the stream up to its tail since it started. */
    private val caughtUp: Boolean get() = tailRequestedAt.let { it != null && it >= startedAt }

    /** Returns whether this instance may spend from [part] at [now]. */
    fun usable(part: SlotPart, now: MonotonicTime): Boolean = leases[part].let { it != null && now < it.spendUntil }

    fun start(now: MonotonicTime) {
        startedAt = now
        exchange.start(now)
    }

    fun changeMembership(membership: Membership, now: MonotonicTime): List<CoreEffect> {
        this.membership = membership
        nextReviewAt = earliest(nextReviewAt, now)
        return exchange.changeMembership(membership, now)
    }

    /** Adopts a new plan; the next renewal announces its version to the other instances. */
    fun changePlan(slotCount: Int, version: LogOffset, now: MonotonicTime) {
        if (version == planVersion && slotCount == this.slotCount) return
        this.slotCount = slotCount
        planVersion = version
        if (leases.isNotEmpty()) nextRenewalAt = now
        nextReviewAt = earliest(nextReviewAt, now)
    }

    /** Returns whether every holder divides buckets by the plan of [version] or a later one. */
    fun isPlanAgreed(version: LogOffset, now: MonotonicTime): Boolean = table.parts.values.all { holder ->
        if (holder.instance == self) {
            holder.planVersion <= version || holder.incarnation == incarnation
        } else {
            holder.expiresAt <= now || holder.planVersion >= version
        }
    }

    fun stop(now: MonotonicTime): List<CoreEffect> {
        leaving = true
        nextReviewAt = now
        return onTimer(now)
    }

    fun handle(event: LogEvent, now: MonotonicTime): List<CoreEffect> = when (event) {
        is RecordsRead -> read(event, now)
        is AppendUncertain -> retryRenewal(event.recordId, now)
        is ReadFailed -> if (caughtUp) emptyList() else exchange.requestFromAll(now)
        else -> emptyList()
    }

    private fun read(event: RecordsRead, now: MonotonicTime): List<CoreEffect> {
        val times = ReadTimes(now, tailRequestedAt)
        for (stored in event.records) {
            val record = stored.record as? SlotRecord ?: continue
            if (stored.offset < table.nextOffset) continue
            table.apply(stored.offset, record, times)
            partsOf(record).forEach { reconcile(it, stored, record, now) }
        }
        table.skipTo(event.next)
        if (event.reachedTail) {
            val wasCaughtUp = caughtUp
            tailRequestedAt = tailRequestedAt?.let { maxOf(it, event.askedAt) } ?: event.askedAt
            if (!wasCaughtUp && caughtUp) nextRenewalAt = now
        }
        nextReviewAt = earliest(nextReviewAt, now)
        return onTimer(now)
    }

    private fun partsOf(record: SlotRecord): List<SlotPart> = when (record) {
        is SlotsClaimed -> record.parts
        is SlotsRenewed -> record.parts.map { it.part }
        is SlotsHandedOver -> record.parts.map { it.part }
    }

    /** Updates this instance's lease of [part] after [record] was applied to the table. */
    private fun reconcile(part: SlotPart, stored: StoredRecord, record: SlotRecord, now: MonotonicTime) {
        val holder = table.holderOf(part) ?: return
        claimRetryAt.remove(part)
        freeSince.remove(part)
        val isOwnRecord = record.holder == self && record.incarnation == incarnation
        when {
            holder.instance != self && isOwnRecord && holder.since == stored.offset -> transferToSuccessor(part, holder, now)
            holder.instance != self -> drop(part, now)
            holder.usableFrom != null -> awaitTransfer(part, holder, now)
            isOwnRecord && holder.confirmedOffset == stored.offset -> recordSentAt[stored.id]?.let { confirmLease(part, holder, it, now) }
            leases[part]?.since != holder.since -> drop(part, now)
        }
    }

    private fun transferToSuccessor(part: SlotPart, holder: PartHolder, now: MonotonicTime) {
        if (leases.remove(part) != null) listener.onPartHandedOver(HeldPart(part, holder.since), holder.instance, now)
    }

    private fun awaitTransfer(part: SlotPart, holder: PartHolder, now: MonotonicTime) {
        if (leases[part]?.since == holder.since) return
        drop(part, now)
        earlyTransfers.remove(HeldPart(part, holder.since))?.let { startTransferred(it, holder, now) }
    }

    /**
     * Handles the message of a former holder that it stopped spending from a part, which it handed over to this instance.
     * The message is kept if the record of the hand-over has not been read yet.
     */
    private fun receiveTransfer(message: SlotPassedOn, now: MonotonicTime): List<CoreEffect> {
        val holder = table.holderOf(message.part.part)
        val isRead = table.nextOffset > message.part.since
        when {
            !isRead && earlyTransfers.size < MAX_EARLY_TRANSFERS -> earlyTransfers[message.part] = message
            holder != null && holder.instance == self && holder.since == message.part.since -> startTransferred(message, holder, now)
        }
        return onTimer(now)
    }

    private fun startTransferred(message: SlotPassedOn, holder: PartHolder, now: MonotonicTime) {
        if (holder.usableFrom == null || leases.containsKey(message.part.part)) return
        startHandedOver(message.part.part, holder, now)
        listener.onTransferReceived(message, now)
    }

    private fun startHandedOver(part: SlotPart, holder: PartHolder, now: MonotonicTime) {
        val spendUntil = holder.confirmedAfter?.plus(settings.leaseDuration(part.kind)) ?: now
        gain(part, PartLease(holder.since, spendUntil, now), now)
        nextRenewalAt = now
    }

    private fun confirmLease(part: SlotPart, holder: PartHolder, sentAt: MonotonicTime, now: MonotonicTime) {
        val spendUntil = sentAt + settings.leaseDuration(part.kind)
        val current = leases[part]
        if (current != null && current.since == holder.since) {
            current.spendUntil = maxOf(current.spendUntil, spendUntil)
            return
        }
        drop(part, now)
        val isInherited = holder.since != holder.confirmedOffset
        gain(part, PartLease(holder.since, spendUntil, if (isInherited) maxOf(now, predecessorLoansEnd()) else now), now)
    }

    /** Returns when all loans that the predecessor, the earlier process at this address, granted have expired. */
    private fun predecessorLoansEnd() = startedAt + settings.withDrift(settings.loanLifetime)

    private fun gain(part: SlotPart, lease: PartLease, now: MonotonicTime) {
        leases[part] = lease
        listener.onPartGained(part, lease, now)
    }

    private fun drop(part: SlotPart, now: MonotonicTime) {
        if (leases.remove(part) != null) listener.onPartLost(part, now)
    }

    fun receiveTable(from: InstanceId, message: SlotTableAnswered, now: MonotonicTime): List<CoreEffect> {
        if (caughtUp) return emptyList()
        val effects = exchange.receive(from, message, now)
        leases.filter { (part, lease) -> !isStillHeld(part, lease) }.keys.forEach { drop(it, now) }
        exchange.inherited().forEach { inherit(it, now) }
        return effects
    }

    private fun isStillHeld(part: SlotPart, lease: PartLease): Boolean {
        val holder = table.holderOf(part) ?: return table.nextOffset <= lease.since
        return holder.instance == self && holder.since == lease.since
    }

    private fun inherit(inherited: InheritedPart, now: MonotonicTime) {
        if (inherited.spendUntil <= now) return
        val current = leases[inherited.part]
        if (current != null) {
            current.spendUntil = maxOf(current.spendUntil, inherited.spendUntil)
        } else {
            gain(inherited.part, PartLease(inherited.since, inherited.spendUntil, predecessorLoansEnd()), now)
        }
    }

    fun receive(from: InstanceId, message: SlotTableAsked, now: MonotonicTime): List<CoreEffect> =
        listOf(exchange.answer(from, message, now))

    fun receive(message: SlotPassedOn, now: MonotonicTime): List<CoreEffect> = receiveTransfer(message, now)

    /** Hands a slot over to [from], which holds none and requests one, if this instance can spare it. */
    fun receiveSlotRequest(from: InstanceId, now: MonotonicTime): List<CoreEffect> {
        slotRequestedAt[from] = now
        val indices = leases.keys.map { it.index }.distinct()
        if (leaving || indices.size < 2 || isHandingOver(now)) return emptyList()
        nextHandOverAt = now + HAND_OVER_INTERVAL
        val partsToHandOver = leases.filterKeys { it.index == indices.last() }
        return listOf(handOver(partsToHandOver, from, now))
    }

    fun onTimer(now: MonotonicTime): List<CoreEffect> {
        val effects = exchange.onTimer(now).toMutableList()
        if (!caughtUp) return effects
        startUnconfirmed(now)
        if (nextRenewalAt.let { it != null && it <= now }) effects += renew(now)
        if (nextReviewAt.let { it != null && it <= now }) effects += reviewParts(now)
        return effects
    }

    /** Starts to use parts whose former holder did not confirm in time that it stopped spending from them. */
    private fun startUnconfirmed(now: MonotonicTime) {
        table.parts.filter { (part, holder) -> holder.instance == self && part !in leases }
            .filterValues { holder -> holder.usableFrom.let { it != null && it <= now } }
            .forEach { (part, holder) -> startHandedOver(part, holder, now) }
    }

    private fun renew(now: MonotonicTime): List<CoreEffect> {
        nextRenewalAt = now + settings.renewalInterval
        recordSentAt.values.removeIf { it + settings.reserveLease < now }
        val parts = table.parts.filter { (part, holder) -> holder.instance == self && (holder.usableFrom == null || part in leases) }
            .map { (part, holder) -> HeldPart(part, holder.since) }
            .sortedBy { it.part.number }
        if (parts.isEmpty()) return emptyList()
        return listOf(append(SlotsRenewed(self, incarnation, parts, planVersion), now))
    }

    private fun retryRenewal(record: RecordId, now: MonotonicTime): List<CoreEffect> {
        if (record in recordSentAt) nextRenewalAt = earliest(nextRenewalAt, now + RETRY_INTERVAL)
        return emptyList()
    }

    /** Hands over all parts if this instance is leaving; otherwise claims parts, or requests a slot if no part can be claimed. */
    private fun reviewParts(now: MonotonicTime): List<CoreEffect> {
        nextReviewAt = now + REVIEW_INTERVAL
        if (leaving) return handOverAll(now)
        if (slotCount == 0 || self !in membership.instances) return emptyList()
        val claimable = SlotPart.all(slotCount).filter { isClaimable(it, now) }
        if (claimable.isEmpty()) return requestSlot(now)
        val claims = ClaimRanking(membership.live.map { it.id }, table, now).claimsFor(self, claimable) { part, rank ->
            now >= claimableSince(part, now) + CLAIM_DELAY * rank
        }
        if (claims.isEmpty()) return emptyList()
        claims.forEach { claimRetryAt[it] = now + RETRY_INTERVAL }
        return listOf(append(SlotsClaimed(self, incarnation, claims, table.nextOffset, planVersion), now))
    }

    private fun isClaimable(part: SlotPart, now: MonotonicTime): Boolean {
        if (claimRetryAt[part].let { it != null && it > now }) return false
        val holder = table.holderOf(part) ?: return true
        return holder.instance != self && holder.expiresAt <= now
    }

    private fun claimableSince(part: SlotPart, now: MonotonicTime): MonotonicTime =
        table.holderOf(part)?.expiresAt ?: freeSince.getOrPut(part) { now }

    private fun requestSlot(now: MonotonicTime): List<CoreEffect> {
        if (nextSlotRequestAt.let { it != null && it > now } || table.partsHeldBy(self).isNotEmpty()) return emptyList()
        nextSlotRequestAt = now + SLOT_REQUEST_INTERVAL
        val ranking = ClaimRanking(membership.live.map { it.id }, table, now)
        val largestHolder = ranking.largestHolder(self)?.takeIf { ranking.partCount(it) > LeaseKind.entries.size } ?: return emptyList()
        return listOf(SendToPeer(largestHolder, SlotWanted))
    }

    private fun isHandingOver(now: MonotonicTime) = nextHandOverAt.let { it != null && it > now }

    private fun handOverAll(now: MonotonicTime): List<CoreEffect> {
        if (leases.isEmpty() || isHandingOver(now)) return emptyList()
        nextHandOverAt = now + RETRY_INTERVAL
        val candidates = membership.live.map { it.id }.filter { it != self }
        val ranking = ClaimRanking(candidates, table, now)
        val requesters = slotRequestedAt.filterValues { it + SLOT_REQUEST_MAX_AGE >= now }.keys
        return leases.entries.groupBy { it.key.index }.values
            .groupBy { ranking.assignSuccessor(requesters) }
            .mapNotNull { (successor, slots) ->
                successor?.let { handOver(slots.flatten().associate { entry -> entry.key to entry.value }, it, now) }
            }
    }

    private fun handOver(parts: Map<SlotPart, PartLease>, successor: InstanceId, now: MonotonicTime): CoreEffect {
        val held = parts.map { (part, lease) -> HeldPart(part, lease.since) }
        return append(SlotsHandedOver(self, incarnation, held, successor, planVersion), now)
    }

    private fun append(record: LogRecord, now: MonotonicTime): CoreEffect {
        val id = RecordId("$self/${incarnation.number}/slots/${nextRecordNumber++}")
        recordSentAt[id] = now
        return AppendRecord(StreamName.SLOTS, id, record)
    }

    private companion object {
        const val MAX_EARLY_TRANSFERS = 64
        val REVIEW_INTERVAL = 250.milliseconds
        val RETRY_INTERVAL = 1.seconds

        /** The delay of a claim for each rank by which the instance is below the first in [ClaimRanking]. */
        val CLAIM_DELAY = 500.milliseconds

        /** The minimum time between two hand-overs to instances that request a slot. */
        val HAND_OVER_INTERVAL = 1.seconds
        val SLOT_REQUEST_INTERVAL = 2.seconds

        /** How long an instance that requested a slot is preferred as a successor. */
        val SLOT_REQUEST_MAX_AGE = 5.seconds
    }
}
