package org.cactuspulley.standins.load

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.cactuspulley.core.routing.estimateTokens
import org.cactuspulley.standins.engine.CRASH_TRIGGER
import org.cactuspulley.standins.engine.GeneratedCompletion
import org.cactuspulley.standins.service.contentDigest
import org.cactuspulley.standins.trace.PromptTextGenerator
import org.cactuspulley.standins.trace.TraceArrival
import org.cactuspulley.standins.trace.TraceCall
import org.cactuspulley.standins.trace.TraceCompletion

/**
 * A request that is ready to be sent.
 *
 * @property contentDigest the digest that identifies the content in the records of targets.
 * @property chargedTokens the tokens charged to the rate: prompt tokens plus maximum output tokens; 1 for a call.
 * @property promptTokens the estimated prompt tokens; 0 for a call.
 * @property idempotencyKey the value of the idempotency header; null for a completion.
 */
internal sealed interface PreparedRequest {
    val path: String
    val body: ByteArray
    val contentDigest: String
    val chargedTokens: Long
    val promptTokens: Int
    val idempotencyKey: String?

    /** A streamed chat completion and the [answer] that an engine stand-in generates for it. */
    class Completion(completion: TraceCompletion, promptText: PromptTextGenerator) : PreparedRequest {
        private val messages = promptText.generate(completion.prompt).let { if (completion.poison) it + CRASH_TRIGGER else it }
        private val prompt = messages.joinToString("\n")
        val answer = GeneratedCompletion(completion.model.text, prompt, completion.outputTokens)
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

    /** A POST call of the plain service; a resend carries the idempotency key of the call that it repeats. */
    class Call(call: TraceCall) : PreparedRequest {
        override val path = call.path
        override val idempotencyKey = call.resendOf ?: call.id
        override val body = buildJsonObject { put("order", idempotencyKey) }.toString().encodeToByteArray()
        override val contentDigest = contentDigest("POST", path, body)
        override val chargedTokens = 1L
        override val promptTokens = 0
    }

    companion object {
        /** Prepares the request of one trace [arrival]. */
        fun of(arrival: TraceArrival, promptText: PromptTextGenerator): PreparedRequest = when (arrival) {
            is TraceCompletion -> Completion(arrival, promptText)
            is TraceCall -> Call(arrival)
        }
    }
}
