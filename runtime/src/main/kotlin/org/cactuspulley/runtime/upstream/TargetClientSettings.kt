package org.cactuspulley.runtime.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the connections to targets.
 *
 * @property connectTimeout the maximum time to establish a connection.
 * @property maximumIdleConnectionsPerTarget the maximum number of idle connections to one target on each event loop.
 * @property bodyEndTimeout the maximum time between the terminal marker and the end of the body.
 * @property kvCacheTransferTimeout the maximum time for each of the two steps of a KV cache transfer, the export and the import.
 * @property maximumKvCacheTransferBytes the maximum size of a KV cache transfer in bytes.
 * @property limits the size limits of responses.
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
 * Size limits of responses in bytes.
 *
 * @property maximumLineBytes the maximum size of one line of a streamed response.
 * @property maximumBufferedBytes the maximum size of a response that is not streamed.
 * @property maximumRecordedBytes the maximum size of a response that is recorded in the journal.
 */
public data class ResponseLimits(
    val maximumLineBytes: Int = 1 shl 20,
    val maximumBufferedBytes: Int = 8 shl 20,
    val maximumRecordedBytes: Int = 16 shl 10,
)
