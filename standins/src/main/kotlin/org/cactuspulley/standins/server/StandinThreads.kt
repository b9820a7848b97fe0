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

/** Threads that all stand-ins of one process share: a few for sockets and one for timers. */
public object StandinThreads {
    private const val EVENT_LOOP_THREADS = 3

    /** Carries the sockets of all stand-ins. */
    public val eventLoopGroup: EventLoopGroup by lazy {
        MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, DefaultThreadFactory("standin-socket", true), NioIoHandler.newFactory())
    }

    private val timer = ScheduledThreadPoolExecutor(1) { Thread(it, "standin-timer").apply { isDaemon = true } }
        .apply { removeOnCancelPolicy = true }

    /** Runs [action] soon on the timer thread. */
    public fun execute(action: () -> Unit) {
        timer.execute(action)
    }

    /** Runs [action] on the timer thread after [delay]. */
    public fun schedule(delay: Duration, action: () -> Unit): ScheduledFuture<*> =
        timer.schedule(action, delay.inWholeNanoseconds.coerceAtLeast(0), TimeUnit.NANOSECONDS)

    /** The present time of this process. */
    public fun now(): MonotonicTime = MonotonicTime(System.nanoTime())
}
