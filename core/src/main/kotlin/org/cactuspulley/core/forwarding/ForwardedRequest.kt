package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.requests.PromptPiece

/**
 * What a caller's request says that decides where it goes.
 *
 * @property path the path without its query.
 * @property deadline when the caller stops waiting; null if it does not say.
 * @property lastEventId the last event of the stream that the caller already has.
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

/** The prompt of a request to an engine; [pieces] are in order and the last one is the request's own. */
public data class PromptDescription(
    val model: ModelName,
    val promptTokens: Int,
    val outputTokens: Int,
    val pieces: List<PromptPiece>,
) {
    /** Names what the request shares with others: its last shared piece. */
    public val affinity: Long? get() = (pieces.getOrNull(pieces.size - 2) ?: pieces.lastOrNull())?.contentHash

    /** The tokens of all pieces but the request's own. */
    public val sharedTokens: Int get() = promptTokens - (pieces.lastOrNull()?.tokens ?: promptTokens)

    /** Names the piece that it shares with most others, the first; null if it shares none. */
    public val rootPiece: Long? get() = pieces.firstOrNull()?.contentHash?.takeIf { pieces.size > 1 }
}
