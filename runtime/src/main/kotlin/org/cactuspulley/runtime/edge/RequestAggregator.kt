package org.cactuspulley.runtime.edge

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import org.cactuspulley.core.requests.RefusalKind

/** Aggregates a request body of at most [maximumBodyBytes] bytes and refuses a larger one with a typed error response. */
internal class RequestAggregator(maximumBodyBytes: Int) : HttpObjectAggregator(maximumBodyBytes) {
    override fun handleOversizedMessage(context: ChannelHandlerContext, oversized: HttpMessage) {
        context.pipeline().get(CallerConnection::class.java).refuseAndClose(
            context.pipeline().context(CallerConnection::class.java),
            RefusalKind.BODY_TOO_LARGE,
        )
    }
}
