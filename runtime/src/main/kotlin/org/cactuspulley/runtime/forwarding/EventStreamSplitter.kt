package org.cactuspulley.runtime.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled

/**
 * Splits a stream of server-sent events at event boundaries, so that another target can continue a broken stream without a
 * truncated or duplicated event.
 */
internal class EventStreamSplitter(private val allocator: ByteBufAllocator) {
    private var partial: ByteBuf = Unpooled.EMPTY_BUFFER

    /** The id of the last complete event that had a numeric id; null before the first. */
    var lastEventId: Long? = null
        private set

    /** Whether there has been a complete event. */
    var hasEvents = false
        private set

    /** Whether the buffer holds the beginning of an incomplete event. */
    val hasPartialEvent: Boolean get() = partial.isReadable

    /** The number of bytes of the incomplete event. */
    val partialEventBytes: Int get() = partial.readableBytes()

    /** Adds [content] and returns the events that are now complete, or null if there are none. The caller must release the result. */
    fun accept(content: ByteBuf): ByteBuf? {
        val searchedBytes = partial.readableBytes()
        val joined = if (partial.isReadable) {
            allocator.buffer(partial.readableBytes() + content.readableBytes()).writeBytes(partial).writeBytes(content)
        } else {
            content.retainedSlice()
        }
        partial.release()
        partial = Unpooled.EMPTY_BUFFER
        val end = lastBoundary(joined, joined.readerIndex() + searchedBytes)
        if (end < 0) {
            partial = joined
            return null
        }
        hasEvents = true
        recordEventIds(joined, end)
        val complete = joined.readRetainedSlice(end - joined.readerIndex())
        if (joined.isReadable) partial = allocator.buffer(joined.readableBytes()).writeBytes(joined)
        joined.release()
        return complete
    }

    /** Discards the incomplete event and releases its buffer. */
    fun release() {
        partial.release()
        partial = Unpooled.EMPTY_BUFFER
    }

    /** Returns the index after the last empty line, or -1 if none ends at [searchStart] or later. */
    private fun lastBoundary(buffer: ByteBuf, searchStart: Int): Int {
        var index = buffer.writerIndex() - 1
        while (index >= searchStart && index > buffer.readerIndex()) {
            if (buffer.getByte(index) == LINE_FEED && previousLineEnds(buffer, index)) return index + 1
            index--
        }
        return -1
    }

    private fun previousLineEnds(buffer: ByteBuf, index: Int): Boolean {
        var before = index - 1
        if (buffer.getByte(before) == CARRIAGE_RETURN) before--
        return before >= buffer.readerIndex() && buffer.getByte(before) == LINE_FEED
    }

    private fun recordEventIds(buffer: ByteBuf, end: Int) {
        var lineStart = buffer.readerIndex()
        while (lineStart < end) {
            val lineEnd = buffer.indexOf(lineStart, end, LINE_FEED).let { if (it < 0) end else it }
            if (lineEnd - lineStart > ID_PREFIX.size && startsWithId(buffer, lineStart)) {
                val text = buffer.toString(lineStart + ID_PREFIX.size, lineEnd - lineStart - ID_PREFIX.size, Charsets.US_ASCII)
                text.trim().toLongOrNull()?.let { lastEventId = it }
            }
            lineStart = lineEnd + 1
        }
    }

    private fun startsWithId(buffer: ByteBuf, at: Int): Boolean = ID_PREFIX.indices.all { buffer.getByte(at + it) == ID_PREFIX[it] }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val ID_PREFIX = "id:".toByteArray()
    }
}
