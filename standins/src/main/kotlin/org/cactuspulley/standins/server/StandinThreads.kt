package org.cactuspulley.standins.server

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import org.cactuspulley.core.model.MonotonicTime
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The threads that all stand-ins of one process share: a few event loops for sockets and one timer thread. */
public object StandinThreads {
    private const val EVENT_LOOP_THREADS = 3

    /** The event loops that serve the sockets of all stand-ins. */
    public val eventLoopGroup: EventLoopGroup by lazy {
        MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, DefaultThreadFactory("standin-socket", true), NioIoHandler.newFactory())
    }

    private val timer = ScheduledThreadPoolExecutor(1) { Thread(it, "standin-timer").apply { isDaemon = true } }
        .apply { removeOnCancelPolicy = true }

    /** Runs [action] on the timer thread as soon as possible. */
    public fun execute(action: () -> Unit) {
        timer.execute(action)
    }

    /** Runs [action] on the timer thread after [delay]. */
    public fun schedule(delay: Duration, action: () -> Unit): ScheduledFuture<*> =
        timer.schedule(action, delay.inWholeNanoseconds.coerceAtLeast(0), TimeUnit.NANOSECONDS)

    /** The current time of the process's monotonic clock. */
    public fun now(): MonotonicTime = MonotonicTime(System.nanoTime())
}
