package org.cactuspulley.core.model

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class MonotonicTimeSpec : DescribeSpec({
    val earliest = MonotonicTime(Long.MIN_VALUE)
    val latest = MonotonicTime(Long.MAX_VALUE)

    describe("a time") {
        it("is moved by a duration") {
            (MonotonicTime(5) + 3.nanoseconds) shouldBe MonotonicTime(8)
            (MonotonicTime(5) - 8.nanoseconds) shouldBe MonotonicTime(-3)
            (MonotonicTime(8) - MonotonicTime(5)) shouldBe 3.nanoseconds
            (MonotonicTime(-3) - MonotonicTime(5)) shouldBe (-8).nanoseconds
        }

        // Guards against a deadline so late that it overflows into the past.
        it("does not pass the latest or the earliest possible time") {
            (MonotonicTime(5) + Duration.INFINITE) shouldBe latest
            (latest + 1.seconds) shouldBe latest
            (MonotonicTime(-5) + Duration.INFINITE).nanoseconds shouldBe Long.MAX_VALUE - 5
            (MonotonicTime(-5) - Duration.INFINITE) shouldBe earliest
            (earliest - 1.seconds) shouldBe earliest
        }

        it("has an infinite distance from a time that is too far away") {
            (latest - MonotonicTime(-1)) shouldBe Duration.INFINITE
            (earliest - MonotonicTime(1)) shouldBe -Duration.INFINITE
        }
    }
})
