package org.cactuspulley.standins.engine

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.standins.server.HttpExchange
import org.cactuspulley.standins.server.ObservedCall

/** A completion call that an engine runs; it writes the response to the caller. */
internal class EngineCall(val exchange: HttpExchange, val request: CompletionRequest, val job: EngineJob) {
    val attempt: String get() = job.attempt

    /** The index of the call in the engine's call recorder. */
    var recordIndex = 0

    /** The call whose completion is sent instead of this call's own, or null. */
    var foreignCall: EngineCall? = null

    /** The index of the token before which the connection is closed, or null. */
    var cutAtToken: Int? = null
    private var isStreamStarted = false
    private val responseAttempt: String get() = foreignCall?.attempt ?: attempt
    private val responseCompletion: GeneratedCompletion get() = foreignCall?.request?.completion ?: request.completion
    private val responseHeaders get() = mapOf(TargetHeaders.REQUEST_ID to responseAttempt)

    fun toObservedCall(target: TargetId, incarnation: Long) = ObservedCall(
        target = target,
        incarnation = incarnation,
        attempt = attempt,
        method = exchange.method,
        path = exchange.path,
        contentDigest = request.completion.digest,
        idempotencyKey = exchange.header(TargetHeaders.IDEMPOTENCY_KEY),
        headers = exchange.headers,
        startNanoseconds = System.nanoTime(),
        promptTokens = job.promptTokens,
        pieces = job.chains.toList(),
    )

    fun sendToken(index: Int) {
        if (!request.isStreamed) return
        startStream()
        send(
            chunk {
                put("index", index)
                choice(responseCompletion.tokenText(index), null)
            },
        )
    }

    fun finish(cachedTokens: Int) {
        if (!request.isStreamed) return respondUnstreamed(cachedTokens)
        startStream()
        send(
            chunk {
                choice("", "stop")
                usage(cachedTokens)
            },
        )
        exchange.send("data: [DONE]\n\n")
        exchange.finishStream()
    }

    fun endByCrash() {
        if (isStreamStarted) exchange.disconnect() else exchange.respond(200)
    }

    private fun startStream() {
        if (isStreamStarted) return
        isStreamStarted = true
        exchange.startStream(HttpExchange.EVENT_STREAM, responseHeaders)
    }

    private fun send(chunk: JsonObject) = exchange.send("data: $chunk\n\n")

    private fun chunk(content: JsonObjectBuilder.() -> Unit) = buildJsonObject {
        put("id", responseAttempt)
        put("object", if (request.isChat) "chat.completion.chunk" else "text_completion")
        put("model", request.model)
        content()
    }

    private fun JsonObjectBuilder.choice(text: String, finishReason: String?) {
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                if (request.isChat) putJsonObject("delta") { put("content", text) } else put("text", text)
                if (finishReason == null) put("finish_reason", JsonNull) else put("finish_reason", finishReason)
            }
        }
    }

    private fun JsonObjectBuilder.usage(cachedTokens: Int) {
        putJsonObject("usage") {
            put("prompt_tokens", job.promptTokens)
            put("completion_tokens", job.outputTokens)
            put("total_tokens", job.promptTokens + job.outputTokens)
            putJsonObject("prompt_tokens_details") { put("cached_tokens", cachedTokens) }
        }
    }

    private fun respondUnstreamed(cachedTokens: Int) {
        val text = responseCompletion.text(job.firstOutputToken)
        val body = buildJsonObject {
            put("id", responseAttempt)
            put("object", if (request.isChat) "chat.completion" else "text_completion")
            put("model", request.model)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    if (request.isChat) {
                        putJsonObject("message") {
                            put("role", "assistant")
                            put("content", text)
                        }
                    } else {
                        put("text", text)
                    }
                    put("finish_reason", "stop")
                }
            }
            usage(cachedTokens)
        }
        exchange.respond(200, body.toString().encodeToByteArray(), headers = responseHeaders)
    }
}
