package org.cactuspulley.core.orders

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.OrderAction
import org.cactuspulley.core.record.OrderDecided
import org.cactuspulley.core.record.OrderEnded
import org.cactuspulley.core.record.StoredRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The last order to a target that holds.
 *
 * @property safeToReplaceAt when its issuer can't send it any more, nor an order that it sent arrive.
 */
internal data class CurrentOrder(
    val offset: LogOffset,
    val record: RecordId,
    val issuer: InstanceId,
    val action: OrderAction,
    val configuration: LogOffset,
    val safeToReplaceAt: MonotonicTime,
    val ended: Boolean = false,
) {
    val isOpenWeightLoad: Boolean get() = !ended && action is OrderAction.LoadWeights
}

/** The fold of the order stream: which order to each target holds. Every reader gets the same from the same records. */
internal class OrderTable(private val leaseMargin: Duration) {
    private val orders = HashMap<TargetId, CurrentOrder>()

    /** The number of weight loads that are open. */
    val openWeightLoads: Int get() = orders.values.count { it.isOpenWeightLoad }

    /** The orders that have not ended, by target. */
    val openOrders: Map<TargetId, CurrentOrder> get() = orders.filterValues { !it.ended }

    fun current(target: TargetId): CurrentOrder? = orders[target]

    /** Applies one record that was read at [now]; a record of another kind changes nothing. */
    fun apply(stored: StoredRecord, now: MonotonicTime) {
        when (val record = stored.record) {
            is OrderDecided -> applyDecision(stored, record, now)
            is OrderEnded -> applyEnd(record)
            else -> Unit
        }
    }

    /** Forgets ended orders that the log no longer holds. */
    fun dropBefore(firstKept: LogOffset) {
        orders.values.removeAll { it.ended && it.offset < firstKept }
    }

    private fun applyDecision(stored: StoredRecord, record: OrderDecided, now: MonotonicTime) {
        val current = orders[record.target]
        if (current?.offset != record.previous) return
        if (current != null && record.configuration < current.configuration) return
        val replaced = if (current?.isOpenWeightLoad == true) 1 else 0
        if (record.action is OrderAction.LoadWeights && openWeightLoads - replaced >= record.weightLoadLimit) return
        val safeToReplaceAt = now + record.leaseMillis.milliseconds + leaseMargin
        orders[record.target] =
            CurrentOrder(stored.offset, stored.id, record.issuer, record.action, record.configuration, safeToReplaceAt)
    }

    private fun applyEnd(record: OrderEnded) {
        val current = orders[record.target]?.takeIf { it.offset == record.decision } ?: return
        orders[record.target] = current.copy(ended = true)
    }
}
