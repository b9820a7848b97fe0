/*
 * This file contains helpers that parse and rewrite the JSON responses of engines.
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

/** The data of the event that ends a streamed response. */
internal const val TERMINAL_MARKER: String = "[DONE]"

/**
 * The token usage that an engine reports for a request.
 *
 * @property promptTokens the number of prompt tokens.
 * @property outputTokens the number of generated tokens.
 * @property cachedTokens the number of prompt tokens that the engine took from its cache, or null if it reports none.
 */
internal data class TokenUsage(val promptTokens: Int, val outputTokens: Int, val cachedTokens: Int?)

/** Parses [text] as a JSON object, or returns null if it is not one. */
internal fun parseJsonObject(text: String): JsonObject? = try {
    Json.parseToJsonElement(text) as? JsonObject
} catch (_: SerializationException) {
    null
}

internal fun JsonObject.stringField(name: String): String? = (this[name] as? JsonPrimitive)?.contentOrNull

internal fun JsonObject.intField(name: String): Int? = (this[name] as? JsonPrimitive)?.intOrNull

/** Returns a copy of the object with [id] as its `id`. */
internal fun JsonObject.withId(id: String): JsonObject = JsonObject(this + ("id" to JsonPrimitive(id)))

/** Returns the usage that the object reports, or null if it reports none. */
internal fun JsonObject.usage(): TokenUsage? {
    val usage = this["usage"] as? JsonObject ?: return null
    val details = usage["prompt_tokens_details"] as? JsonObject
    return TokenUsage(usage.intField("prompt_tokens") ?: 0, usage.intField("completion_tokens") ?: 0, details?.intField("cached_tokens"))
}

/** Whether a choice of the chunk has a finish reason, which marks the end of the generated text. */
internal fun JsonObject.hasFinishReason(): Boolean = (this["choices"] as? JsonArray).orEmpty()
    .any { choice -> ((choice as? JsonObject)?.get("finish_reason") ?: JsonNull) != JsonNull }

/** Encodes [data] as a server-sent event. */
internal fun encodeEvent(data: String): ByteArray = "data: $data\n\n".toByteArray()
