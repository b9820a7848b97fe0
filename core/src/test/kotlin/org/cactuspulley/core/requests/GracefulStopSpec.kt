package org.cactuspulley.core.requests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds

class GracefulStopSpec : DescribeSpec({
    describe("a graceful stop") {
        fun startedStop() = GracefulStop(5.seconds).apply { begin(MonotonicTime.ZERO + 60.seconds, MonotonicTime.ZERO) }

        it("completes when the entry answers that name the instance have expired and no request is active") {
            val stop = startedStop()
            stop.tryComplete(MonotonicTime.ZERO + 4.seconds, idle = true) shouldBe false
            stop.tryComplete(MonotonicTime.ZERO + 5.seconds, idle = true) shouldBe true
        }

        it("extends the service time when a request arrives") {
            val stop = startedStop()
            stop.requestArrived(MonotonicTime.ZERO + 4.9.seconds)
            stop.tryComplete(MonotonicTime.ZERO + 5.seconds, idle = true) shouldBe false
            stop.nextDeadline shouldBe MonotonicTime.ZERO + 5.9.seconds
            stop.tryComplete(MonotonicTime.ZERO + 5.9.seconds, idle = true) shouldBe true
        }

        it("completes at its deadline even if requests are active") {
            val stop = startedStop()
            stop.requestArrived(MonotonicTime.ZERO + 59.9.seconds)
            stop.tryComplete(MonotonicTime.ZERO + 60.seconds, idle = false) shouldBe true
        }
    }
})
