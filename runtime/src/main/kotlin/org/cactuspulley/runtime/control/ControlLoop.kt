package org.cactuspulley.runtime.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.InstanceCore
import org.cactuspulley.core.model.MonotonicTime
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Carries out one effect of the core. Called on the control thread, so it must not block. */
public fun interface EffectExecutor {
    /** Starts the work that [effect] asks for. */
    public fun execute(effect: CoreEffect)
}

/** Reads the monotonic clock of this process. */
public fun interface MonotonicClock {
    /** The present time. */
    public fun now(): MonotonicTime

    public companion object {
        /** The clock of the virtual machine. */
        public val SYSTEM: MonotonicClock = MonotonicClock { MonotonicTime(System.nanoTime()) }
    }
}

/**
 * The one thread that owns the control state: it feeds events and timers to the core and carries
 * its effects out in order.
 */
public class ControlLoop(
    name: String,
    private val core: InstanceCore,
    private val executor: EffectExecutor,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) : AutoCloseable {
    private val scheduler = ScheduledThreadPoolExecutor(1) { Thread(it, "control-$name").apply { isDaemon = true } }
        .apply { removeOnCancelPolicy = true }
    private var timer: ScheduledFuture<*>? = null
    private var timerDeadline: MonotonicTime? = null

    /** Hands [event] to the core soon; may be called from any thread. An event after [close] is dropped. */
    public fun submit(event: CoreEvent) {
        try {
            scheduler.execute { handle(event) }
        } catch (_: RejectedExecutionException) {
            logger.debug { "event after the end: ${event::class.simpleName}" }
        }
    }

    /** Reads control state on the control thread; completes exceptionally after [close]. */
    public fun <T> query(read: (MonotonicTime) -> T): CompletionStage<T> = CompletableFuture.supplyAsync({ read(clock.now()) }, scheduler)

    private fun handle(event: CoreEvent) {
        try {
            core.handle(event, clock.now()).forEach(executor::execute)
        } catch (failure: Exception) {
            logger.error(failure) { "control event failed: ${event::class.simpleName}" }
        }
        scheduleTimer()
    }

    private fun scheduleTimer() {
        val deadline = core.nextDeadline
        if (deadline == timerDeadline) return
        timer?.cancel(false)
        timerDeadline = deadline
        timer = deadline?.let {
            val delay = (it - clock.now()).inWholeNanoseconds.coerceAtLeast(MIN_TIMER_DELAY_NANOSECONDS)
            scheduler.schedule(::fireTimer, delay, TimeUnit.NANOSECONDS)
        }
    }

    private fun fireTimer() {
        timerDeadline = null
        handle(TimerFired)
    }

    override fun close() {
        scheduler.shutdownNow()
    }

    private companion object {
        const val MIN_TIMER_DELAY_NANOSECONDS = 1_000_000L
    }
}
