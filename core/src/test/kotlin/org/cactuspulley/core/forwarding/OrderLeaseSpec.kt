package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SELF = InstanceId("i-1")
private val OTHER = InstanceId("i-2")
private val NOW = MonotonicTime.ZERO + 100.seconds

private fun lease(): OrderLease {
    val member = FleetMember(SELF, InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2")
    return OrderLease(SELF, FleetView(member), RolloutSettings(lease = 3.seconds))
}

/** Claims at [calledAt] and receives the token [fence] at [answeredAt]. */
private fun OrderLease.claimAndReceive(fence: Long, calledAt: MonotonicTime, answeredAt: MonotonicTime = calledAt): RolloutAction.Claim? =
    claim(calledAt, isStopping = false).also { onClaimAnswer(ClaimAnswer.Granted(fence, calledAt), answeredAt) }

class OrderLeaseSpec : DescribeSpec({
    describe("a holder") {
        // Guards against orders that reach their target after another instance may have begun to order.
        it("sends orders only so long that they arrive within its term, which counts from the call") {
            val lease = lease()
            lease.claimAndReceive(1, NOW, answeredAt = NOW + 300.milliseconds)
            lease.isHeld(NOW + 599.milliseconds) shouldBe true
            lease.isHeld(NOW + 600.milliseconds) shouldBe false
        }

        it("may not order at all if the store's answer came too late") {
            val lease = lease()
            lease.claimAndReceive(1, NOW, answeredAt = NOW + 700.milliseconds)
            lease.isHeld(NOW + 700.milliseconds) shouldBe false
        }

        it("renews its claim before the orders have to end, at the place after its last claim") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.claim(NOW + 299.milliseconds, isStopping = false).shouldBeNull()
            lease.claimAndReceive(2, NOW + 300.milliseconds) shouldBe RolloutAction.Claim(lastToken = 1)
            lease.isHeld(NOW + 800.milliseconds) shouldBe true
        }

        it("continues at once after it has had nothing to order, while others may not take over yet") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.rest()
            lease.claim(NOW + 3_900.milliseconds, isStopping = false).shouldNotBeNull()
        }

        it("stops when a newer claim is known") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.recordClaim(OTHER, 2, NOW + 100.milliseconds) shouldBe true
            lease.isHeld(NOW + 100.milliseconds) shouldBe false
            lease.fencingToken.shouldBeNull()
        }

        // Guards against a second claim at a place that an unanswered one may have taken or may still take.
        it("reads the store before it claims again if the store did not answer") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.claim(NOW + 300.milliseconds, isStopping = false).shouldNotBeNull()
            lease.onClaimAnswer(ClaimAnswer.Unknown, NOW + 1_300.milliseconds)
            lease.claim(NOW + 1_800.milliseconds, isStopping = false) shouldBe RolloutAction.Claim(lastToken = null)
        }

        it("renews its claim while it stops, but makes no new one") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.claim(NOW + 300.milliseconds, isStopping = true).shouldNotBeNull()
            lease.onClaimAnswer(ClaimAnswer.Unknown, NOW + 1.seconds)
            lease.claim(NOW + 5.seconds, isStopping = true).shouldBeNull()
        }
    }

    describe("an instance that is not the holder") {
        it("claims once it has known the newest claim for its term and a lease") {
            val lease = lease()
            lease.recordClaim(OTHER, 1, NOW)
            lease.claim(NOW + 3_999.milliseconds, isStopping = false).shouldBeNull()
            lease.mayClaim(NOW + 3_999.milliseconds) shouldBe false
            lease.claim(NOW + 4.seconds, isStopping = false).shouldNotBeNull()
        }

        it("waits anew when the claim is renewed, and not when the same claim is heard again") {
            val lease = lease()
            lease.recordClaim(OTHER, 1, NOW)
            lease.recordClaim(OTHER, 1, NOW + 2.seconds) shouldBe false
            lease.mayClaim(NOW + 4.seconds) shouldBe true
            lease.recordClaim(OTHER, 2, NOW + 2.seconds)
            lease.mayClaim(NOW + 5_999.milliseconds) shouldBe false
        }

        it("waits for a claim whose record it cannot read") {
            val lease = lease()
            lease.recordClaim(null, 1, NOW)
            lease.mayClaim(NOW + 3.seconds) shouldBe false
        }

        it("continues at once if the newest claim is of its earlier incarnation") {
            val lease = lease()
            lease.recordClaim(SELF, 1, NOW)
            lease.claim(NOW, isStopping = false) shouldBe RolloutAction.Claim(lastToken = null)
        }
    }
})
