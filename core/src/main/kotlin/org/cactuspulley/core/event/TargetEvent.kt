package org.cactuspulley.core.event

import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.platform.CacheEventPage
import org.cactuspulley.core.platform.TargetStatus

/** What concerns back ends. */
public sealed interface TargetEvent : CoreEvent

/** A target told its status; [askedAt] is when the question was sent. */
public data class StatusRead(val target: TargetId, val status: TargetStatus, val askedAt: MonotonicTime) : TargetEvent

/** A target did not tell its status in time. */
public data class StatusFailed(val target: TargetId, val askedAt: MonotonicTime) : TargetEvent

/** A page of an engine's cache events was read. */
public data class CacheEventsRead(val target: TargetId, val page: CacheEventPage) : TargetEvent

/** An engine did not tell its cache events in time. */
public data class CacheEventsFailed(val target: TargetId) : TargetEvent

/** A request's attempt found the target dead. Published by the selection part. */
public data class TargetCrashDetected(val target: TargetId) : TargetEvent

/**
 * Cache contents of one incarnation changed. Published by the target part.
 *
 * @property complete false when changes before these were lost.
 */
public data class CacheChanged(
    val target: TargetId,
    val incarnation: TargetIncarnation,
    val stored: List<Long>,
    val evicted: List<Long>,
    val cleared: Boolean,
    val complete: Boolean,
) : TargetEvent

/** A target answered the order with the number [fencing], or nothing is known of it. */
public data class OrderAnswered(val target: TargetId, val fencing: LogOffset, val outcome: OrderOutcome) : TargetEvent

/** What became of an order. */
public enum class OrderOutcome {
    /** The target has carried the order out. */
    DONE,

    /** The target has seen a higher fencing number. */
    STALE,

    /** The target refused the order for another reason; it did nothing. */
    REFUSED,

    /** No answer came; the order may be carried out or may still be. */
    UNKNOWN,
}
