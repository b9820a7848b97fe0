package org.cactuspulley.runtime.upstream

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlinx.serialization.json.JsonObject
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.requests.AnswerBody
import org.cactuspulley.core.requests.AnswerHeader
import org.cactuspulley.core.requests.AttemptOutcome
import org.cactuspulley.core.requests.InvalidAnswer
import org.cactuspulley.core.requests.RecordedAnswer
import java.io.ByteArrayOutputStream

/** The result of reading a part of a response. */
internal sealed interface ReadResult {
    /** The response is incomplete and more content is expected. */
    data object Incomplete : ReadResult

    /** The attempt has ended with [outcome]. If the response is complete, [responseEnd] is the part still to be sent to the caller. */
    class Ended(val outcome: AttemptOutcome, val responseEnd: ResponseEnd? = null) : ReadResult
}

/** Reads and validates the response of one attempt. The caller receives only validated content. */
internal sealed interface ResponseReader {
    /** The number of output tokens delivered to the caller, including those of earlier attempts. */
    val deliveredTokens: Int

    /** Reads the next bytes of the body. */
    fun onContent(content: ByteBuf): ReadResult

    /** Handles the end of the body that the HTTP framing indicates. */
    fun onBodyEnd(): ReadResult

    companion object {
        /** Returns a reader for the body of [response] and `Incomplete`, or null and the result if the response head ends the attempt. */
        fun create(
            request: AttemptRequest,
            response: HttpResponse,
            limits: ResponseLimits,
            onEvent: (ByteArray) -> Unit,
        ): Pair<ResponseReader?, ReadResult> {
            val id = response.headers().get(TargetHeaders.REQUEST_ID)
            val status = response.status().code()
            val isForeign = if (id == null) status < FIRST_ERROR_STATUS else id != request.attempt.text
            val hasFraming =
                HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response) || status in BODILESS_STATUSES ||
                    request.method == HttpMethod.HEAD
            // A crashing target ends its pending requests with empty responses that carry no request id.
            val isEmpty = id == null && status == OK_STATUS && HttpUtil.getContentLength(response, -1L) == 0L
            return when {
                isEmpty -> null to ReadResult.Ended(AttemptOutcome.Crashed(request.resumeFrom))

                isForeign -> null to ReadResult.Ended(AttemptOutcome.Invalid(InvalidAnswer.FOREIGN_REQUEST, request.resumeFrom))

                !hasFraming -> null to ReadResult.Ended(AttemptOutcome.Crashed(request.resumeFrom))

                request.kind == ResponseKind.ENGINE_STREAM && status == OK_STATUS -> StreamedResponseReader(request, limits, onEvent) to
                    ReadResult.Incomplete

                else -> BufferedResponseReader(request, status, response.headers(), limits) to ReadResult.Incomplete
            }
        }
    }
}

internal const val OK_STATUS = 200
internal const val FIRST_ERROR_STATUS = 400
internal const val CONFLICT_STATUS = 409
internal const val TOO_MANY_REQUESTS_STATUS = 429
internal const val FIRST_SERVER_ERROR_STATUS = 500
private val BODILESS_STATUSES = setOf(204, 304)

/** Reads a streamed response. It accepts each token once and in order, followed by the final chunk and the terminal marker. */
internal class StreamedResponseReader(
    private val request: AttemptRequest,
    private val limits: ResponseLimits,
    private val onEvent: (ByteArray) -> Unit,
) : ResponseReader {
    private val parser = EventStreamParser(limits.maximumLineBytes)
    private val tail = ByteArrayOutputStream()
    private val recorder = if (request.recordResponse) ResponseRecorder(limits.maximumRecordedBytes) else null
    private var nextIndex = request.resumeFrom
    private var usage: TokenUsage? = null
    private var result: ReadResult = ReadResult.Incomplete

    override val deliveredTokens: Int get() = nextIndex

    override fun onContent(content: ByteBuf): ReadResult {
        parser.parse(content) { data ->
            result = handleChunk(data)
            result is ReadResult.Incomplete
        }
        if (parser.overflowed) result = invalid(InvalidAnswer.TOO_LARGE)
        return result
    }

    override fun onBodyEnd(): ReadResult = ReadResult.Ended(AttemptOutcome.Crashed(nextIndex))

    private fun handleChunk(data: String): ReadResult {
        if (data == TERMINAL_MARKER) return handleTerminalMarker()
        val chunk = parseJsonObject(data) ?: return invalid(InvalidAnswer.UNREADABLE)
        if (chunk.stringField("id") != request.attempt.text) return invalid(InvalidAnswer.FOREIGN_REQUEST)
        chunk.usage()?.let { usage = it }
        val event = encodeEvent(chunk.withId(request.responseId.text).toString())
        val index = chunk.intField("index")
        when {
            chunk.hasFinishReason() || (index == null && usage != null) -> tail.writeBytes(event)

            index == null -> Unit

            index != nextIndex || tail.size() > 0 -> return invalid(InvalidAnswer.OUT_OF_ORDER)

            else -> {
                nextIndex += 1
                recorder?.add(event)
                onEvent(event)
            }
        }
        return ReadResult.Incomplete
    }

    private fun handleTerminalMarker(): ReadResult {
        val reportedUsage = usage ?: return ReadResult.Ended(AttemptOutcome.Crashed(nextIndex))
        val acceptedTokenCounts = setOf(nextIndex, nextIndex - request.resumeFrom)
        if (reportedUsage.outputTokens !in acceptedTokenCounts) return invalid(InvalidAnswer.OUT_OF_ORDER)
        tail.writeBytes(encodeEvent(TERMINAL_MARKER))
        recorder?.add(tail.toByteArray())
        val outcome = AttemptOutcome.Completed(
            status = OK_STATUS,
            promptTokens = reportedUsage.promptTokens,
            cachedTokens = reportedUsage.cachedTokens,
            outputTokens = nextIndex,
            answer = recorder?.toRecordedAnswer(OK_STATUS, listOf(AnswerHeader("content-type", EVENT_STREAM_CONTENT_TYPE))),
        )
        return ReadResult.Ended(outcome, ResponseEnd.StreamTail(tail.toByteArray()))
    }

    private fun invalid(reason: InvalidAnswer) = ReadResult.Ended(AttemptOutcome.Invalid(reason, nextIndex))

    private companion object {
        const val EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
    }
}

