package org.cactuspulley.runtime.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled

/**
 * Cuts a stream of server-sent events at the ends of events, so that a stream that breaks off can be
 * continued by another target without a torn or doubled event.
 */
internal class EventStreamSplitter(private val allocator: ByteBufAllocator) {
    private var partial: ByteBuf = Unpooled.EMPTY_BUFFER

    /** The id of the last whole event; null before the first that has one. */
    var lastEventId: Long? = null
        private set

    /** Whether bytes of an event that is not whole are held back. */
    val hasPartialEvent: Boolean get() = partial.isReadable

    /** Takes [content] and gives the whole events that it completes; null if it completes none. The caller owns the result. */
    fun accept(content: ByteBuf): ByteBuf? {
        val joined = if (partial.isReadable) {
            allocator.buffer(partial.readableBytes() + content.readableBytes()).writeBytes(partial).writeBytes(content)
        } else {
            content.retainedSlice()
        }
        partial.release()
        partial = Unpooled.EMPTY_BUFFER
        val end = lastBoundary(joined)
        if (end < 0) {
            partial = joined
            return null
        }
        recordEventIds(joined, end)
        val whole = joined.readRetainedSlice(end - joined.readerIndex())
        if (joined.isReadable) partial = allocator.buffer(joined.readableBytes()).writeBytes(joined)
        joined.release()
        return whole
    }

    /** Forgets what is held back. */
    fun release() {
        partial.release()
        partial = Unpooled.EMPTY_BUFFER
    }

    /** The index after the last empty line, or -1. */
    private fun lastBoundary(buffer: ByteBuf): Int {
        var index = buffer.writerIndex() - 1
        while (index > buffer.readerIndex()) {
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
