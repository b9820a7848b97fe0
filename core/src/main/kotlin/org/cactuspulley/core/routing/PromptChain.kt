/*
 * Chained hashes of prompt pieces. The hash of a piece depends on all pieces before it and on the cache
 * scope (workspace, model, weights, adapter), so that a cache entry of another scope never matches.
 */
package org.cactuspulley.core.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.requests.PromptPiece

/** The number of tokens in a full prompt piece. */
public const val PIECE_TOKENS: Int = 1024

/** The number of characters that are estimated as one token. */
public const val CHARACTERS_PER_TOKEN: Int = 4

/** Returns the cache salt of a scope. An engine keeps the cache entries of different scopes separate by it. */
public fun cacheScope(workspace: WorkspaceId?, model: ModelName, weights: WeightsVersion, adapter: AdapterName?): String =
    listOf(workspace?.text.orEmpty(), model.text, weights.text, adapter?.text.orEmpty()).joinToString("\u0000")

/** Returns the chained hashes of all pieces of [prompt] within [scope], in order. */
public fun chainHashes(scope: String, prompt: List<PromptPiece>): LongArray {
    var previous = Hashing.xxh3_64().hashCharsToLong(scope)
    return LongArray(prompt.size) { index ->
        previous = Hashing.xxh3_64().hashStream().putLong(previous).putLong(prompt[index].contentHash).asLong
        previous
    }
}

/** Splits [text] into pieces of [PIECE_TOKENS] tokens; the last piece may be shorter. */
public fun splitPrompt(text: String): List<PromptPiece> =
    text.chunked(PIECE_TOKENS * CHARACTERS_PER_TOKEN) { piece ->
        val characters = piece.toString()
        PromptPiece(Hashing.xxh3_64().hashCharsToLong(characters), estimateTokens(characters.length))
    }

/** Returns the estimated number of tokens in a text of [characters] characters, rounded up. */
public fun estimateTokens(characters: Int): Int = (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN
