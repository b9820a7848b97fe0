package org.cactuspulley.core.requests

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings for retries, timeouts and a graceful stop.
 *
 * @property retryFraction the number of retries that each new request adds to the retry budget.
 * @property retryBurst the maximum number of retries that the retry budget holds.
 * @property maximumAttempts the maximum number of attempts of one request.
 * @property firstByteTimeout the time that a repeatable request waits for the first byte of an answer before it is
 *   retried at another target.
 * @property noTargetTimeout the maximum time that a request waits while every target of its pool is unhealthy.
 * @property serviceAfterStop the time after the start of a graceful stop for which entry answers may still name this instance.
 */
public data class RequestSettings(
    val retryFraction: Double = 0.1,
    val retryBurst: Double = 128.0,
    val maximumAttempts: Int = 4,
    val firstByteTimeout: Duration = 30.seconds,
    val noTargetTimeout: Duration = 3.seconds,
    val serviceAfterStop: Duration = 5.seconds,
)
