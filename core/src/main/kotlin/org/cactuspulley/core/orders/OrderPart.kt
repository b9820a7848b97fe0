package org.cactuspulley.core.orders

import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.RecordOnTimeline
import org.cactuspulley.core.effect.SendOrder
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.LogEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.OrderAnswered
import org.cactuspulley.core.event.OrderOutcome
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.TargetEvent
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.message.TargetMessage
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.earliest
import org.cactuspulley.core.model.rendezvousRank
import org.cactuspulley.core.platform.OrderAction
import org.cactuspulley.core.platform.TargetOrder
import org.cactuspulley.core.platform.TargetState
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.OrderDecided
import org.cactuspulley.core.record.OrderEnded
import org.cactuspulley.core.targets.KnownTarget
import org.cactuspulley.core.targets.TargetDirectory
import org.cactuspulley.core.targets.watcherOf
import org.cactuspulley.core.timeline.OrderClosed
import org.cactuspulley.core.timeline.OrderIssued

/**
 * Gives targets the orders that bring them to the configuration. Orders are decided by the log: a
 * decision names the one before it, the first that does so holds, and its offset is the fencing
 * number. Usually the watcher of a target is its issuer, but any number may race.
 *
 * The issuer sends only until its lease ends, counted from before its append; others follow on an
 * open decision only when that has surely passed, counted from when they read it. So a target that
 * looks at no fencing number still gets orders one after the other. An open weight load holds its
 * place below the fleet's limit until its end, or a successor, stands in the log.
 */
