package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetHealthSpec : DescribeSpec({
    describe("a target that gives a send no sign for long") {
        it("is asked for a connection first") {
            val health = TargetHealth()
            health.recordSilentSend(START) shouldBe SilenceAction.PROBE
            health.isExcluded(START) shouldBe false
        }

        it("is dark once a second send has none either") {
            val health = TargetHealth()
            health.recordSilentSend(START)
            health.recordSilentSend(START + 100.milliseconds) shouldBe SilenceAction.EXCLUDE
        }

        it("is not dark by sends that were silent one after the other, and not asked each time") {
            val health = TargetHealth()
            health.recordSilentSend(START) shouldBe SilenceAction.PROBE
            health.silentSendEnded()
            health.recordSilentSend(START + 100.milliseconds) shouldBe SilenceAction.WAIT
            health.silentSendEnded()
            health.recordSilentSend(START + 600.milliseconds) shouldBe SilenceAction.PROBE
        }

        it("is not asked while it is left out") {
            val health = TargetHealth()
            health.markUnresponsive(START)
            health.recordSilentSend(START + 100.milliseconds) shouldBe SilenceAction.WAIT
        }
    }

    describe("a target that failed") {
        for (failure in listOf(SendFailure.BROKEN, SendFailure.FAILED, SendFailure.SILENT)) {
            it("is left out after two in a row that were $failure, for longer each time, and taken back after a success") {
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

        it("counts as sound again with its first success") {
            val health = TargetHealth()
            health.recordFailure(SendFailure.UNREACHABLE, START)
            health.recordSuccess(START + 100.milliseconds)
            health.isExcluded(START + 100.milliseconds) shouldBe false
        }

        it("is not left out on another instance's word against a fresh success of its own") {
            val health = TargetHealth()
            health.recordSuccess(START)
            health.recordPeerExclusion(1.seconds, START + 100.milliseconds)
            health.isExcluded(START + 200.milliseconds) shouldBe false
            health.recordPeerExclusion(1.seconds, START + 2.seconds)
            health.isExcluded(START + 2.5.seconds) shouldBe true
        }
    }
})
