package org.cactuspulley.standins.load

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.cactuspulley.core.routing.estimateTokens
import org.cactuspulley.standins.engine.CRASHING_TEXT
import org.cactuspulley.standins.engine.GeneratedAnswer
import org.cactuspulley.standins.service.contentDigest
import org.cactuspulley.standins.trace.PromptText
import org.cactuspulley.standins.trace.TraceArrival
import org.cactuspulley.standins.trace.TraceCall
import org.cactuspulley.standins.trace.TraceCompletion

/** A request as it is sent, and what its whole answer is. */
internal sealed interface PreparedRequest {
    val path: String
    val body: ByteArray
    val contentDigest: String
    val chargedTokens: Long
    val promptTokens: Int
    val idempotencyKey: String?

    class Completion(completion: TraceCompletion, texts: PromptText) : PreparedRequest {
        private val messages = texts.of(completion.prompt).let { if (completion.poison) it + CRASHING_TEXT else it }
        private val prompt = messages.joinToString("\n")
        val answer = GeneratedAnswer(completion.model.text, prompt, completion.outputTokens)
        override val path = "/v1/chat/completions"
        override val contentDigest = answer.digest
        override val promptTokens = estimateTokens(prompt.length)
        override val chargedTokens = promptTokens.toLong() + completion.outputTokens
        override val idempotencyKey: String? = null
        override val body = buildJsonObject {
            put("model", completion.model.text)
            put("max_tokens", completion.outputTokens)
            put("stream", true)
            putJsonObject("stream_options") { put("include_usage", true) }
            putJsonArray("messages") {
                messages.forEachIndexed { index, text ->
                    addJsonObject {
                        put("role", if (index == messages.lastIndex) "user" else "system")
                        put("content", text)
                    }
                }
            }
        }.toString().encodeToByteArray()
    }

    class Call(call: TraceCall) : PreparedRequest {
        override val path = call.path
        override val idempotencyKey = call.resendOf ?: call.id
        override val body = buildJsonObject { put("order", idempotencyKey) }.toString().encodeToByteArray()
        override val contentDigest = contentDigest("POST", path, body)
        override val chargedTokens = 1L
        override val promptTokens = 0
    }

    companion object {
        fun of(arrival: TraceArrival, texts: PromptText): PreparedRequest = when (arrival) {
            is TraceCompletion -> Completion(arrival, texts)
            is TraceCall -> Call(arrival)
        }
    }
}
