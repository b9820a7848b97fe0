package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlannedStopSpec : DescribeSpec({
    val begin = MonotonicTime.ZERO + 100.seconds
    val stop = PlannedStop(begin, begin + 7.5.seconds)
    val late = begin + 4.seconds

    describe("a request that arrives late in a planned stop") {
        // Guards against refusals of short requests and streams only because their callers would wait for longer.
        it("is served if even an unusually slow response would be complete before the end") {
            stop.refuses(late + 15.seconds, 3_500.milliseconds, late) shouldBe false
        }

        it("is refused if a slow response would not be complete before the end") {
            stop.refuses(late + 15.seconds, 3_501.milliseconds, late) shouldBe true
        }

        it("is served if its deadline lies before the end, however long responses take") {
            stop.refuses(begin + 7.5.seconds, 9.seconds, late) shouldBe false
            stop.refuses(begin + 7.5.seconds, null, late) shouldBe false
        }

        it("is refused if its deadline lies behind the end and nothing is known of the time that responses take") {
            stop.refuses(begin + 7.6.seconds, null, late) shouldBe true
        }
    }

    describe("a request that arrives while callers may still have the address") {
        it("is served, whatever it takes") {
            stop.refuses(begin + 20.seconds, 9.seconds, begin + 2.8.seconds) shouldBe false
        }
    }
})
