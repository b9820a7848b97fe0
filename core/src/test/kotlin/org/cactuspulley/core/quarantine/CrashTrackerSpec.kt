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
    for (count in 2..3) {
        describe("a tracker that quarantines from $count crashes") {
            it("suspects a request until it has crashed that many targets") {
                val tracker = CrashTracker(count)
                tracker.verdict(FINGERPRINT, START) shouldBe QuarantineVerdict.Clear
                (1 until count).forEach {
                    tracker.crash(it)
                    tracker.verdict(FINGERPRINT, START) shouldBe QuarantineVerdict.Suspect
                }
                tracker.crash(count)
                tracker.verdict(FINGERPRINT, START) shouldBe QuarantineVerdict.Quarantined(START + 60.seconds)
            }
        }
    }
})
