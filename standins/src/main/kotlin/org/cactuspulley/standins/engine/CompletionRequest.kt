package org.cactuspulley.standins.engine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.cactuspulley.standins.server.standinJson

/** One message of a chat completion request. */
@Serializable
internal data class ChatMessage(val role: String = "user", val content: JsonElement = JsonPrimitive(""))

/** The body of a completion request: [messages] for a chat completion, [prompt] for a text completion. */
@Serializable
internal data class CompletionBody(
    val model: String,
    val messages: List<ChatMessage> = emptyList(),
    val prompt: String? = null,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
    @SerialName("max_completion_tokens") val maximumCompletionTokens: Int? = null,
    val stream: Boolean = false,
    val adapter: String? = null,
)

/** A parsed completion request and the completion that the engine generates for it. */
internal class CompletionRequest(private val body: CompletionBody, val isChat: Boolean) {
    val model: String get() = body.model
    val adapter: String? get() = body.adapter
    val isStreamed: Boolean get() = body.stream
    val prompt: String = body.prompt ?: body.messages.joinToString("\n") { (it.content as? JsonPrimitive)?.contentOrNull.orEmpty() }
    val completion = GeneratedCompletion(model, prompt, body.maximumTokens ?: body.maximumCompletionTokens ?: DEFAULT_MAXIMUM_TOKENS)

    companion object {
        private const val DEFAULT_MAXIMUM_TOKENS = 64

        fun parse(bytes: ByteArray, isChat: Boolean): Result<CompletionRequest, InvalidCompletionRequest> = try {
            Ok(CompletionRequest(standinJson.decodeFromString(CompletionBody.serializer(), bytes.decodeToString()), isChat))
        } catch (failure: SerializationException) {
            Err(InvalidCompletionRequest(failure.message.orEmpty()))
        }
    }
}

/** Reports that a body could not be parsed as a completion request, and the [reason]. */
internal data class InvalidCompletionRequest(val reason: String)
