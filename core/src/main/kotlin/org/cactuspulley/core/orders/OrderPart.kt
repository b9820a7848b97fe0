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
 * Sends targets the orders that bring them to the configured state. The log serializes the decisions: each
 * decision names the previous one for its target, the first decision to do so takes effect, and its offset
 * is the fencing number of the order. The issuer is usually the instance that watches the target, but
 * several instances may compete.
 *
 * The issuer sends an order only until its lease ends, which is counted from before the append. Other
 * instances replace an open order only when the lease and its margin have passed since they read the
 * decision. Targets that don't check fencing numbers therefore still get one order at a time. If a target
 * checks them, an open order may be replaced earlier by a different one. An open weight load counts
 * towards the limit of the fleet until its end or its replacement is in the log.
 *
 * @property self the id of this instance.
 * @property incarnation the incarnation of this instance.
 * @property directory provides the state of the targets and the configuration.
 * @property settings the timing of the orders.
 */
public class OrderPart(
    private val self: InstanceId,
    private val incarnation: InstanceIncarnation,
    private val directory: TargetDirectory,
    private val settings: OrderSettings = OrderSettings(),
) : CorePart {
    private val table = OrderTable(settings.leaseMargin)

    /** Holds the orders that this instance has decided and that are neither ended nor given up. */
    private val pendingOrders = HashMap<TargetId, PendingOrder>()

    /** Holds the earliest time at which the end of another issuer's order to a target is appended again. */
    private val closeRetryAt = HashMap<TargetId, MonotonicTime>()

    /** Holds the time until which a target that refused an order gets no new one. */
    private val refusalBackoffUntil = HashMap<TargetId, MonotonicTime>()
    private var membership = Membership(self, emptyMap())
    private var isFollowing = false
    private var nextOffset = LogOffset.FIRST

    /** Tells whether the last read reached the end of the order stream. Decisions are made only in that state. */
    private var atTail = false

    /** Counts the appended records, which makes the record ids of this incarnation unique. */
    private var recordCount = 0L

    /** Holds the time of the next check for orders that targets need, or null if no check is needed. */
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

    /** Tells whether [event] can change anything about orders. */
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

    /**
     * Handles an append that certainly failed. If [record] ends an order, the end can be appended again at once. If it
     * decides an order, the order is removed.
     */
    private fun handleAppendFailure(record: RecordId) {
        val (target, order) = pendingOrders.entries.firstOrNull { it.value.endRecord == record || it.value.record == record } ?: return
        if (order.endRecord == record) order.endRecord = null else pendingOrders.remove(target)
    }

    /** Notes the outcome that [event] reports if it belongs to the current order to the target. */
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

    /** Advances each pending order by one step. */
    private fun advancePendingOrders(now: MonotonicTime): List<CoreEffect> = pendingOrders.keys.toList().flatMap { target ->
        val order = pendingOrders.getValue(target)
        val current = table.current(target)
        when {
            current?.record == order.record -> if (current.ended) removePending(target) else advanceOrder(target, order, current, now)
            now >= order.deadline || isSuperseded(order, current) -> removePending(target)
            else -> emptyList()
        }
    }

    /** Tells whether the decision of [order] can no longer take effect, because another order to its target did. */
    private fun isSuperseded(order: PendingOrder, current: CurrentOrder?): Boolean = current?.offset != order.previous

    private fun removePending(target: TargetId): List<CoreEffect> {
        pendingOrders.remove(target)
        return emptyList()
    }

    /** Sends, ends or gives up [order], which is the current order to [target], or waits. */
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

    /** Appends the end of an order. If the end is not read back within a lease, it is appended again. */
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

    /**
     * Ends open orders that can no longer be sent or arrive, so that they don't count towards the limit of weight loads.
     * An order to a target that is loading stays open.
     */
    private fun closeExpiredOrders(now: MonotonicTime): List<CoreEffect> {
        if (!atTail) return emptyList()
        val expiredOrders = table.openOrders.filter { (target, order) ->
            now >= order.safeToReplaceAt && target !in pendingOrders && isResponsible(target)
        }
        return expiredOrders.mapNotNull { (target, order) ->
            val known = directory.find(target)
            if (known?.state == TargetState.LOADING || closeRetryAt[target].let { it != null && now < it }) return@mapNotNull null
            closeRetryAt[target] = now + settings.lease
            val outcome = if (known?.satisfies(order.action) == true) OrderOutcome.DONE else OrderOutcome.UNKNOWN
            append(nextRecordId(), OrderEnded(target, order.offset, outcome))
        }
    }

    /** Tells whether this instance decides and closes the orders to [target]. */
    private fun isResponsible(target: TargetId): Boolean {
        val known = directory.find(target)
        val responsible = if (known != null) watcherOf(known.target, membership.live) else fallbackIssuer(target)
        return responsible == self
    }

    /** Returns the instance that closes the orders to [target] if the target is not configured. */
    private fun fallbackIssuer(target: TargetId): InstanceId? =
        rendezvousRank(target.text, membership.live) { it.id.text }.firstOrNull()?.id

    private fun decideOrders(now: MonotonicTime): List<CoreEffect> {
        val outstandingOrders = directory.targets.mapNotNull { known -> directory.nextOrder(known)?.let { known to it } }
        nextCheckAt = if (outstandingOrders.isEmpty() && table.openOrders.isEmpty()) null else now + settings.retryInterval
        if (!atTail) return emptyList()
        return outstandingOrders.mapNotNull { (known, action) -> decideOrder(known, action, now) }
    }

    /** Returns the append of a decision, or null if this instance may not order [action] now. */
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

    /** Tells whether the current order may be replaced, the limit of weight loads is kept, and no refusal is too recent. */
    private fun mayDecide(known: KnownTarget, action: OrderAction, now: MonotonicTime): Boolean {
        val target = known.target.id
        val current = table.current(target)
        val mayReplace = current == null ||
            (current.mayBeReplaced(known, action, now) && directory.configuration.next >= current.configuration)
        val isWithinLoadLimit = action !is OrderAction.LoadWeights || countWeightLoads(except = target) < weightLoadLimit()
        return mayReplace && isWithinLoadLimit && refusalBackoffUntil[target].let { it == null || now >= it }
    }

    /**
     * Returns the number of targets other than [except] that load weights, have an open weight load in the log, or have
     * a pending order of this instance that is not the current order.
     */
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

/**
 * An order that this instance has decided. It exists from the append of the decision.
 *
 * @property record the id of the record that contains the decision.
 * @property previous the offset of the order that it replaces, or null if there is none.
 * @property deadline the end of the lease.
 * @property retryAt the earliest time at which the order is sent again.
 */
private class PendingOrder(
    val record: RecordId,
    val previous: LogOffset?,
    val deadline: MonotonicTime,
    var retryAt: MonotonicTime,
) {
    /** Tells whether the order was sent and neither an answer nor a timeout has been reported since. */
    var awaitingAnswer = false

    /** Tells whether the target has accepted the order. */
    var accepted = false

    /** The time until which an unanswered order may still arrive at the target, or null if there is no such order. */
    var mayArriveUntil: MonotonicTime? = null

    /** The time of the last send, or null if the order was not sent yet. */
    var sentAt: MonotonicTime? = null

    /** The outcome with which the target refused the order, or null if it did not. */
    var refusal: OrderOutcome? = null

    /** The id of the record that ends the order, or null if no such record is appended. */
    var endRecord: RecordId? = null

    /** The time at which the end is appended again if it has not been read back. */
    var endRetryAt: MonotonicTime = MonotonicTime.ZERO

    /** The time at which the order has to be advanced again. */
    val nextDeadline: MonotonicTime
        get() = when {
            endRecord != null -> endRetryAt
            accepted || refusal != null -> mayArriveUntil?.takeIf { it > retryAt } ?: deadline
            sentAt == null || awaitingAnswer -> deadline
            else -> minOf(retryAt, deadline)
        }
}

/** Tells whether an order of [action] may replace this order now. */
private fun CurrentOrder.mayBeReplaced(known: KnownTarget, action: OrderAction, now: MonotonicTime): Boolean =
    ended || now >= safeToReplaceAt || (known.target.checksFencing && this.action != action)

/** Tells whether a status that was requested after [order] was sent shows that [action] is completed. */
private fun KnownTarget.hasCompleted(action: OrderAction, order: PendingOrder): Boolean {
    val sentAt = order.sentAt ?: return false
    val readAt = loadAt ?: return false
    return readAt > sentAt && satisfies(action)
}
