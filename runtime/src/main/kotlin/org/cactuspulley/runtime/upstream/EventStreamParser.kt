package org.cactuspulley.runtime.upstream

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/** Extracts the values of the `data` lines from a stream of server-sent events. */
internal class EventStreamParser(private val maximumLineBytes: Int) {
    private val line = ByteArrayOutputStream()

    /** Whether a line exceeds [maximumLineBytes]. The rest of the stream is not parsed. */
    val overflowed: Boolean get() = line.size() > maximumLineBytes

    /** Parses [content] and passes the value of each complete `data` line to [onData] until it returns false. */
    fun parse(content: ByteBuf, onData: (String) -> Boolean) {
        while (content.isReadable && !overflowed) {
            val lineEnd = content.bytesBefore(LINE_FEED)
            if (lineEnd < 0) {
                content.readBytes(line, content.readableBytes())
                return
            }
            content.readBytes(line, lineEnd)
            content.skipBytes(1)
            val decodedLine = line.toString(Charsets.UTF_8).trimEnd('\r')
            line.reset()
            if (decodedLine.startsWith(DATA_FIELD) && !onData(decodedLine.removePrefix(DATA_FIELD).trimStart())) return
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val DATA_FIELD = "data:"
    }
}
