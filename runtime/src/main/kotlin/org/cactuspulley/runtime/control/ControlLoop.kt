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

/** Executes the effects that the core emits. */
public fun interface EffectExecutor {
    /** Starts the work that [effect] requests. Called on the control thread, so it must not block. */
    public fun execute(effect: CoreEffect)
}

/** Reads the monotonic clock of this process. */
public fun interface MonotonicClock {
    /** Returns the current time. */
    public fun now(): MonotonicTime

    public companion object {
        /** The clock that is based on [System.nanoTime]. */
        public val SYSTEM: MonotonicClock = MonotonicClock { MonotonicTime(System.nanoTime()) }
    }
}

/**
 * Runs the core on a single thread, the control thread, which owns all control state. The loop passes
 * events and expired timers to the core and executes the resulting effects in order.
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

    /** Queues [event] for the core; may be called from any thread. Events that are submitted after [close] are dropped. */
    public fun submit(event: CoreEvent) {
        try {
            scheduler.execute { run { handle(event) } }
        } catch (_: RejectedExecutionException) {
            logger.debug { "dropped event after close: ${event::class.simpleName}" }
        }
    }

    /**
     * Runs [read] on the control thread, where it may access control state, and completes with its result.
     * Throws [RejectedExecutionException] after [close].
     */
    public fun <T> query(read: (MonotonicTime) -> T): CompletionStage<T> = CompletableFuture.supplyAsync({ read(clock.now()) }, scheduler)

    /** Runs [task] on the control thread. The executor would keep an error of it to itself. */
    private fun run(task: () -> Unit) = try {
        task()
    } catch (error: Error) {
        reportUncaught(error)
    }

    private fun handle(event: CoreEvent) {
        try {
            core.handle(event, clock.now()).forEach(executor::execute)
        } catch (failure: Exception) {
            logger.error(failure) { "failed to handle control event ${event::class.simpleName}" }
        } catch (failure: StackOverflowError) {
            // The message of a peer or a caller may cause it, and the next event finds the stack empty.
            logger.error { "failed to handle control event ${event::class.simpleName}: $failure" }
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
            scheduler.schedule({ run(::fireTimer) }, delay, TimeUnit.NANOSECONDS)
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
