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
public fun splitPrompt(text: String): List<PromptPiece> = PromptSplitter().apply { append(text) }.pieces()

/** Splits a prompt that is appended in parts into pieces of [PIECE_TOKENS] tokens, and holds no more than one piece of its text. */
public class PromptSplitter {
    private val pieces = ArrayList<PromptPiece>()
    private val characters = CharArray(PIECE_TOKENS * CHARACTERS_PER_TOKEN)
    private var length = 0

    /** Appends [text] to the prompt. */
    public fun append(text: String): Unit = append(text.toCharArray(), 0, text.length)

    /** Appends [count] characters of [source] from [offset] on to the prompt. */
    public fun append(source: CharArray, offset: Int, count: Int) {
        var position = offset
        while (position < offset + count) {
            val copied = minOf(characters.size - length, offset + count - position)
            source.copyInto(characters, length, position, position + copied)
            position += copied
            length += copied
            if (length == characters.size) endPiece()
        }
    }

    /** Returns the pieces of what has been appended; the last piece may be shorter. */
    public fun pieces(): List<PromptPiece> {
        if (length > 0) endPiece()
        return pieces.toList()
    }

    private fun endPiece() {
        val text = String(characters, 0, length)
        pieces += PromptPiece(Hashing.xxh3_64().hashCharsToLong(text), estimateTokens(length))
        length = 0
    }
}

/** Returns the estimated number of tokens in a text of [characters] characters, rounded up. */
public fun estimateTokens(characters: Int): Int = (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN
