package org.cactuspulley.runtime.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes callers' requests and accounts for what it holds of a request until it passes the request's head on.
 *
 * The folded lines of a header are joined in the buffer (RFC 9112, section 5.2), because the decoder itself would copy all that it has of
 * the header for each line.
 *
 * @param maxHeadBytes the largest size of the header lines of a head, and of a trailer.
 * @param share the memory of what is held.
 * @param maxFirstLineBytes the largest size of a request line.
 * @param onBytes called when bytes arrive.
 */
internal class CallerRequestDecoder(
    maxHeadBytes: Int,
    private val share: BufferMemory.Share,
    maxFirstLineBytes: Int = maxHeadBytes,
    private val onBytes: () -> Unit = {},
) : HttpRequestDecoder(accountedDecoderConfig(maxHeadBytes, maxFirstLineBytes, share::grow)) {
    /** The part of a message that the next bytes belong to. */
    private enum class Part { HEAD, BODY, CHUNKED_BODY, TRAILER }

    private var part = Part.HEAD
    private var hasRequestLine = false

    /** The bytes of [share] for lines that are not complete. */
    private var bufferedBytes = 0L

    private var isReleased = false

    /** Whether the head of a request has arrived in part. */
    @Volatile
    var isInHead = false
        private set

    /** The methods of the requests that have not been responded to. */
    val methods = ArrayDeque<HttpMethod>()

    /** The estimated memory of what is held. */
    val heldBytes: Long get() = share.bytes

    /** Gives up the memory of what is held; the connection is being closed. */
    fun release() {
        share.resize(0)
        bufferedBytes = 0
        isReleased = true
    }

    override fun createMessage(initialLine: Array<out String>): HttpMessage {
        hasRequestLine = true
        return super.createMessage(initialLine)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>) {
        if (isReleased) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        onBytes()
        val before = messages.size
        val start = buffer.readerIndex()
        val end = buffer.writerIndex()
        val limit = if (part == Part.HEAD || part == Part.TRAILER) unfold(buffer) else end
        if (limit > start) {
            buffer.writerIndex(limit)
            super.decode(context, buffer, messages)
            buffer.writerIndex(end)
            if (part == Part.CHUNKED_BODY && messages.size == before && isLastChunkLine(buffer, start)) part = Part.TRAILER
        }
        for (index in before until messages.size) passed(messages[index])
        isInHead = part == Part.HEAD && (hasRequestLine || buffer.isReadable)
        recordBuffered(buffer.readableBytes().toLong())
    }

    private fun passed(message: Any) {
        if (message is HttpRequest) {
            hasRequestLine = false
            methods.addLast(message.method())
            share.resize(0)
            bufferedBytes = 0
            part = if (HttpUtil.isTransferEncodingChunked(message)) Part.CHUNKED_BODY else Part.BODY
        }
        // After an invalid message the decoder only discards.
        if (message is LastHttpContent && (message as HttpObject).decoderResult().isSuccess) part = Part.HEAD
    }

    private fun recordBuffered(bytes: Long) {
        // A line that is not complete is bounded by the size of a head; the lines before it have been accounted for.
        share.grow(bytes - bufferedBytes)
        bufferedBytes = bytes
    }

    /** Whether what has been read from [start] is the line of the last chunk, whose size is 0. */
    private fun isLastChunkLine(buffer: ByteBuf, start: Int): Boolean {
        val digits = (start until buffer.readerIndex()).takeWhile { Character.digit(buffer.getByte(it).toInt(), HEXADECIMAL) >= 0 }
        return digits.isNotEmpty() && digits.all { buffer.getByte(it) == ZERO }
    }

    /**
     * Replaces the line ends within headers by spaces and returns the index up to which [buffer] can be decoded: a line at its end may go
     * on with the next bytes.
     */
    private fun unfold(buffer: ByteBuf): Int {
        val end = buffer.writerIndex()
        var lineStart = buffer.readerIndex()
        // Empty lines before a request are no end of a head.
        if (part == Part.HEAD && !hasRequestLine) while (lineStart < end && buffer.getByte(lineStart) <= SPACE) lineStart++
        var searched = lineStart
        while (true) {
            val lineFeed = buffer.indexOf(searched, end, LINE_FEED)
            if (lineFeed < 0) return end
            val lineEnd = if (lineFeed > lineStart && buffer.getByte(lineFeed - 1) == CARRIAGE_RETURN) lineFeed - 1 else lineFeed
            if (lineEnd == lineStart) return end
            if (lineFeed + 1 == end) return lineEnd
            val next = buffer.getByte(lineFeed + 1)
            searched = lineFeed + 1
            if (next == SPACE || next == TAB) {
                for (index in lineEnd..lineFeed) buffer.setByte(index, SPACE.toInt())
            } else {
                lineStart = searched
            }
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val ZERO = '0'.code.toByte()
        const val HEXADECIMAL = 16
    }
}

/** Encodes the responses to the requests that [requests] decodes; a response to HEAD has no body. */
internal class CallerResponseEncoder(private val requests: CallerRequestDecoder) : HttpResponseEncoder() {
    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) return super.isContentAlwaysEmpty(response)
        return requests.methods.removeFirstOrNull() == HttpMethod.HEAD || super.isContentAlwaysEmpty(response)
    }
}
