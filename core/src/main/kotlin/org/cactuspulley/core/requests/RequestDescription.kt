package org.cactuspulley.core.requests

import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId

/**
 * The properties of a request that decisions depend on. The body stays with the edge code that read it.
 *
 * @property key the digest of the key that the request carries, or null if it carries none.
 * @property profile the profile that the caller selected, or null for the workspace's first profile.
 * @property model the requested model, or null if the request is for a plain service.
 * @property prompt the pieces of the prompt, in order; empty for a plain service.
 * @property maximumOutputTokens the maximum number of tokens in the answer.
 * @property fingerprint a hash of the whole body, which is the same on every resend.
 * @property deadline the time after which the caller no longer waits for the answer.
 */
public data class RequestDescription(
    val id: RequestId,
    val key: KeyDigest?,
    val profile: ProfileName?,
    val method: String,
    val path: String,
    val model: ModelName?,
    val adapter: AdapterName?,
    val prompt: List<PromptPiece>,
    val maximumOutputTokens: Int,
    val streaming: Boolean,
    val idempotencyKey: IdempotencyKey?,
    val fingerprint: Long,
    val deadline: MonotonicTime,
) {
    /** The number of tokens in the whole prompt. */
    public val promptTokens: Int get() = prompt.sumOf { it.tokens }
}

/**
 * A piece of a prompt.
 *
 * @property contentHash a hash of the piece's own text, without what precedes it.
 * @property tokens the number of tokens in the piece.
 */
public data class PromptPiece(val contentHash: Long, val tokens: Int)
