package org.cactuspulley.core.record

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.event.OrderOutcome
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.OrderAction

/** A record about orders to targets. */
@Serializable
public sealed interface OrderRecord : LogRecord

/**
 * The decision of an instance to give a target an order.
 *
 * The decision is valid if it is the first one for the target after [previous], if fewer than [weightLoadLimit] weight loads
 * are in progress, and if its configuration is not older than that of the preceding decision. The offset of a valid
 * decision is the fencing number of the order.
 *
 * @property previous the last decision for this target that the issuer had read; null if there was none.
 * @property configuration the offset in the operators' stream up to which the issuer had applied the configuration.
 * @property leaseMillis the time from the append for which the issuer may send the order, in milliseconds.
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

/** The order of [decision] is finished. Its issuer does not send it again, and the target is not carrying it out. */
@Serializable
@SerialName("order_ended")
public data class OrderEnded(val target: TargetId, val decision: LogOffset, val outcome: OrderOutcome) : OrderRecord
