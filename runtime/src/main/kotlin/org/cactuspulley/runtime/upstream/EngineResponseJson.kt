/*
 * Reading of engines' JSON answers.
 */
package org.cactuspulley.runtime.upstream

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** The terminal marker of a streamed answer. */
internal const val TERMINAL_MARKER: String = "[DONE]"

/** What an engine says that a request used. */
internal data class TokenUsage(val promptTokens: Int, val outputTokens: Int, val cachedTokens: Int?)

/** The object in [text], or null if it is none. */
internal fun parseJsonObject(text: String): JsonObject? = try {
    Json.parseToJsonElement(text) as? JsonObject
} catch (_: SerializationException) {
    null
}

internal fun JsonObject.stringField(name: String): String? = (this[name] as? JsonPrimitive)?.contentOrNull

internal fun JsonObject.intField(name: String): Int? = (this[name] as? JsonPrimitive)?.intOrNull

/** The same object with another `id`. */
internal fun JsonObject.withId(id: String): JsonObject = JsonObject(this + ("id" to JsonPrimitive(id)))

/** The use that the object reports, or null if it reports none. */
internal fun JsonObject.usage(): TokenUsage? {
    val usage = this["usage"] as? JsonObject ?: return null
    val details = usage["prompt_tokens_details"] as? JsonObject
    return TokenUsage(usage.intField("prompt_tokens") ?: 0, usage.intField("completion_tokens") ?: 0, details?.intField("cached_tokens"))
}

/** Whether the chunk ends the answer's text. */
internal fun JsonObject.hasFinishReason(): Boolean = (this["choices"] as? JsonArray).orEmpty()
    .any { choice -> ((choice as? JsonObject)?.get("finish_reason") ?: JsonNull) != JsonNull }

/** One event with its framing. */
internal fun encodeEvent(data: String): ByteArray = "data: $data\n\n".toByteArray()
