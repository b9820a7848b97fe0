/*
 * The completion that every engine generates for a request. It depends only on the content of the
 * request: a stream can be resumed on another engine, and a caller can check that it received the
 * complete response to its own request.
 */
package org.cactuspulley.standins.engine

import com.dynatrace.hash4j.hashing.Hashing

/**
 * The deterministic completion of one request.
 *
 * @property maximumTokens the requested maximum of tokens; the completion has at least three quarters of them.
 */
public class GeneratedCompletion(model: String, prompt: String, private val maximumTokens: Int) {
    private val seed = Hashing.xxh3_64().hashStream().putString(model).putString(prompt).putInt(maximumTokens).asLong

    /** A digest of the request's content. */
    public val digest: String = seed.toULong().toString(radix = 16)

    /** The number of tokens of the completion. */
    public val tokenCount: Int = maxOf(1, maximumTokens - (seed.toULong() % (maximumTokens / 4 + 1).toULong()).toInt())

    /** Returns the text of the token at [index]. */
    public fun tokenText(index: Int): String =
        (Hashing.xxh3_64().hashStream().putLong(seed).putInt(index).asLong and TOKEN_MASK).toString(radix = 16) + " "

    /** Returns the text of the completion, starting at token [first]. */
    public fun text(first: Int = 0): String = buildString { for (index in first until tokenCount) append(tokenText(index)) }

    private companion object {
        const val TOKEN_MASK = 0xFFFL
    }
}
