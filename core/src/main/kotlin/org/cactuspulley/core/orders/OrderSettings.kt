package org.cactuspulley.core.orders

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Configures the timing of orders.
 *
 * @property lease the time for which the issuer of an order may send it, counted from before its append.
 * @property leaseMargin the time that is added to the lease for clock drift and for an order in flight. When it has passed
 *    as well, the order can no longer be sent or arrive.
 * @property answerTimeout the time within which a target must answer an order.
 * @property retryInterval the time between two checks for orders that targets need, and the time after a failed send before
 *    an order is sent again.
 * @property refusalBackoff the time for which a target gets no new order after it refused one.
 */
public data class OrderSettings(
    val lease: Duration = 5.seconds,
    val leaseMargin: Duration = 2.seconds,
    val answerTimeout: Duration = 1.seconds,
    val retryInterval: Duration = 250.milliseconds,
    val refusalBackoff: Duration = 5.seconds,
)
