/*
 * Header lines are kept as objects that need many times their bytes on the wire. These headers tell how much while lines are decoded.
 */
package org.cactuspulley.runtime.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpMessage
import org.cactuspulley.runtime.platform.untrailedDecoderConfig

/** The estimated memory of the head of a message that was decoded with [AccountedHeaders]; 0 for other messages. */
internal val HttpMessage.heldBytes: Long get() = (headers() as? AccountedHeaders)?.heldBytes ?: 0

/** Thrown by a decoder's headers, so that the message becomes an invalid one. */
internal class HeadersTooLargeException : RuntimeException("no memory for more header lines") {
    /** The decoder catches it at once, and a flood of messages must not cost a stack trace each. */
    override fun fillInStackTrace(): Throwable = this
}

/**
 * Headers that estimate their memory.
 *
 * @param grow called with the estimated bytes of each line; returns false if there is no memory for it.
 */
internal class AccountedHeaders(private val grow: (Long) -> Boolean) : DefaultHttpHeaders() {
    /** The estimated memory of all lines in bytes. */
    var heldBytes = 0L
        private set

    override fun add(name: CharSequence, value: Any): HttpHeaders {
        val bytes = LINE_BYTES + name.length + value.toString().length
        heldBytes += bytes
        if (!grow(bytes)) throw HeadersTooLargeException()
        return super.add(name, value)
    }

    private companion object {
        /** The entry in the map (40 bytes), two character sequences (24 to 32 each), their arrays (16 each) and rounding to 8 bytes. */
        const val LINE_BYTES = 160L
    }
}

/**
 * Returns the configuration of a decoder that keeps no trailers and passes the memory of header lines to [grow].
 *
 * @param maxHeadBytes the largest size of all header lines together.
 * @param maxFirstLineBytes the largest size of the line before them.
 */
internal fun accountedDecoderConfig(
    maxHeadBytes: Int,
    maxFirstLineBytes: Int = maxHeadBytes,
    grow: (Long) -> Boolean,
): HttpDecoderConfig = untrailedDecoderConfig()
    .setMaxInitialLineLength(maxFirstLineBytes)
    .setMaxHeaderSize(maxHeadBytes)
    .setHeadersFactory(object : HttpHeadersFactory {
        override fun newHeaders(): HttpHeaders = AccountedHeaders(grow)

        override fun newEmptyHeaders(): HttpHeaders = AccountedHeaders(grow)
    })
