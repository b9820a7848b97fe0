package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StreamTimingSpec : DescribeSpec({
    val arrivedAt = MonotonicTime.ZERO + 1_000.milliseconds

    describe("the timing of a stream") {
        it("is unknown before the first event") {
            val timing = StreamTiming(arrivedAt)
            timing.timeToFirstEvent shouldBe null
            timing.longestPause shouldBe Duration.ZERO
        }

        it("measures the time to the first event separately from the pauses between events") {
            val timing = StreamTiming(arrivedAt)
            listOf(700, 750, 1_000, 1_100).forEach { timing.eventsArrived(arrivedAt + it.milliseconds) }
            timing.timeToFirstEvent shouldBe 700.milliseconds
            timing.longestPause shouldBe 250.milliseconds
        }
    }
})
