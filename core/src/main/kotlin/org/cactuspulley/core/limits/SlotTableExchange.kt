package org.cactuspulley.core.limits

import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.message.SlotTableAnswered
import org.cactuspulley.core.message.SlotTableAsked
import org.cactuspulley.core.message.SlotTableRow
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.earliest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A part that the predecessor, the earlier process at this address, held.
 *
 * @property since the offset of the record that gave the part to the predecessor.
 * @property spendUntil until when this instance may spend from the part without reading the log.
 */
internal class InheritedPart(val part: SlotPart, val since: LogOffset, val spendUntil: MonotonicTime)

/**
 * Fetches the slot table from peers when this instance starts, so that it need not read the whole stream. While the log
 * is down, it also finds out which parts the predecessor at this address held. For that, every known instance must have
 * answered, as any of them might hold a part that was handed over.
 */
internal class SlotTableExchange(
    private val self: InstanceId,
    private val settings: LimitSettings,
    private val table: SlotTable,
) {
    private class Answer(val message: SlotTableAnswered, val requestedAt: MonotonicTime)

    /** When each unanswered request was sent, by its number. */
    private val requestedAt = HashMap<Long, MonotonicTime>()
    private val answers = HashMap<InstanceId, Answer>()
    private val tableRequestedFrom = HashSet<InstanceId>()
    private var membership = Membership(self, emptyMap())
    private var following = false
    private var followAt: MonotonicTime? = null
    private var nextRequestAt: MonotonicTime? = null
    private var lastRequestNumber = 0L

    val nextDeadline: MonotonicTime? get() = earliest(followAt, nextRequestAt)

    private val otherInstances: Set<InstanceId> get() = membership.instances.keys - self

    fun start(now: MonotonicTime) {
        followAt = now + TABLE_TIMEOUT
    }

    fun changeMembership(membership: Membership, now: MonotonicTime): List<CoreEffect> {
        this.membership = membership
        answers.keys.retainAll(membership.instances.keys)
        if (following) return emptyList()
        val peers = otherInstances.sortedBy { it.text }.filter { it !in tableRequestedFrom }.take(MAX_TABLE_PEERS - tableRequestedFrom.size)
        tableRequestedFrom += peers
        return peers.map { request(it, wholeTable = true, now) }
    }

    private fun request(peer: InstanceId, wholeTable: Boolean, now: MonotonicTime): CoreEffect {
        requestedAt[++lastRequestNumber] = now
        return SendToPeer(peer, SlotTableAsked(lastRequestNumber, wholeTable))
    }

    fun onTimer(now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        if (followAt.let { it != null && it <= now }) effects += follow(LogOffset.FIRST)
        if (nextRequestAt.let { it != null && it <= now }) nextRequestAt = null
        return effects
    }

    private fun follow(from: LogOffset): CoreEffect {
        following = true
        followAt = null
        return FollowStream(StreamName.SLOTS, from)
    }

    /**
     * Requests the rows of this instance from every instance that has not answered. This is needed when the log can't be
     * read and its tail was not reached since the start.
     */
    fun requestFromAll(now: MonotonicTime): List<CoreEffect> {
        if (nextRequestAt.let { it != null && it > now }) return emptyList()
        nextRequestAt = now + REQUEST_INTERVAL
        return otherInstances.filter { it !in answers }.map { request(it, wholeTable = false, now) }
    }

    fun answer(requester: InstanceId, request: SlotTableAsked, now: MonotonicTime): CoreEffect {
        val rows = table.parts.filterValues { request.wholeTable || it.instance == requester }
            .map { (part, holder) -> rowOf(part, holder, now) }
        return SendToPeer(requester, SlotTableAnswered(request.number, table.nextOffset, request.wholeTable, rows))
    }

    private fun rowOf(part: SlotPart, holder: PartHolder, now: MonotonicTime) = SlotTableRow(
        part = part,
        holder = holder.instance,
        incarnation = holder.incarnation,
        since = holder.since,
        lastRecordOffset = holder.confirmedOffset,
        remainingMillis = remaining(part, holder, now).inWholeMilliseconds,
        planVersion = holder.planVersion,
        unconfirmed = holder.usableFrom != null,
    )

    /** Returns how long the lease lasts at least from [now], on the clock of any instance. */
    private fun remaining(part: SlotPart, holder: PartHolder, now: MonotonicTime): Duration {
        val end = holder.confirmedAfter?.plus(settings.leaseDuration(part.kind)) ?: return ZERO
        val remaining = (end - now).coerceAtLeast(ZERO)
        return (remaining - (settings.withDrift(remaining) - remaining)).coerceAtLeast(ZERO)
    }

    /** Records an answer. Adopts its table if that is ahead of this one, or requests the whole table if the answer has only some rows. */
    fun receive(from: InstanceId, message: SlotTableAnswered, now: MonotonicTime): List<CoreEffect> {
        val requestTime = requestedAt.remove(message.number) ?: return emptyList()
        answers[from] = Answer(message, requestTime)
        if (message.next <= table.nextOffset) return emptyList()
        if (!message.wholeTable) return listOf(request(from, wholeTable = true, now))
        table.adopt(message.next, message.rows.associate { it.part to holderOf(it, requestTime, now) })
        return if (following) emptyList() else listOf(follow(message.next))
    }

    private fun holderOf(row: SlotTableRow, requestTime: MonotonicTime, now: MonotonicTime): PartHolder {
        val leaseDuration = settings.leaseDuration(row.part.kind)
        val expiresAt = now + settings.withMargin(leaseDuration)
        return PartHolder(
            instance = row.holder,
            incarnation = row.incarnation,
            since = row.since,
            confirmedOffset = row.lastRecordOffset,
            expiresAt = expiresAt,
            confirmedAfter = if (row.remainingMillis > 0) requestTime + row.remainingMillis.milliseconds - leaseDuration else null,
            usableFrom = expiresAt.takeIf { row.unconfirmed },
            planVersion = row.planVersion,
        )
    }

    /** Returns the parts that the predecessor held; the list is empty while an instance has not answered. */
    fun inherited(): List<InheritedPart> {
        if (answers.isEmpty() || !answers.keys.containsAll(otherInstances)) return emptyList()
        val latest = answers.values.maxBy { it.message.next }.message
        if (latest.next < table.nextOffset) return emptyList()
        return latest.rows.filter { it.holder == self && !it.unconfirmed }.map { row ->
            val end = answers.values.mapNotNull { endOf(it, row) }.max()
            InheritedPart(row.part, row.since, end)
        }
    }

    private fun endOf(answer: Answer, row: SlotTableRow): MonotonicTime? =
        answer.message.rows.find { it.part == row.part && it.since == row.since && it.holder == self }
            ?.let { answer.requestedAt + it.remainingMillis.milliseconds }

    private companion object {
        /** How many peers are asked for the whole table. */
        const val MAX_TABLE_PEERS = 2

        /** How long to wait for a table before the stream is read from its beginning. */
        val TABLE_TIMEOUT = 500.milliseconds
        val REQUEST_INTERVAL = 1.seconds
    }
}