public class OrderPart(
    private val self: InstanceId,
    private val incarnation: InstanceIncarnation,
    private val directory: TargetDirectory,
    private val settings: OrderSettings = OrderSettings(),
) : CorePart {
    private val table = OrderTable(settings.leaseMargin)
    private val pendingOrders = HashMap<TargetId, PendingOrder>()
    private val closeRetryAt = HashMap<TargetId, MonotonicTime>()
    private val refusalBackoffUntil = HashMap<TargetId, MonotonicTime>()
    private var membership = Membership(self, emptyMap())
    private var isFollowing = false
    private var nextOffset = LogOffset.FIRST
    private var atTail = false
    private var recordCount = 0L
    private var nextCheckAt: MonotonicTime? = null

    override val nextDeadline: MonotonicTime?
        get() = pendingOrders.values.fold(nextCheckAt) { earliestDeadline, order -> earliest(earliestDeadline, order.nextDeadline) }

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        if (!isRelevant(event, now)) return emptyList()
        val effects = mutableListOf<CoreEffect>()
        when (event) {
            is ConfigurationChanged -> effects += followOrders()
            is MembershipChanged -> membership = event.membership
            is RecordsRead -> if (event.stream == StreamName.ORDERS) handleRecordsRead(event, now)
            is ReadFailed -> if (event.stream == StreamName.ORDERS) atTail = false
            is AppendUncertain -> if (event.certainlyNotAppended) handleAppendFailure(event.recordId)
            is OrderAnswered -> handleAnswer(event, now)
            else -> Unit
        }
        effects += advancePendingOrders(now)
        effects += closeExpiredOrders(now)
        return effects + decideOrders(now)
    }

    private fun isRelevant(event: CoreEvent, now: MonotonicTime): Boolean = when (event) {
        is TimerFired -> nextDeadline.let { it != null && it <= now }
        is PeerMessageReceived -> event.message is TargetMessage
        is LogEvent, is TargetEvent, is ConfigurationChanged, is MembershipChanged -> true
        else -> false
    }

    private fun followOrders(): List<CoreEffect> {
        if (isFollowing) return emptyList()
        isFollowing = true
        return listOf(FollowStream(StreamName.ORDERS, nextOffset))
    }

    private fun handleRecordsRead(event: RecordsRead, now: MonotonicTime) {
        table.dropBefore(event.firstKept)
        event.records.filter { it.offset >= nextOffset }.forEach { table.apply(it, now) }
        nextOffset = maxOf(nextOffset, event.next)
        atTail = event.reachedTail
    }

    private fun handleAppendFailure(record: RecordId) {
        val (target, order) = pendingOrders.entries.firstOrNull { it.value.endRecord == record || it.value.record == record } ?: return
        if (order.endRecord == record) order.endRecord = null else pendingOrders.remove(target)
    }

    private fun handleAnswer(event: OrderAnswered, now: MonotonicTime) {
        val order = pendingOrders[event.target] ?: return
        if (table.current(event.target)?.let { it.offset == event.fencing && it.record == order.record } != true) return
        order.awaitingAnswer = false
        order.retryAt = now + settings.retryInterval
        when (event.outcome) {
            OrderOutcome.DONE -> order.accepted = true

            OrderOutcome.STALE, OrderOutcome.REFUSED -> {
                order.refusal = event.outcome
                refusalBackoffUntil[event.target] = now + settings.refusalBackoff
            }

            OrderOutcome.UNKNOWN -> order.mayArriveUntil = order.sentAt?.plus(settings.leaseMargin)
        }
    }

    /** Takes each order of this instance one step on. */
    private fun advancePendingOrders(now: MonotonicTime): List<CoreEffect> = pendingOrders.keys.toList().flatMap { target ->
        val order = pendingOrders.getValue(target)
        val current = table.current(target)
        when {
            current?.record == order.record -> if (current.ended) removePending(target) else advanceOrder(target, order, current, now)
            now >= order.deadline || isSuperseded(order, current) -> removePending(target)
            else -> emptyList()
        }
    }

    /** Whether the record of [order], once it is read, can't hold any more. */
    private fun isSuperseded(order: PendingOrder, current: CurrentOrder?): Boolean = current?.offset != order.previous

    private fun removePending(target: TargetId): List<CoreEffect> {
        pendingOrders.remove(target)
        return emptyList()
    }

    private fun advanceOrder(target: TargetId, order: PendingOrder, current: CurrentOrder, now: MonotonicTime): List<CoreEffect> {
        val known = directory.find(target) ?: return removePending(target)
        val outcome = order.refusal ?: OrderOutcome.DONE.takeIf { order.accepted && known.hasCompleted(current.action, order) }
        val mayArrive = !known.target.checksFencing && order.mayArriveUntil.let { it != null && now < it }
        return when {
            outcome != null && !mayArrive -> recordEnd(target, order, current, outcome, now)
            now >= order.deadline -> removePending(target)
            outcome != null || order.accepted || order.awaitingAnswer || now < order.retryAt -> emptyList()
            else -> sendOrder(known, order, current, now)
        }
    }

    private fun sendOrder(known: KnownTarget, order: PendingOrder, current: CurrentOrder, now: MonotonicTime): List<CoreEffect> {
        order.awaitingAnswer = true
        order.sentAt = now
        val message = TargetOrder(current.offset.number, self.text, current.action)
        val issued = OrderIssued(known.target.id, current.offset, current.action.toString())
        return listOf(SendOrder(known.target, message, minOf(order.deadline, now + settings.answerTimeout)), RecordOnTimeline(issued))
    }

    private fun recordEnd(
        target: TargetId,
        order: PendingOrder,
        current: CurrentOrder,
        outcome: OrderOutcome,
        now: MonotonicTime,
    ): List<CoreEffect> {
        if (order.endRecord != null && now < order.endRetryAt) return emptyList()
        val record = nextRecordId()
        order.endRecord = record
        order.endRetryAt = now + settings.lease
        return listOf(
            append(record, OrderEnded(target, current.offset, outcome)),
            RecordOnTimeline(OrderClosed(target, current.offset, outcome.name)),
        )
    }

    /** Ends open orders whose issuer is gone, so that they hold no place below the limit of weight loads. */
    private fun closeExpiredOrders(now: MonotonicTime): List<CoreEffect> {
        if (!atTail) return emptyList()
        val expiredOrders = table.openOrders.filter { (target, order) ->
            now >= order.safeToReplaceAt && target !in pendingOrders &&
                isResponsible(target)
        }
        return expiredOrders.mapNotNull { (target, order) ->
            val known = directory.find(target)
            if (known?.state == TargetState.LOADING || closeRetryAt[target].let { it != null && now < it }) return@mapNotNull null
            closeRetryAt[target] = now + settings.lease
            val outcome = if (known?.satisfies(order.action) == true) OrderOutcome.DONE else OrderOutcome.UNKNOWN
            append(nextRecordId(), OrderEnded(target, order.offset, outcome))
        }
    }

    private fun isResponsible(target: TargetId): Boolean {
        val known = directory.find(target)
        val responsible = if (known != null) watcherOf(known.target, membership.live) else fallbackIssuer(target)
        return responsible == self
    }

    private fun fallbackIssuer(target: TargetId): InstanceId? = rendezvousRank(target.text, membership.live) {
        it.id.text
    }.firstOrNull()?.id

    private fun decideOrders(now: MonotonicTime): List<CoreEffect> {
        val outstandingOrders = directory.targets.mapNotNull { known -> directory.nextOrder(known)?.let { known to it } }
        nextCheckAt = if (outstandingOrders.isEmpty() && table.openOrders.isEmpty()) null else now + settings.retryInterval
        if (!atTail) return emptyList()
        return outstandingOrders.mapNotNull { (known, action) -> decideOrder(known, action, now) }
    }

    private fun decideOrder(known: KnownTarget, action: OrderAction, now: MonotonicTime): CoreEffect? {
        val target = known.target.id
        if (target in pendingOrders || !isResponsible(target) || !mayDecide(known, action, now)) return null
        val previous = table.current(target)?.offset
        val record = nextRecordId()
        pendingOrders[target] = PendingOrder(record, previous, deadline = now + settings.lease, retryAt = now)
        val lease = settings.lease.inWholeMilliseconds
        val configuration = directory.configuration.next
        return append(record, OrderDecided(target, self, action, previous, weightLoadLimit(), configuration, lease))
    }

    private fun mayDecide(known: KnownTarget, action: OrderAction, now: MonotonicTime): Boolean {
        val target = known.target.id
        val current = table.current(target)
        val mayReplace = current == null ||
            (current.mayBeReplaced(known, action, now) && directory.configuration.next >= current.configuration)
        val isWithinLoadLimit = action !is OrderAction.LoadWeights || countWeightLoads(except = target) < weightLoadLimit()
        return mayReplace && isWithinLoadLimit && refusalBackoffUntil[target].let { it == null || now >= it }
    }

    /** The weight loads that are open in the log or about to be, or that are seen at targets. */
    private fun countWeightLoads(except: TargetId): Int = directory.targets.count { known ->
        val id = known.target.id
        val open =
            table.current(id)?.isOpenWeightLoad == true || pendingOrders[id].let { it != null && it.record != table.current(id)?.record }
        id != except && (open || known.state == TargetState.LOADING)
    }

    private fun weightLoadLimit(): Int = directory.configuration.plan.value.concurrentWeightLoads

    private fun nextRecordId(): RecordId = RecordId("order-${self.text}-${incarnation.number}-${recordCount++}")

    private fun append(id: RecordId, record: LogRecord): CoreEffect = AppendRecord(StreamName.ORDERS, id, record)
}

