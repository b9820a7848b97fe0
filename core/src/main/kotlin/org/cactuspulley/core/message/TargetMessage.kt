package org.cactuspulley.core.message

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.TargetStatus

/**
 * Changes of the cache of one engine, as read by the instance that watches it.
 *
 * @property stored the chained hashes of the pieces that were stored.
 * @property evicted the chained hashes of the pieces that were evicted.
 * @property cleared whether the cache was cleared before these changes.
 * @property complete false if earlier changes were lost or if evictions were left out.
 */
@Serializable
public sealed interface TargetMessage : PeerMessage

/** What the watcher of some targets last saw of them. */
@Serializable
public data class TargetSummaries(val summaries: List<TargetSummary>) : TargetMessage

/**
 * What the watcher saw of one target.
 *
 * @property status the last status, or null when the target did not answer.
 * @property ageMillis the time since the watcher asked, in milliseconds.
 * @property failures unanswered questions since the last answer.
 */
@Serializable
public data class TargetSummary(val target: TargetId, val status: TargetStatus?, val ageMillis: Long, val failures: Int)

/**
 * Changes of the cache of one engine, as read by the instance that watches it.
 *
 * @property stored the chained hashes of the pieces that were stored.
 * @property evicted the chained hashes of the pieces that were evicted.
 * @property cleared whether the cache was cleared before these changes.
 * @property complete false if earlier changes were lost or if evictions were left out.
 */
@Serializable
public data class CacheDigest(
    val target: TargetId,
    val incarnation: Long,
    val stored: List<Long>,
    val evicted: List<Long>,
    val cleared: Boolean,
    val complete: Boolean,
) : TargetMessage

/** The sender's traffic found [target] dead. */
@Serializable
public data class TargetCrashReport(val target: TargetId) : TargetMessage

/**
 * The sender started a request that makes [target] compute [tokens] prompt tokens. It is only sent for
 * whole pieces, so that requests on known prompts cost no message.
 *
 * @property pieces the chained hashes of the pieces that the target is going to have cached.
 */
@Serializable
public data class PlacementNotice(
    val target: TargetId,
    val incarnation: Long,
    val tokens: Int,
    val pieces: List<Long>,
) : TargetMessage
