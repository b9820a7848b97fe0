package org.cactuspulley.runtime.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.instance.InstanceCore
import org.cactuspulley.core.model.MonotonicTime
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val HANG_SECONDS = 20L

/** Throws [error] at the first event, and records the later ones. */
private class FailingPart(private val error: Throwable) : CorePart {
    val handled = LinkedBlockingQueue<CoreEvent>()
    private var hasFailed = false
    override val nextDeadline: MonotonicTime? = null

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        if (!hasFailed) {
            hasFailed = true
            throw error
        }
        handled += event
        return emptyList()
    }
}

/** Runs [action] while errors that no thread handles are recorded instead of ending the process. */
private fun recordingUncaught(action: (LinkedBlockingQueue<Throwable>) -> Unit) {
    val uncaught = LinkedBlockingQueue<Throwable>()
    val former = Thread.getDefaultUncaughtExceptionHandler()
    Thread.setDefaultUncaughtExceptionHandler { _, error -> uncaught += error }
    try {
        action(uncaught)
    } finally {
        Thread.setDefaultUncaughtExceptionHandler(former)
    }
}

class ControlLoopSpec : DescribeSpec({
    describe("an error of the control thread") {
        // The executor kept the error to itself: no timer was set any more, and the process stayed without deciding anything.
        it("after which its state cannot be trusted reaches the handler of uncaught errors") {
            recordingUncaught { uncaught ->
                ControlLoop("test", InstanceCore(listOf(FailingPart(OutOfMemoryError("none left")))), {}).use { loop ->
                    loop.submit(TimerFired)
                    uncaught.poll(HANG_SECONDS, TimeUnit.SECONDS).shouldBeInstanceOf<OutOfMemoryError>()
                }
            }
        }

        it("in handling one event does not keep the loop from the next one") {
            val part = FailingPart(StackOverflowError())
            ControlLoop("test", InstanceCore(listOf(part)), {}).use { loop ->
                loop.submit(TimerFired)
                loop.submit(StopRequested(MonotonicTime.ZERO))
                part.handled.poll(HANG_SECONDS, TimeUnit.SECONDS) shouldBe StopRequested(MonotonicTime.ZERO)
            }
        }
    }
})
