/*
 * The answer that every engine gives to a request. It depends on the request's content alone, so
 * that a resumed stream fits and a caller can tell whether the answer is its own and whole.
 */
package org.cactuspulley.standins.engine

import com.dynatrace.hash4j.hashing.Hashing

/**
 * The deterministic answer to one request.
 *
 * @property maximumTokens the most tokens that were asked for; the answer has at least three quarters of them.
 */
public class GeneratedCompletion(model: String, prompt: String, private val maximumTokens: Int) {
    private val seed = Hashing.xxh3_64().hashStream().putString(model).putString(prompt).putInt(maximumTokens).asLong

    /** Names the request's content. */
    public val digest: String = seed.toULong().toString(radix = 16)

    /** The number of tokens of the answer. */
    public val tokenCount: Int = maxOf(1, maximumTokens - (seed.toULong() % (maximumTokens / 4 + 1).toULong()).toInt())

    /** The text of one token. */
    public fun tokenText(index: Int): String =
        (Hashing.xxh3_64().hashStream().putLong(seed).putInt(index).asLong and TOKEN_MASK).toString(radix = 16) + " "

    /** The text of the whole answer from token [first] on. */
    public fun text(first: Int = 0): String = buildString { for (index in first until tokenCount) append(tokenText(index)) }

    private companion object {
        const val TOKEN_MASK = 0xFFFL
    }
}
