package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.requests.PromptPiece

/**
 * The parts of a caller's request that decide where it is sent.
 *
 * @property host the host name that the request names.
 * @property path the path without its query.
 * @property key the API key; null if the request has none.
 * @property deadline the time at which the caller stops waiting; null if it does not state one.
 * @property prompt the prompt of a request to an engine; null for other requests.
 * @property lastEventId the id of the last event of the stream that the caller has received; null if the caller does
 *    not resume a stream.
 */
public data class ForwardedRequest(
    val id: RequestId,
    val host: String,
    val path: String,
    val key: String?,
    val deadline: MonotonicTime?,
    val prompt: PromptDescription?,
    val lastEventId: Long?,
)

/**
 * The prompt of a request to an engine.
 *
 * @property promptTokens the number of tokens in the prompt.
 * @property outputTokens the largest number of tokens that the response may have.
 * @property pieces the pieces of the prompt in order; the last one belongs to this request only.
 */
public data class PromptDescription(
    val model: ModelName,
    val promptTokens: Int,
    val outputTokens: Int,
    val pieces: List<PromptPiece>,
) {
    /** The hash of the last shared piece, or of the only piece; requests with the same value share a prompt prefix. */
    public val affinity: Long? get() = (pieces.getOrNull(pieces.size - 2) ?: pieces.lastOrNull())?.contentHash

    /** The hashes of the pieces that other requests may share, which are all but the last. */
    public val sharedHashes: List<Long> get() = pieces.dropLast(1).map { it.contentHash }

    /** The number of tokens in the shared pieces, which are all but the last. */
    public val sharedTokens: Int get() = promptTokens - (pieces.lastOrNull()?.tokens ?: promptTokens)

    /** The hash of the root piece, the first one, which most other requests share; null if there are no shared pieces. */
    public val rootPiece: Long? get() = pieces.firstOrNull()?.contentHash?.takeIf { pieces.size > 1 }
}
