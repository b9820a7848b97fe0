package org.cactuspulley.standins.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.platform.ErrorBody
import org.cactuspulley.standins.engine.GeneratedCompletion
import org.cactuspulley.standins.server.standinJson
import java.util.concurrent.Flow

/**
 * The outcome of reading one streamed answer.
 *
 * @property firstTokenNanoseconds the monotonic time at which the first text arrived; null if none arrived.
 * @property promptTokens the prompt tokens that the answer's usage block reports; 0 without a usage block.
 * @property cachedTokens the prompt tokens that the engine reused from its prefix cache, by the same block.
 * @property outputTokens the output tokens that the same block reports.
 */
internal data class StreamResult(
    val outcome: SendOutcome,
    val firstTokenNanoseconds: Long?,
    val promptTokens: Int,
    val cachedTokens: Int,
    val outputTokens: Int,
)

/** Parses a server-sent event stream line by line and compares its text with the [expected] answer. */
internal class AnswerReader(private val expected: GeneratedCompletion) : Flow.Subscriber<String> {
    private val expectedText = expected.text()
    private var matchedLength = 0
    private var foreignTextSeen = false
    private var endMarkerSeen = false
    private var firstTokenNanoseconds: Long? = null
    private var usage = Usage()

    override fun onSubscribe(subscription: Flow.Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onNext(line: String) {
        if (!line.startsWith(DATA_PREFIX)) return
        val data = line.removePrefix(DATA_PREFIX)
        if (data == END_MARKER) endMarkerSeen = true else readChunk(data)
    }

    override fun onError(throwable: Throwable) = Unit

    override fun onComplete() = Unit

    /** Classifies the lines received so far as if the stream had ended. */
    fun result(): StreamResult {
        val outcome = when {
            foreignTextSeen -> SendOutcome.FOREIGN
            endMarkerSeen && matchedLength == expectedText.length -> SendOutcome.WHOLE
            endMarkerSeen -> SendOutcome.INCOMPLETE
            else -> SendOutcome.BROKEN
        }
        return StreamResult(outcome, firstTokenNanoseconds, usage.promptTokens, usage.details.cachedTokens, usage.completionTokens)
    }

    private fun readChunk(data: String) {
        val chunk = try {
            standinJson.decodeFromString(Chunk.serializer(), data)
        } catch (_: SerializationException) {
            return
        }
        chunk.usage?.let { usage = it }
        val text = chunk.choices.firstOrNull()?.text().orEmpty()
        if (text.isEmpty()) return
        if (firstTokenNanoseconds == null) firstTokenNanoseconds = System.nanoTime()
        if (expectedText.startsWith(text, matchedLength)) matchedLength += text.length else foreignTextSeen = true
    }

    @Serializable
    private data class Chunk(val choices: List<Choice> = emptyList(), val usage: Usage? = null)

    @Serializable
    private data class Choice(val delta: Delta? = null, val text: String? = null) {
        fun text(): String = delta?.content ?: text.orEmpty()
    }

    @Serializable
    private data class Delta(val content: String? = null)

    @Serializable
    private data class Usage(
        @SerialName("prompt_tokens") val promptTokens: Int = 0,
        @SerialName("completion_tokens") val completionTokens: Int = 0,
        @SerialName("prompt_tokens_details") val details: PromptDetails = PromptDetails(),
    )

    @Serializable
    private data class PromptDetails(@SerialName("cached_tokens") val cachedTokens: Int = 0)

    companion object {
        private const val DATA_PREFIX = "data: "
        private const val END_MARKER = "[DONE]"

        /** Parses the error in the body of a refusal; null if the body is not an error. */
        fun parseError(body: String): ErrorBody? = try {
            standinJson.decodeFromString(ErrorBody.serializer(), body)
        } catch (_: SerializationException) {
            null
        }
    }
}
