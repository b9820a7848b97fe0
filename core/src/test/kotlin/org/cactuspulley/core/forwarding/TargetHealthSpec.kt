package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetHealthSpec : DescribeSpec({
    describe("a target that sends nothing in an attempt for long") {
        it("is probed with a connection first") {
            val health = TargetHealth()
            health.recordSilentAttempt(START) shouldBe SilenceAction.PROBE
            health.isExcluded(START) shouldBe false
        }

        it("is excluded once a second attempt is silent too") {
            val health = TargetHealth()
            health.recordSilentAttempt(START)
            health.recordSilentAttempt(START + 100.milliseconds) shouldBe SilenceAction.EXCLUDE
        }

        it("is not excluded for consecutive silent attempts, and not probed for each of them") {
            val health = TargetHealth()
            health.recordSilentAttempt(START) shouldBe SilenceAction.PROBE
            health.silentAttemptEnded()
            health.recordSilentAttempt(START + 100.milliseconds) shouldBe SilenceAction.WAIT
            health.silentAttemptEnded()
            health.recordSilentAttempt(START + 600.milliseconds) shouldBe SilenceAction.PROBE
        }

        it("is not probed while it is excluded") {
            val health = TargetHealth()
            health.markUnresponsive(START)
            health.recordSilentAttempt(START + 100.milliseconds) shouldBe SilenceAction.WAIT
        }
    }

    describe("a target that failed") {
        for (failure in listOf(SendFailure.BROKEN, SendFailure.FAILED, SendFailure.SILENT)) {
            it("is excluded after two consecutive $failure failures, for longer each time, and included again after a success") {
                val health = TargetHealth()
                health.recordFailure(failure, START)
                health.isExcluded(START) shouldBe false
                health.recordFailure(failure, START)
                health.isExcluded(START) shouldBe true
                health.isExcluded(START + 600.milliseconds) shouldBe true
                health.isExcluded(START + 700.milliseconds) shouldBe false
                health.isExcluded(START + 800.milliseconds) shouldBe false
                health.recordFailure(failure, START + 1.seconds)
                health.isExcluded(START + 2_300.milliseconds) shouldBe true
                health.recordSuccess(START + 2.seconds)
                health.isExcluded(START + 2.seconds) shouldBe false
            }
        }

        it("is included again after its first success") {
            val health = TargetHealth()
            health.recordFailure(SendFailure.UNREACHABLE, START)
            health.recordSuccess(START + 100.milliseconds)
            health.isExcluded(START + 100.milliseconds) shouldBe false
        }

        it("is not excluded by the report of another instance after a recent local success") {
            val health = TargetHealth()
            health.recordSuccess(START)
            health.recordPeerExclusion(1.seconds, START + 100.milliseconds)
            health.isExcluded(START + 200.milliseconds) shouldBe false
            health.recordPeerExclusion(1.seconds, START + 2.seconds)
            health.isExcluded(START + 2.5.seconds) shouldBe true
        }
    }
})
