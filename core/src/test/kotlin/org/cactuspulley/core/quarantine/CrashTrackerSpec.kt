package org.cactuspulley.core.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime.ZERO + 10.seconds
private val FINGERPRINT = Fingerprint(null, 7)

private fun CrashTracker.crash(number: Int) = add(CrashNotice(FINGERPRINT, AttemptId("r-$number#0"), 60_000), START)

class CrashTrackerSpec : DescribeSpec({
    describe("a tracker of crashes") {
        it("suspects a request until it has crashed two targets") {
            val tracker = CrashTracker()
            tracker.verdict(FINGERPRINT, START) shouldBe QuarantineVerdict.Clear
            tracker.crash(1)
            tracker.verdict(FINGERPRINT, START) shouldBe QuarantineVerdict.Suspect
            tracker.crash(2)
            tracker.verdict(FINGERPRINT, START) shouldBe QuarantineVerdict.Quarantined(START + 60.seconds)
        }
    }
})
