package org.cactuspulley.core.message

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.TargetStatus

/** A message about targets. */
@Serializable
public sealed interface TargetMessage : PeerMessage

/** The latest observations of targets by the instance that watches them. */
@Serializable
public data class TargetSummaries(val summaries: List<TargetSummary>) : TargetMessage

/**
 * The latest observation of one target.
 *
 * @property status the last status; null if the target crashed or did not answer the last status request.
 * @property ageMillis the time since the request for the last answered status, in milliseconds; 0 if none was answered.
 * @property failures the number of unanswered status requests since the last answer.
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

/** An attempt of the sender found that [target] had crashed. */
@Serializable
public data class TargetCrashReport(val target: TargetId) : TargetMessage

/**
 * The sender started a request that makes [target] compute [tokens] prompt tokens. The notice is sent only if at least one
 * full piece has to be computed or transferred, so that a request whose prompt is cached causes no messages.
 *
 * @property pieces the chained hashes of the pieces that the target will have cached.
 */
@Serializable
public data class PlacementNotice(
    val target: TargetId,
    val incarnation: Long,
    val tokens: Int,
    val pieces: List<Long>,
) : TargetMessage
