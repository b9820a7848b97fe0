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
 * The latest order to a target that took effect.
 *
 * @property offset the offset of the decision, which is the fencing number of the order.
 * @property record the id of the record that contains the decision.
 * @property issuer the instance that decided the order and sends it.
 * @property action the action that the order demands.
 * @property configuration the offset up to which the issuer had applied the configuration.
 * @property safeToReplaceAt the time from which the issuer can no longer send the order, and a sent order can no longer
 *    arrive.
 * @property ended whether the end of the order has been recorded.
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
    /** Tells whether the order counts towards the limit of concurrent weight loads. */
    val isOpenWeightLoad: Boolean get() = !ended && action is OrderAction.LoadWeights
}

/**
 * Holds the current order to each target, computed from the order stream. Which orders take effect depends on the records
 * alone, so every reader comes to the same result.
 *
 * @property leaseMargin the time after the lease of an order from which the order can no longer be sent or arrive.
 */
internal class OrderTable(private val leaseMargin: Duration) {
    private val orders = HashMap<TargetId, CurrentOrder>()

    /** The number of open weight loads. */
    val openWeightLoads: Int get() = orders.values.count { it.isOpenWeightLoad }

    /** The orders whose end has not been recorded, by target. */
    val openOrders: Map<TargetId, CurrentOrder> get() = orders.filterValues { !it.ended }

    /** Returns the latest order to [target] that took effect, or null if there is none. */
    fun current(target: TargetId): CurrentOrder? = orders[target]

    /** Applies one record that was read at [now]. Records of other kinds are ignored. */
    fun apply(stored: StoredRecord, now: MonotonicTime) {
        when (val record = stored.record) {
            is OrderDecided -> applyDecision(stored, record, now)
            is OrderEnded -> applyEnd(record)
            else -> Unit
        }
    }

    /** Removes ended orders that are older than [firstKept], the first offset that the log still holds. */
    fun dropBefore(firstKept: LogOffset) {
        orders.values.removeAll { it.ended && it.offset < firstKept }
    }

    /**
     * Applies a decision. It takes effect if it names the current order, if its issuer's configuration is not older than
     * that of the current order, and if it keeps to the limit of weight loads.
     */
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
