package org.cactuspulley.runtime.platform

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses on one connection and closes the connection, after [onUnexpected], if any bytes arrive while [isExpecting]
 * returns false.
 * Such bytes belong to no request. If they were kept, the beginning of a message would be joined to the next response.
 *
 *
 * @param isBodyless whether the response to the current request has no body, whatever its headers say.
 */
internal class ExpectedResponseDecoder(
    private val onUnexpected: () -> Unit = {},
    private val isBodyless: () -> Boolean = { false },
    config: HttpDecoderConfig = HttpDecoderConfig(),
    private val isExpecting: () -> Boolean,
) : HttpResponseDecoder(config) {
    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>) {
        if (!buffer.isReadable || isExpecting()) return super.decode(context, buffer, messages)
        buffer.skipBytes(buffer.readableBytes())
        onUnexpected()
        context.close()
    }

    /** A response with chunks whose status allows no body is invalid; the decoder would take the chunks for the next response. */
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        if (isBodyless()) return true
        val isEmpty = super.isContentAlwaysEmpty(message)
        require(!isEmpty || !message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) { "chunks after a status without a body" }
        return isEmpty
    }
}
