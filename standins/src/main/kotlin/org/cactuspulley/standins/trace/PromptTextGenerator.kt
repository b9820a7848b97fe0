package org.cactuspulley.standins.trace

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.routing.CHARACTERS_PER_TOKEN
import java.util.concurrent.ConcurrentHashMap

/**
 * Generates the texts of prompt levels. Levels with equal ids and lengths have equal texts; texts of levels with
 * different ids differ from the first characters on.
 */
public class PromptTextGenerator {
    private val sharedTexts = ConcurrentHashMap<PromptLevel, String>()

    /**
     * Returns the text of each level of [prompt]. Joined by line feeds, the texts have exactly as many tokens as the
     * levels. The text of the last level is not cached, because no other prompt shares it.
     */
    public fun generate(prompt: List<PromptLevel>): List<String> = prompt.mapIndexed { index, level ->
        if (index == prompt.lastIndex) generateText(level) else sharedTexts.computeIfAbsent(level, ::generateText)
    }

    private fun generateText(level: PromptLevel): String {
        val length = maxOf(1, level.tokens * CHARACTERS_PER_TOKEN - 1)
        val seed = Hashing.xxh3_64().hashCharsToLong(level.id)
        val text = StringBuilder(length + HASH_DIGITS)
        var counter = 0
        while (text.length < length) {
            val hash = Hashing.xxh3_64().hashStream().putLong(seed).putInt(counter++).asLong
            text.append(hash.toULong().toString(HEXADECIMAL_RADIX).padStart(HASH_DIGITS, '0'))
        }
        text.setLength(length)
        return text.toString()
    }

    private companion object {
        const val HEXADECIMAL_RADIX = 16
        const val HASH_DIGITS = 16
    }
}
