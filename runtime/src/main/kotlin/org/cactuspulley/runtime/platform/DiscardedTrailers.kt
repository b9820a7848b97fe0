package org.cactuspulley.runtime.platform

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/** Headers that keep nothing. Trailers are not used anywhere, and their lines need many times their bytes as objects. */
private class DiscardedTrailers : DefaultHttpHeaders() {
    override fun add(name: CharSequence, value: Any): HttpHeaders = this
}

private object DiscardedTrailersFactory : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = DiscardedTrailers()

    override fun newEmptyHeaders(): HttpHeaders = EmptyHttpHeaders.INSTANCE
}

/** Returns the configuration of a decoder that keeps no trailers. */
internal fun untrailedDecoderConfig(): HttpDecoderConfig = HttpDecoderConfig().setTrailersFactory(DiscardedTrailersFactory)
