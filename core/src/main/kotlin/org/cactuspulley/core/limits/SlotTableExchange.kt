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

/** A part of the predecessor at this address that may be spent until [spendUntil] without a word from the log. */
internal class InheritedPart(val part: SlotPart, val since: LogOffset, val spendUntil: MonotonicTime)

/**
 * Gets a starting instance the slot table from its peers, so that it need not read the whole stream,
 * and, when the log is down, finds out which parts its predecessor held. For the latter every known
 * instance must have answered: one of them might hold a part that was handed over.
 */
internal class SlotTableExchange(
    private val self: InstanceId,
    private val settings: LimitSettings,
    private val table: SlotTable,
) {
    private class Answer(val message: SlotTableAnswered, val askedAt: MonotonicTime)

    private val askedAt = HashMap<Long, MonotonicTime>()
    private val answers = HashMap<InstanceId, Answer>()
    private val askedForTable = HashSet<InstanceId>()
    private var membership = Membership(self, emptyMap())
    private var following = false
    private var followAt: MonotonicTime? = null
    private var askAgainAt: MonotonicTime? = null
    private var nextNumber = 0L

    val nextDeadline: MonotonicTime? get() = earliest(followAt, askAgainAt)

    private val others: Set<InstanceId> get() = membership.instances.keys - self

    fun start(now: MonotonicTime) {
        followAt = now + FOLLOW_WITHOUT_TABLE_AFTER
    }

    fun changeMembership(membership: Membership, now: MonotonicTime): List<CoreEffect> {
        this.membership = membership
        answers.keys.retainAll(membership.instances.keys)
        if (following) return emptyList()
        val peers = others.sortedBy { it.text }.filter { it !in askedForTable }.take(TABLE_PEERS - askedForTable.size)
        askedForTable += peers
        return peers.map { ask(it, wholeTable = true, now) }
    }

    private fun ask(peer: InstanceId, wholeTable: Boolean, now: MonotonicTime): CoreEffect {
        askedAt[++nextNumber] = now
        return SendToPeer(peer, SlotTableAsked(nextNumber, wholeTable))
    }

    fun onTimer(now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        if (followAt.let { it != null && it <= now }) effects += follow(LogOffset.FIRST)
        if (askAgainAt.let { it != null && it <= now }) askAgainAt = null
        return effects
    }

    private fun follow(from: LogOffset): CoreEffect {
        following = true
        followAt = null
        return FollowStream(StreamName.SLOTS, from)
    }

    /** The log can't be read and the tail was not read since the start: asks everyone who has not answered. */
    fun askEveryone(now: MonotonicTime): List<CoreEffect> {
        if (askAgainAt.let { it != null && it > now }) return emptyList()
        askAgainAt = now + ASK_INTERVAL
        return others.filter { it !in answers }.map { ask(it, wholeTable = false, now) }
    }

    fun answer(asker: InstanceId, question: SlotTableAsked, now: MonotonicTime): CoreEffect {
        val rows = table.parts.filterValues { question.wholeTable || it.owner == asker }
            .map { (part, owner) -> rowOf(part, owner, now) }
        return SendToPeer(asker, SlotTableAnswered(question.number, table.next, question.wholeTable, rows))
    }

    private fun rowOf(part: SlotPart, owner: PartOwner, now: MonotonicTime) = SlotTableRow(
        part = part,
        holder = owner.owner,
        incarnation = owner.incarnation,
        since = owner.since,
        lastRecordOffset = owner.provenAt,
        remainingMillis = remaining(part, owner, now).inWholeMilliseconds,
        planVersion = owner.planVersion,
        unconfirmed = owner.usableFrom != null,
    )

    /** How long the lease lasts at least. */
    private fun remaining(part: SlotPart, owner: PartOwner, now: MonotonicTime): Duration {
        val end = owner.provenAfter?.plus(settings.lease(part.kind)) ?: return ZERO
        val remaining = (end - now).coerceAtLeast(ZERO)
        return (remaining - (settings.withDrift(remaining) - remaining)).coerceAtLeast(ZERO)
    }

    /** Takes an answer, and the whole table if it is ahead of what is known here. */
    fun receive(from: InstanceId, message: SlotTableAnswered, now: MonotonicTime): List<CoreEffect> {
        val asked = askedAt.remove(message.number) ?: return emptyList()
        answers[from] = Answer(message, asked)
        if (message.next <= table.next) return emptyList()
        if (!message.wholeTable) return listOf(ask(from, wholeTable = true, now))
        table.adopt(message.next, message.rows.associate { it.part to ownerOf(it, asked, now) })
        return if (following) emptyList() else listOf(follow(message.next))
    }

    private fun ownerOf(row: SlotTableRow, asked: MonotonicTime, now: MonotonicTime): PartOwner {
        val lease = settings.lease(row.part.kind)
        val lapsesAt = now + settings.withMargin(lease)
        return PartOwner(
            owner = row.holder,
            incarnation = row.incarnation,
            since = row.since,
            provenAt = row.lastRecordOffset,
            lapsesAt = lapsesAt,
            provenAfter = if (row.remainingMillis > 0) asked + row.remainingMillis.milliseconds - lease else null,
            usableFrom = lapsesAt.takeIf { row.unconfirmed },
            planVersion = row.planVersion,
        )
    }

    /** What the predecessor held and may still be spent, or nothing while an instance has not answered. */
    fun inherited(): List<InheritedPart> {
        if (answers.isEmpty() || !answers.keys.containsAll(others)) return emptyList()
        val latest = answers.values.maxBy { it.message.next }.message
        if (latest.next < table.next) return emptyList()
        return latest.rows.filter { it.holder == self && !it.unconfirmed }.map { row ->
            val end = answers.values.mapNotNull { endOf(it, row) }.max()
            InheritedPart(row.part, row.since, end)
        }
    }

    private fun endOf(answer: Answer, row: SlotTableRow): MonotonicTime? =
        answer.message.rows.find { it.part == row.part && it.since == row.since && it.holder == self }
            ?.let { answer.askedAt + it.remainingMillis.milliseconds }

    private companion object {
        const val TABLE_PEERS = 2
        val FOLLOW_WITHOUT_TABLE_AFTER = 500.milliseconds
        val ASK_INTERVAL = 1.seconds
    }
}
