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

private fun claim(end: Long, era: Long = 0) = ClaimNumber(era, end)

private fun lease(): OrderLease {
    val member = FleetMember(SELF, InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2")
    return OrderLease(SELF, FleetView(member), RolloutSettings(lease = 3.seconds))
}

/** Claims at [calledAt] and receives the token [fence] at [answeredAt]. */
private fun OrderLease.claimAndReceive(fence: Long, calledAt: MonotonicTime, answeredAt: MonotonicTime = calledAt): RolloutAction.Claim? =
    claim(calledAt, isStopping = false).also { onClaimAnswer(ClaimAnswer.Granted(claim(fence), calledAt), answeredAt) }

/** Claims at [calledAt] and loses against the known claim. */
private fun OrderLease.claimAndLose(calledAt: MonotonicTime) {
    claim(calledAt, isStopping = false) shouldBe RolloutAction.Claim(null)
    onClaimAnswer(ClaimAnswer.Lost, calledAt)
}

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
            lease.claimAndReceive(2, NOW + 300.milliseconds) shouldBe RolloutAction.Claim(claim(1))
            lease.isHeld(NOW + 800.milliseconds) shouldBe true
        }

        it("continues at once after it has had nothing to order, while others may not take over yet") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.rest()
            lease.claim(NOW + 3_900.milliseconds, isStopping = false).shouldNotBeNull()
        }

        it("keeps the token of its first claim while it renews it, and has a new one after a break") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.claimAndReceive(2, NOW + 300.milliseconds)
            lease.right(NOW + 300.milliseconds)?.fencingToken shouldBe 1
            lease.release()
            lease.claimAndReceive(3, NOW + 400.milliseconds)
            lease.right(NOW + 400.milliseconds)?.fencingToken shouldBe 3
        }

        // Guards against a holder that blocks all others with claims that it cannot use, because the store answers it too late.
        it("leaves the right to others if the store's answer came too late") {
            val lease = lease()
            lease.claimAndReceive(1, NOW, answeredAt = NOW + 700.milliseconds)
            lease.claim(NOW + 5.seconds, isStopping = false).shouldBeNull()
        }

        it("stops when a newer claim is known") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.recordClaim(OTHER, claim(2), NOW + 100.milliseconds) shouldBe true
            lease.isHeld(NOW + 100.milliseconds) shouldBe false
            lease.lastToken.shouldBeNull()
        }

        // Guards against a second claim at a place that an unanswered one may have taken or may still take.
        it("reads the store before it claims again if the store did not answer") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.claim(NOW + 300.milliseconds, isStopping = false).shouldNotBeNull()
            lease.onClaimAnswer(ClaimAnswer.Unknown, NOW + 1_300.milliseconds)
            lease.claim(NOW + 1_800.milliseconds, isStopping = false) shouldBe RolloutAction.Claim(null)
        }

        it("renews its claim while it stops, but makes no new one") {
            val lease = lease()
            lease.claimAndReceive(1, NOW)
            lease.claim(NOW + 300.milliseconds, isStopping = true).shouldNotBeNull()
            lease.onClaimAnswer(ClaimAnswer.Unknown, NOW + 1.seconds)
            lease.claim(NOW + 5.seconds, isStopping = true).shouldBeNull()
            // A time that has passed would make the caller's timer run without a pause.
            lease.nextDeadline.shouldBeNull()
        }
    }

    describe("a fencing token") {
        // Guards against a token that is given out twice, or falls, because the store gives its offsets out again.
        it("rises with the era of the store and within it with the offset") {
            val claims = listOf(claim(1), claim(900), claim(1, era = 1), claim(2, era = 1), claim(0, era = 2))
            claims.map { it.fencingToken } shouldBe claims.map { it.fencingToken }.sorted().distinct()
            claims.map { ClaimNumber.of(it.fencingToken) } shouldBe claims
            claims.sorted() shouldBe claims
        }
    }

    describe("an instance that is not the holder") {
        it("claims once it has known the newest claim for its term and a lease") {
            val lease = lease()
            lease.recordClaim(OTHER, claim(1), NOW)
            lease.claimAndLose(NOW + 600.milliseconds)
            lease.claim(NOW + 3_999.milliseconds, isStopping = false).shouldBeNull()
            lease.mayClaim(NOW + 3_999.milliseconds) shouldBe false
            lease.claim(NOW + 4.seconds, isStopping = false).shouldNotBeNull()
        }

        // Guards against a takeover that takes twice as long, because the holder's last renewal was not heard of.
        it("reads the store once when a renewal is overdue") {
            val lease = lease()
            lease.recordClaim(OTHER, claim(1), NOW)
            lease.claim(NOW + 599.milliseconds, isStopping = false).shouldBeNull()
            lease.claimAndLose(NOW + 600.milliseconds)
            lease.claim(NOW + 2.seconds, isStopping = false).shouldBeNull()
        }

        it("waits anew when the claim is renewed, and not when the same claim is heard again") {
            val lease = lease()
            lease.recordClaim(OTHER, claim(1), NOW)
            lease.recordClaim(OTHER, claim(1), NOW + 2.seconds) shouldBe false
            lease.mayClaim(NOW + 4.seconds) shouldBe true
            lease.recordClaim(OTHER, claim(2), NOW + 2.seconds)
            lease.mayClaim(NOW + 5_999.milliseconds) shouldBe false
        }

        it("waits for a claim whose record it cannot read") {
            val lease = lease()
            lease.recordClaim(null, claim(1), NOW)
            lease.mayClaim(NOW + 3.seconds) shouldBe false
        }

        // Guards against a claim in a restored store that counts as older, or as known for long, because its offset is lower.
        it("waits for the claims of a store that was restored from a copy, whatever their offsets") {
            val lease = lease()
            lease.recordClaim(OTHER, claim(9), NOW)
            lease.recordClaim(null, claim(0, era = 1), NOW + 3.seconds) shouldBe true
            lease.mayClaim(NOW + 6_999.milliseconds) shouldBe false
            lease.recordClaim(OTHER, claim(4, era = 1), NOW + 5.seconds) shouldBe true
            lease.mayClaim(NOW + 8_999.milliseconds) shouldBe false
        }

        it("continues at once if the newest claim is of its earlier incarnation") {
            val lease = lease()
            lease.recordClaim(SELF, claim(1), NOW)
            lease.claim(NOW, isStopping = false) shouldBe RolloutAction.Claim(null)
        }
    }
})
