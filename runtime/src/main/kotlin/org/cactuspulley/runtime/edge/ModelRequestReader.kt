/*
 * Reads the bodies of requests to models without a tree of their values: a body of legal size may consist of millions of them, each of
 * which needs many times its bytes as an object. The memory that is needed here is proportional to the size of the body.
 */
package org.cactuspulley.runtime.edge

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import org.cactuspulley.core.requests.PromptPiece
import org.cactuspulley.core.routing.PromptSplitter
import java.io.ByteArrayInputStream
import java.io.IOException
import java.io.InputStreamReader
import java.io.Writer
import java.nio.charset.CodingErrorAction

/**
 * What a body says about a request to a model.
 *
 * @property prompt the pieces of the whole prompt.
 * @property maximumOutputTokens the maximum that the caller states; null if it states none.
 */
internal data class ModelRequest(
    val model: String,
    val adapter: String?,
    val prompt: List<PromptPiece>,
    val maximumOutputTokens: Int?,
    val streaming: Boolean,
)

/** Reads the bodies of chat requests if [isChat] is true, and of completion requests otherwise. */
internal class ModelRequestReader(private val isChat: Boolean) {
    /** Returns what [body] says; null if it is no such request in JSON and UTF-8. */
    fun read(body: ByteArray): ModelRequest? {
        val decoder = Charsets.UTF_8.newDecoder()
            .onMalformedInput(CodingErrorAction.REPORT)
            .onUnmappableCharacter(CodingErrorAction.REPORT)
        return try {
            JSON.createParser(InputStreamReader(ByteArrayInputStream(body), decoder)).use(::readRequest)
        } catch (_: IOException) {
            null
        }
    }

    private fun readRequest(parser: JsonParser): ModelRequest {
        if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedModelRequestException()
        val fields = Fields()
        parser.forEachField { name -> readField(parser, name, fields) }
        if (parser.nextToken() != null) throw MalformedModelRequestException()
        return fields.toRequest()
    }

    private fun readField(parser: JsonParser, name: String, fields: Fields) {
        when (name) {
            "model" -> fields.model = readName(parser)
            "adapter" -> fields.adapter = readName(parser)
            "messages" -> if (isChat) fields.prompt = readMessages(parser) else parser.skipChildren()
            "prompt" -> if (isChat) parser.skipChildren() else fields.prompt = readPrompt(parser)
            "max_completion_tokens" -> fields.maxCompletionTokens = readOutputTokens(parser)
            "max_tokens" -> fields.maxTokens = readOutputTokens(parser)
            "stream" -> fields.streaming = parser.scalarOrNull()?.equals("true", ignoreCase = true) ?: false
            else -> parser.skipChildren()
        }
    }

    /** Returns a name, which is held until the response; null if the value is none. */
    private fun readName(parser: JsonParser): String? {
        val name = parser.stringOrNull()
        if (name != null && name.length > MAX_NAME_CHARACTERS) throw MalformedModelRequestException()
        return name
    }

    private fun readPrompt(parser: JsonParser): List<PromptPiece> = PromptSplitter().also { parser.appendStringTo(it) }.pieces()

    private fun readMessages(parser: JsonParser): List<PromptPiece> {
        val splitter = PromptSplitter()
        val count = parser.forEachObject("\n", splitter) { readMessage(parser, splitter) }
        if (count == 0) throw MalformedModelRequestException()
        return splitter.pieces()
    }

    private fun readMessage(parser: JsonParser, splitter: PromptSplitter) {
        var hasContent = false
        parser.forEachField { name ->
            if (name == "content") {
                hasContent = true
                readContent(parser, splitter)
            } else {
                parser.skipChildren()
            }
        }
        if (!hasContent) throw MalformedModelRequestException()
    }

    private fun readContent(parser: JsonParser, splitter: PromptSplitter) {
        if (parser.currentToken() == JsonToken.START_ARRAY) {
            parser.forEachObject("\n", splitter) { readPart(parser, splitter) }
        } else {
            parser.appendStringTo(splitter)
        }
    }

    private fun readPart(parser: JsonParser, splitter: PromptSplitter) {
        var hasText = false
        parser.forEachField { name ->
            if (name == "text") {
                hasText = true
                parser.appendStringTo(splitter)
            } else {
                parser.skipChildren()
            }
        }
        if (!hasText) throw MalformedModelRequestException()
    }

    private fun readOutputTokens(parser: JsonParser): Int =
        parser.scalarOrNull()?.toIntOrNull()?.takeIf { it >= 1 } ?: throw MalformedModelRequestException()

    /** The fields that have been read so far. */
    private class Fields {
        var model: String? = null
        var adapter: String? = null
        var prompt: List<PromptPiece>? = null
        var maxCompletionTokens: Int? = null
        var maxTokens: Int? = null
        var streaming = false

        fun toRequest() = ModelRequest(
            model = model ?: throw MalformedModelRequestException(),
            adapter = adapter,
            prompt = prompt ?: throw MalformedModelRequestException(),
            maximumOutputTokens = maxCompletionTokens ?: maxTokens,
            streaming = streaming,
        )
    }

    private companion object {
        /** Longer than the name of any model or adapter. */
        const val MAX_NAME_CHARACTERS = 1_024

        /** Names of fields are not kept: callers choose them. The size of a body limits its strings. */
        val JSON: JsonFactory = JsonFactory.builder()
            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder().maxStringLength(Int.MAX_VALUE).build())
            .build()
    }
}

/** Thrown for a body that is JSON, but no request to a model. */
private class MalformedModelRequestException : IOException("no request to a model") {
    /** It is caught at once, and a flood of such requests must not cost a stack trace each. */
    override fun fillInStackTrace(): Throwable = this
}

/** Passes the name of each field of the current object to [read], which must consume the value. */
private fun JsonParser.forEachField(read: (String) -> Unit) {
    while (nextToken() == JsonToken.FIELD_NAME) {
        val name = currentName()
        nextToken()
        read(name)
    }
}

/** Calls [read] for each object of the current array, with [separator] appended between two of them; returns their number. */
private fun JsonParser.forEachObject(separator: String, splitter: PromptSplitter, read: () -> Unit): Int {
    if (currentToken() != JsonToken.START_ARRAY) throw MalformedModelRequestException()
    var count = 0
    while (nextToken() != JsonToken.END_ARRAY) {
        if (currentToken() != JsonToken.START_OBJECT) throw MalformedModelRequestException()
        if (count++ > 0) splitter.append(separator)
        read()
    }
    return count
}

private fun JsonParser.appendStringTo(splitter: PromptSplitter) {
    if (currentToken() != JsonToken.VALUE_STRING) throw MalformedModelRequestException()
    getText(SplitterWriter(splitter))
}

private fun JsonParser.stringOrNull(): String? = if (currentToken() == JsonToken.VALUE_STRING) text else null.also { skipChildren() }

private fun JsonParser.scalarOrNull(): String? = if (currentToken().isScalarValue) text else null.also { skipChildren() }

/** Appends what is written to [splitter]. */
private class SplitterWriter(private val splitter: PromptSplitter) : Writer() {
    override fun write(characters: CharArray, offset: Int, length: Int) = splitter.append(characters, offset, length)

    override fun flush() = Unit

    override fun close() = Unit
}
