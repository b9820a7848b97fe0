package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WeightsLimitsSpec : DescribeSpec({
    val limits = WeightsLimits(8.seconds)

    describe("the time until which requests are sent to older weights") {
        // Guards against requests that are sent to a target where they can't begin before they have to be withdrawn.
        it("ends early enough for a request that begins as late as usual") {
            limits.sendLimit(3.seconds) shouldBe 5.seconds
            limits.sendLimit(9.seconds) shouldBe Duration.ZERO
        }

        // Guards against targets that are left out although requests would begin there in time.
        it("lasts until waiting requests are withdrawn if requests begin at once") {
            limits.sendLimit(20.milliseconds) shouldBe limits.withdrawalLimit
        }
    }
})
