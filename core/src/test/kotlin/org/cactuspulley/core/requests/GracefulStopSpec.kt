package org.cactuspulley.core.requests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds

class GracefulStopSpec : DescribeSpec({
    describe("a graceful stop") {
        fun startedStop() = GracefulStop(5.seconds).apply { begin(MonotonicTime.ZERO + 60.seconds, MonotonicTime.ZERO) }

        it("ends when the last answer that names the instance has run out and nothing runs") {
            val stop = startedStop()
            stop.tryComplete(MonotonicTime.ZERO + 4.seconds, idle = true) shouldBe false
            stop.tryComplete(MonotonicTime.ZERO + 5.seconds, idle = true) shouldBe true
        }

        it("goes on serving while callers still come") {
            val stop = startedStop()
            stop.requestArrived(MonotonicTime.ZERO + 4.9.seconds)
            stop.tryComplete(MonotonicTime.ZERO + 5.seconds, idle = true) shouldBe false
            stop.nextDeadline shouldBe MonotonicTime.ZERO + 5.9.seconds
            stop.tryComplete(MonotonicTime.ZERO + 5.9.seconds, idle = true) shouldBe true
        }

        it("ends at its deadline whoever comes") {
            val stop = startedStop()
            stop.requestArrived(MonotonicTime.ZERO + 59.9.seconds)
            stop.tryComplete(MonotonicTime.ZERO + 60.seconds, idle = false) shouldBe true
        }
    }
})
