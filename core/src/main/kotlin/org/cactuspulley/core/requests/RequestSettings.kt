package org.cactuspulley.core.requests

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of retries and of a graceful stop.
 *
 * @property retryFraction the retries that each new request adds to the retry budget.
 * @property retryBurst the most retries that the budget holds.
 * @property maximumAttempts the most attempts of one request.
 * @property firstByteTimeout how long a repeatable request waits for a target's first byte before it is tried elsewhere.
 * @property noTargetTimeout how long a request waits while no target is healthy.
 * @property serviceAfterStop how long after the start of a graceful stop callers may still be sent here.
 */
public data class RequestSettings(
    val retryFraction: Double = 0.1,
    val retryBurst: Double = 128.0,
    val maximumAttempts: Int = 4,
    val firstByteTimeout: Duration = 30.seconds,
    val noTargetTimeout: Duration = 3.seconds,
    val serviceAfterStop: Duration = 5.seconds,
)
