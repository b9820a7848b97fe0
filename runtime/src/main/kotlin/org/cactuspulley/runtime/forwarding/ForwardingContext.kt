package org.cactuspulley.runtime.forwarding

import com.dynatrace.hash4j.hashing.Hashing
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import org.cactuspulley.core.quarantine.CrashNotice
import org.cactuspulley.runtime.control.MonotonicClock

/** What exchanges share; confined to [loop]. */
internal class ForwardingContext(
    val loop: EventLoop,
    val clock: MonotonicClock,
    val state: ForwardingState,
    val targetProtocol: TargetProtocol,
    val connections: TargetConnections,
    val log: DecisionLog,
    private val onCrash: (CrashNotice) -> Unit,
) {
    val allocator: ByteBufAllocator = PooledByteBufAllocator.DEFAULT

    /** Exchanges that have not ended. */
    val exchanges = LinkedHashSet<ForwardedExchange>()

    /** Takes note that a target broke off while it ran a request, and tells the fleet. */
    fun noteCrash(notice: CrashNotice) {
        if (state.crashes.add(notice, clock.now())) onCrash(notice)
    }

    /** Hashes what makes requests of one caller alike. */
    fun hash(path: String, body: ByteArray): Long =
        HASHER.hashStream().putString(path).putByteArray(body).asLong

    /** Whether the connection on which [response] came can carry another request. */
    fun staysOpen(response: HttpResponse): Boolean =
        HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING))

    private companion object {
        val HASHER = Hashing.xxh3_64()
    }
}
