package org.cactuspulley.runtime.forwarding

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.queueing.FairRequestQueue
import org.cactuspulley.core.queueing.QueueSettings
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.http.BufferMemory
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The state and services that all exchanges of an instance share; confined to [loop].
 *
 * @property loop the event loop of the instance.
 * @property clock the clock for all times and timeouts.
 * @property state what the instance knows about the configuration, the fleet and the targets.
 * @property targetProtocol the HTTP messages to and from targets.
 * @property connections the pooled connections to targets.
 * @property log the log of decisions and state changes.
 * @property loopDelay the monitor of delays of [loop].
 */
internal class ForwardingContext(
    val loop: EventLoop,
    val clock: MonotonicClock,
    val state: ForwardingState,
    val targetProtocol: TargetProtocol,
    val connections: TargetConnectionPool,
    val log: DecisionLog,
    val loopDelay: LoopDelayMonitor,
    private val sendDigests: () -> Unit,
    private val sendToAll: () -> Unit = sendDigests,
    requestMemoryBytes: Long = Long.MAX_VALUE,
) {
    /** The allocator of all buffers of the exchanges. */
    val allocator: ByteBufAllocator = PooledByteBufAllocator.DEFAULT

    /** The quarantine of requests that crash targets. */
    val quarantine = CrashQuarantineExchange(this) { sendToAll() }

    /** The era of the store. */
    val storeEra = StoreEra(log)

    /** What targets say in their responses about leaving. */
    val leavingTargets = LeavingTargetExchange(this)

    /** What targets say in their responses about their rate limits. */
    val rateLimits = RateLimitExchange(this)

    /** What the attempts of all instances show about the versions of services that are being released. */
    val releases = ReleaseExchange(this)

    /** The requests that wait for a target. */
    val waiting = WaitingRequests(
        FairRequestQueue(QueueSettings(capacity = state.queueCapacity), state.queueOrder),
        { clock.now() },
        { delay, action -> schedule(delay, action) },
        { loop.execute(it) },
    ) {
        state.rateLimits.clearReservations()
    }

    /** The memory of the responses that are held until they are complete. */
    val responseMemory = BufferMemory(MAX_RESPONSE_BYTES, MAX_RESPONSES_BYTES, clock::now)

    /** The memory of the requests of all connections, which are held until they have their responses. */
    val requestMemory = BufferMemory(requestMemoryBytes, requestMemoryBytes, clock::now)

    private var digestPending = false

    /** The exchanges that have not ended. */
    val exchanges = LinkedHashSet<ForwardedExchange>()

    /** The shutdown of the instance; null before it begins. */
    var plannedStop: PlannedStop? = null

    /** Returns whether a request should wait, until its [deadline] at most, because this instance has just started. */
    fun isStarting(deadline: MonotonicTime?): Boolean {
        val now = clock.now()
        val awaitsPeers = quarantine.isAwaitingPeers(now) && (deadline == null || now < deadline)
        return awaitsPeers || state.awaitsConfiguration(deadline, now)
    }

    /** Schedules an additional digest, so that peers learn of a change before the next regular digest. */
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

    /** Runs [action] after all connections have been read once more; a timer that a task schedules runs no sooner than that. */
    fun afterNextRead(action: () -> Unit) = loop.execute { schedule(Duration.ZERO, action) }

    /** Whether the connection that delivered [response] can be reused for another request. */
    fun isReusable(response: HttpResponse): Boolean = HttpUtil.isKeepAlive(response) && response.isFramed

    private companion object {
        /** Collects several changes into one digest; a quarter of the regular period. */
        val DIGEST_DELAY = 100.milliseconds

        /** Plain responses and events of targets have a few kilobytes at most. */
        const val MAX_RESPONSE_BYTES = 1024L * 1024

        /** A sixth of the buffer memory of an instance, for all its responses together. */
        const val MAX_RESPONSES_BYTES = 16L * 1024 * 1024
    }
}
