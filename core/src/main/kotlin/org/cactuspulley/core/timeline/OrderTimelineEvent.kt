package org.cactuspulley.core.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.TargetId

/** An event of an order to a target. */
@Serializable
public sealed interface OrderTimelineEvent : TimelineEvent

/**
 * This instance sends an order to a target.
 *
 * @property fencing the fencing number of the order.
 * @property action the text form of the ordered action.
 */
@Serializable
@SerialName("order_issued")
public data class OrderIssued(override val target: TargetId, val fencing: LogOffset, val action: String) : OrderTimelineEvent

/** An order of this instance ended; [fencing] is its fencing number and [outcome] a fixed label. */
@Serializable
@SerialName("order_closed")
public data class OrderClosed(override val target: TargetId, val fencing: LogOffset, val outcome: String) : OrderTimelineEvent
