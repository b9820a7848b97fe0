package org.cactuspulley.runtime.forwarding

import com.dynatrace.hash4j.hashing.Hashing
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.quarantine.CrashNotice
import org.cactuspulley.runtime.control.MonotonicClock
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What exchanges share; confined to [loop]. */
internal class ForwardingContext(
    val loop: EventLoop,
    val clock: MonotonicClock,
    val state: ForwardingState,
    val targetProtocol: TargetProtocol,
    val connections: TargetConnectionPool,
    val log: DecisionLog,
    val loopDelay: LoopDelayMonitor,
    private val onCrash: (CrashNotice) -> Unit,
    private val sendDigests: () -> Unit,
) {
    val allocator: ByteBufAllocator = PooledByteBufAllocator.DEFAULT

    private var digestPending = false

    /** Exchanges that have not ended. */
    val exchanges = LinkedHashSet<ForwardedExchange>()

    /** Since when the instance leaves; null while it does not. */
    var stoppingSince: MonotonicTime? = null

    /** Whether a stream that begins now might not end before the process does. */
    fun refusesNewStreams(): Boolean = stoppingSince?.let { clock.now() - it > STREAM_START_LIMIT } ?: false

    /** Takes note that a target broke off while it ran a request, and tells the fleet. */
    fun reportCrash(notice: CrashNotice) {
        if (state.crashes.add(notice, clock.now())) onCrash(notice)
    }

    /** Tells peers this instance's state before the next regular digest. */
    fun scheduleDigest() {
        if (digestPending) return
        digestPending = true
        schedule(DIGEST_DELAY) {
            digestPending = false
            sendDigests()
        }
    }

    /** Runs [action] after [delay] on the event loop. */
    fun schedule(delay: Duration, action: () -> Unit): Future<*> =
        loop.schedule(action, delay.inWholeMicroseconds.coerceAtLeast(0), TimeUnit.MICROSECONDS)

    /** Runs [action] once all connections were read again: a timer that a task sets runs no sooner. */
    fun afterNextRead(action: () -> Unit) = loop.execute { schedule(Duration.ZERO, action) }

    /** Hashes what makes requests of one caller alike. */
    fun hash(path: String, body: ByteArray): Long =
        HASHER.hashStream().putString(path).putByteArray(body).asLong

    /** Whether the connection on which [response] came can carry another request. */
    fun isReusable(response: HttpResponse): Boolean =
        HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING))

    private companion object {
        /** By then no caller is sent here any more; what is left of the grace of 8 s is for streams that began before. */
        val STREAM_START_LIMIT = 2_800.milliseconds

        /** Gathers several changes in one digest; a fourth of the regular period. */
        val DIGEST_DELAY = 100.milliseconds

        val HASHER = Hashing.xxh3_64()
    }
}
