package org.cactuspulley.core.orders

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times of orders.
 *
 * @property lease how long the issuer of an order may send it, from its append on.
 * @property leaseMargin the time besides, for clock drift and for an order under way, until the lease has surely passed.
 * @property answerTimeout the time that a target has to answer an order.
 * @property retryInterval the time between two looks at what the targets lack.
 * @property refusalBackoff the time after which an order that a target refused is given again.
 */
public data class OrderSettings(
    val lease: Duration = 5.seconds,
    val leaseMargin: Duration = 2.seconds,
    val answerTimeout: Duration = 1.seconds,
    val retryInterval: Duration = 250.milliseconds,
    val refusalBackoff: Duration = 5.seconds,
)
