package org.cactuspulley.core.effect

import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.platform.TargetOrder

/** A call to a target. */
public sealed interface TargetEffect : CoreEffect

/** Reads the status of [target] once; answered by `StatusRead`, or by `StatusFailed` at [deadline] at the latest. */
public data class ReadStatus(val target: Target, val deadline: MonotonicTime) : TargetEffect

/**
 * Reads the cache events of an engine; answered by `CacheEventsRead`, or by `CacheEventsFailed` at [deadline] at the latest.
 *
 * @property from the number of the first event to read.
 * @property waitUntil the time until which the engine may wait for an event before it answers.
 */
public data class ReadCacheEvents(
    val target: Target,
    val from: Long,
    val waitUntil: MonotonicTime,
    val deadline: MonotonicTime,
) : TargetEffect

/** Sends an order to a target; answered by `OrderAnswered` at [deadline] at the latest. */
public data class SendOrder(val target: Target, val order: TargetOrder, val deadline: MonotonicTime) : TargetEffect