/** Buffers a response that is forwarded only when it is complete. */
internal class BufferedResponseReader(
    private val request: AttemptRequest,
    private val status: Int,
    private val headers: HttpHeaders,
    private val limits: ResponseLimits,
) : ResponseReader {
    private val body = ByteArrayOutputStream()

    override val deliveredTokens: Int get() = request.resumeFrom

    override fun onContent(content: ByteBuf): ReadResult {
        if (body.size() + content.readableBytes() > limits.maximumBufferedBytes) return invalid(InvalidAnswer.TOO_LARGE)
        content.readBytes(body, content.readableBytes())
        return ReadResult.Incomplete
    }

    override fun onBodyEnd(): ReadResult = when {
        request.kind == ResponseKind.SERVICE -> if (request.repeatable &&
            isTargetFailure()
        ) {
            targetFailed()
        } else {
            completed(body.toByteArray(), null)
        }

        status == OK_STATUS -> engineResponse()

        status == CONFLICT_STATUS && errorType() == WRONG_WEIGHTS -> ReadResult.Ended(AttemptOutcome.WrongWeights)

        request.repeatable && isTargetFailure() -> targetFailed()

        else -> completed(body.toByteArray(), null)
    }

    private fun engineResponse(): ReadResult {
        if (body.size() == 0) return ReadResult.Ended(AttemptOutcome.Crashed(request.resumeFrom))
        val json = parseJsonObject(body.toString(Charsets.UTF_8)) ?: return invalid(InvalidAnswer.UNREADABLE)
        if (json.stringField("id") != request.attempt.text) return invalid(InvalidAnswer.FOREIGN_REQUEST)
        return completed(json.withId(request.responseId.text).toString().toByteArray(), json.usage())
    }

    private fun completed(bytes: ByteArray, usage: TokenUsage?): ReadResult {
        val recorder = if (request.recordResponse) ResponseRecorder(limits.maximumRecordedBytes).apply { add(bytes) } else null
        val contentType = headers.get(HttpHeaderNames.CONTENT_TYPE)?.let { listOf(AnswerHeader("content-type", it)) }.orEmpty()
        val outcome = AttemptOutcome.Completed(
            status = status,
            promptTokens = usage?.promptTokens ?: 0,
            cachedTokens = usage?.cachedTokens,
            outputTokens = usage?.outputTokens ?: 0,
            answer = recorder?.toRecordedAnswer(status, contentType),
        )
        return ReadResult.Ended(outcome, ResponseEnd.Buffered(status, headers, bytes))
    }

    private fun isTargetFailure() = status >= FIRST_SERVER_ERROR_STATUS || status == TOO_MANY_REQUESTS_STATUS

    private fun targetFailed() = ReadResult.Ended(AttemptOutcome.TargetFailed(status))

    private fun errorType(): String? = (parseJsonObject(body.toString(Charsets.UTF_8))?.get("error") as? JsonObject)?.stringField("type")

    private fun invalid(reason: InvalidAnswer) = ReadResult.Ended(AttemptOutcome.Invalid(reason, request.resumeFrom))

    private companion object {
        const val WRONG_WEIGHTS = "wrong_weights"
    }
}

/** Copies a response of at most [maximumBytes] bytes for the journal. A larger response is not recorded. */
private class ResponseRecorder(private val maximumBytes: Int) {
    private val bytes = ByteArrayOutputStream()
    private var tooLarge = false

    fun add(content: ByteArray) {
        tooLarge = tooLarge || bytes.size() + content.size > maximumBytes
        if (!tooLarge) bytes.writeBytes(content)
    }

    fun toRecordedAnswer(status: Int, headers: List<AnswerHeader>): RecordedAnswer? =
        if (tooLarge) null else RecordedAnswer(status, headers, AnswerBody(bytes.toByteArray()))
}
