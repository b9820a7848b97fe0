/*
 * Chained hashes of prompt pieces. A piece's hash depends on everything before it and on the scope
 * (workspace, model, weights, adapter), so that an entry of another scope can't match.
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

/** The number of characters of text that count as one token. */
public const val CHARACTERS_PER_TOKEN: Int = 4

/** The text that an engine keeps the cache entries of one scope apart by. */
public fun cacheScope(workspace: WorkspaceId?, model: ModelName, weights: WeightsVersion, adapter: AdapterName?): String =
    listOf(workspace?.text.orEmpty(), model.text, weights.text, adapter?.text.orEmpty()).joinToString("\u0000")

/** The chained hash of every piece of [prompt] within [scope], in order. */
public fun chainHashes(scope: String, prompt: List<PromptPiece>): LongArray {
    var previous = Hashing.xxh3_64().hashCharsToLong(scope)
    return LongArray(prompt.size) { index ->
        previous = Hashing.xxh3_64().hashStream().putLong(previous).putLong(prompt[index].contentHash).asLong
        previous
    }
}

/** Cuts [text] in pieces of [PIECE_TOKENS] tokens; the last piece may be shorter. */
public fun splitPrompt(text: String): List<PromptPiece> =
    text.chunked(PIECE_TOKENS * CHARACTERS_PER_TOKEN) { piece ->
        val characters = piece.toString()
        PromptPiece(Hashing.xxh3_64().hashCharsToLong(characters), estimateTokens(characters.length))
    }

/** The number of tokens in a text of [characters] characters. */
public fun estimateTokens(characters: Int): Int = (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN
