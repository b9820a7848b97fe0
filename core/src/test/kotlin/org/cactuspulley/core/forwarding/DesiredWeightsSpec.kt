package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class DesiredWeightsSpec : DescribeSpec({
    describe("the minimum weights version for a request") {
        it("is the newest version that was named at least the grace period ago") {
            val desired = DesiredWeightsTracker()
            desired.minimum(MODEL, 6.seconds, START) shouldBe null
            desired.record(MODEL, 2, START)
            desired.record(MODEL, 3, START + 2.seconds)
            desired.minimum(MODEL, 6.seconds, START + 5.seconds) shouldBe null
            desired.minimum(MODEL, 6.seconds, START + 6.seconds) shouldBe 2
            desired.minimum(MODEL, 6.seconds, START + 8.seconds) shouldBe 3
            desired.record(MODEL, 2, START + 9.seconds) shouldBe false
        }

        it("does not depend on the grace periods of earlier queries") {
            val desired = DesiredWeightsTracker()
            desired.record(MODEL, 2, START)
            desired.record(MODEL, 3, START + 2.seconds)
            desired.minimum(MODEL, 1.seconds, START + 8.seconds) shouldBe 3
            desired.minimum(MODEL, 7.seconds, START + 8.seconds) shouldBe 2
        }

        it("counts from the earliest time that a peer reports, and ignores later times and unknown versions") {
            val desired = DesiredWeightsTracker()
            desired.record(MODEL, 2, START + 4.seconds)
            desired.recordPeerAge(MODEL, 2, START)
            desired.recordPeerAge(MODEL, 2, START + 1.seconds)
            desired.recordPeerAge(MODEL, 3, START)
            desired.minimum(MODEL, 6.seconds, START + 6.seconds) shouldBe 2
            desired.newest(MODEL)?.version shouldBe 2
        }

        // Guards against starts on replaced weights by an instance that learned of the newest version only and skipped the one before.
        it("counts an older version that was skipped here from the time that a peer reports") {
            val desired = DesiredWeightsTracker()
            desired.record(MODEL, 3, START + 4.seconds)
            desired.recordPeerAge(MODEL, 2, START)
            desired.newest(MODEL)?.version shouldBe 3
            desired.minimum(MODEL, 6.seconds, START + 7.seconds) shouldBe 2
        }

        // Guards against needless refusals by a restarted instance that keeps an assumed age although its peers know the true one.
        it("counts from the time that a peer reports rather than from an assumed one, even if that is earlier") {
            val desired = DesiredWeightsTracker()
            desired.record(MODEL, 2, START, isAgeKnown = false)
            desired.recordPeerAge(MODEL, 2, START + 4.seconds)
            desired.minimum(MODEL, 6.seconds, START + 7.seconds) shouldBe null
            desired.namedWithin(5.seconds, START + 7.seconds).map { it.version } shouldBe listOf(2L)
        }
    }

    describe("the versions named recently") {
        it("leave out versions whose age is assumed") {
            val desired = DesiredWeightsTracker()
            desired.record(MODEL, 2, START, isAgeKnown = false)
            desired.record(MODEL, 3, START)
            desired.namedWithin(5.seconds, START + 1.seconds).map { it.version } shouldBe listOf(3L)
            desired.namedWithin(5.seconds, START + 5.seconds) shouldBe emptyList()
        }
    }
})
