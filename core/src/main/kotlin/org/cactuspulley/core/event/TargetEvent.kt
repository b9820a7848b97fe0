package org.cactuspulley.core.event

import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.platform.CacheEventPage
import org.cactuspulley.core.platform.TargetStatus

/** An event about a target. */
public sealed interface TargetEvent : CoreEvent

/** The status of a target was read; [askedAt] is the time at which the read was sent. */
public data class StatusRead(val target: TargetId, val status: TargetStatus, val askedAt: MonotonicTime) : TargetEvent

/** A status read failed or timed out; [askedAt] is the time at which it was sent. */
public data class StatusFailed(val target: TargetId, val askedAt: MonotonicTime) : TargetEvent

/** A page of an engine's cache events was read. */
public data class CacheEventsRead(val target: TargetId, val page: CacheEventPage) : TargetEvent

/** A read of cache events failed or timed out. */
public data class CacheEventsFailed(val target: TargetId) : TargetEvent

/**
 * An attempt could not connect to the target, its connection broke, or its answer was empty. Published by target
 * selection.
 */
public data class TargetCrashDetected(val target: TargetId) : TargetEvent

/**
 * The cache contents of one incarnation of a target changed. Published by the target monitor.
 *
 * @property stored the chained hashes of the pieces that were stored.
 * @property evicted the chained hashes of the pieces that were evicted.
 * @property cleared whether the cache was cleared before the changes in [stored] and [evicted].
 * @property complete false if earlier changes or some evictions were lost.
 */
public data class CacheChanged(
    val target: TargetId,
    val incarnation: TargetIncarnation,
    val stored: List<Long>,
    val evicted: List<Long>,
    val cleared: Boolean,
    val complete: Boolean,
) : TargetEvent

/** The order with the fencing number [fencing] was answered by its target, or ended without an answer. */
public data class OrderAnswered(val target: TargetId, val fencing: LogOffset, val outcome: OrderOutcome) : TargetEvent

/** The outcome of an order. */
public enum class OrderOutcome {
    /** The target has executed the order. */
    DONE,

    /** The target refused the order because it has seen a higher fencing number. */
    STALE,

    /** The target refused the order for another reason and did not execute it. */
    REFUSED,

    /** No answer arrived; the order may have been executed or may still be. */
    UNKNOWN,
}
