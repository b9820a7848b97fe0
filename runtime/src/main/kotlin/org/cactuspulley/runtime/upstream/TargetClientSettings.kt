package org.cactuspulley.runtime.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the connections to targets.
 *
 * @property idleConnections the most unused connections kept to one target on each event loop.
 * @property handOverTimeout how long one of the two steps of moving cached blocks may take.
 * @property handOverBytes the most bytes of cached blocks that are moved.
 * @property endTimeout how long the end of a body may follow the terminal marker.
 */
public data class TargetClientSettings(
    val connectTimeout: Duration = 2.seconds,
    val maximumIdleConnectionsPerTarget: Int = 8,
    val bodyEndTimeout: Duration = 5.seconds,
    val kvCacheTransferTimeout: Duration = 2.seconds,
    val maximumKvCacheTransferBytes: Int = 64 shl 20,
    val limits: ResponseLimits = ResponseLimits(),
)

/**
 * Bounds of answers, in bytes.
 *
 * @property lineBytes one event of a streamed answer.
 * @property wholeBytes an answer that is not streamed.
 * @property keptBytes an answer that the journal keeps.
 */
public data class ResponseLimits(
    val maximumLineBytes: Int = 1 shl 20,
    val maximumBufferedBytes: Int = 8 shl 20,
    val maximumRecordedBytes: Int = 16 shl 10,
)
