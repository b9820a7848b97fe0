package org.cactuspulley.core.record

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.event.OrderOutcome
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.OrderAction

/** The order of [decision] is finished. Its issuer does not send it again, and the target is not carrying it out. */
@Serializable
public sealed interface OrderRecord : LogRecord

/**
 * An instance wants to give a target an order. It holds if it stands first in the log after [previous]
 * if fewer than [weightLoadLimit] weight loads are open, and if it follows no older configuration than
 * the decision before it; its offset is then the fencing number.
 *
 * @property previous the decision for this target that the issuer saw last, or null.
 * @property configuration the offset in the operators' stream up to which the issuer's configuration went.
 * @property leaseMillis the time from the append during which the issuer may send the order, in milliseconds.
 */
@Serializable
@SerialName("order_decided")
public data class OrderDecided(
    val target: TargetId,
    val issuer: InstanceId,
    val action: OrderAction,
    val previous: LogOffset?,
    val weightLoadLimit: Int,
    val configuration: LogOffset,
    val leaseMillis: Long,
) : OrderRecord

/** The order [decision] is over: its issuer sends it no more and the target is not at work on it. */
@Serializable
@SerialName("order_ended")
public data class OrderEnded(val target: TargetId, val decision: LogOffset, val outcome: OrderOutcome) : OrderRecord