/** An order of this instance, from its append on. */
private class PendingOrder(
    val record: RecordId,
    val previous: LogOffset?,
    val deadline: MonotonicTime,
    var retryAt: MonotonicTime,
) {
    var awaitingAnswer = false
    var accepted = false

    /** Until when a sent order that was not answered may still arrive. */
    var mayArriveUntil: MonotonicTime? = null
    var sentAt: MonotonicTime? = null
    var refusal: OrderOutcome? = null
    var endRecord: RecordId? = null
    var endRetryAt: MonotonicTime = MonotonicTime.ZERO

    val nextDeadline: MonotonicTime
        get() = when {
            endRecord != null -> endRetryAt
            accepted || refusal != null -> mayArriveUntil?.takeIf { it > retryAt } ?: deadline
            sentAt == null || awaitingAnswer -> deadline
            else -> minOf(retryAt, deadline)
        }
}

private fun CurrentOrder.mayBeReplaced(known: KnownTarget, action: OrderAction, now: MonotonicTime): Boolean =
    ended || now >= safeToReplaceAt || (known.target.checksFencing && this.action != action)

/** Whether a status that was asked for after the order shows that it is carried out. */
private fun KnownTarget.hasCompleted(action: OrderAction, order: PendingOrder): Boolean {
    val sentAt = order.sentAt ?: return false
    val readAt = loadAt ?: return false
    return readAt > sentAt && satisfies(action)
}
