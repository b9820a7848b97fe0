/*
 * The right to issue orders to targets. One instance of the fleet holds it at a time, by a claim in the platform's store that it renews.
 *
 * Only the store decides who holds the right. A holder stops at a deadline of its own, which counts from before it called the store.
 * Another instance may claim the right once it has known the newest claim of the store for so long that the last order of that claim
 * has reached its target and a whole lease has passed since. News from peers only makes claims known earlier.
 */
package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import java.util.EnumSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The place of a claim in the store. A store that is restored from a copy begins a later [era] and gives places out again; in one era,
 * later claims have a higher [end].
 *
 * @property end the offset at which the topic of claims ends after the claim; 0 stands for any claim of an earlier era.
 */
public data class ClaimNumber(val era: Long, val end: Long) : Comparable<ClaimNumber> {
    /** The fencing token of the claim; higher for later claims. */
    val fencingToken: Long get() = (era shl OFFSET_BITS) + end

    override fun compareTo(other: ClaimNumber): Int = compareValuesBy(this, other, { it.era }, { it.end })

    public companion object {
        /** The bits of a token below its era. The token of a store that was never restored is the offset. */
        private const val OFFSET_BITS = 32

        /** Returns the number of the claim with [fencingToken]. */
        public fun of(fencingToken: Long): ClaimNumber =
            ClaimNumber(fencingToken shr OFFSET_BITS, fencingToken and ((1L shl OFFSET_BITS) - 1))
    }
}

/** The result of a call that appends a claim. */
public sealed interface ClaimAnswer {
    /** This instance may issue orders by the claim with [number]; the call was made at [calledAt]. */
    public data class Granted(val number: ClaimNumber, val calledAt: MonotonicTime) : ClaimAnswer

    /** The claim was not made, because the store has another one that this instance did not know or may not replace yet. */
    public data object Lost : ClaimAnswer

    /** The store did not answer; the claim may have been made or may be made later. */
    public data object Unknown : ClaimAnswer
}

/** The right to send orders with [fencingToken] before [sendDeadline]. */
public data class OrderRight(val fencingToken: Long, val sendDeadline: MonotonicTime)

/** What the right to issue orders is used for. */
public enum class LeaseUse {
    /** Orders to targets to load weights. */
    WEIGHTS,

    /** The state and the status of releases. */
    RELEASES,
}

/** Decides when an instance claims the right to issue orders and how long it holds it; confined to one thread. */
public class OrderLease(private val self: InstanceId, private val fleet: FleetView, private val settings: RolloutSettings) {
    /**
     * The newest known claim; [holder] is null if it is not known. If it is not renewed, other instances look for a renewal in the store at
     * [confirmAt] and may replace it from [replaceableAt] on.
     */
    private data class KnownClaim(
        val holder: InstanceId?,
        val number: ClaimNumber,
        val confirmAt: MonotonicTime,
        val replaceableAt: MonotonicTime,
    )

    /** The uses for which the lease is claimed and renewed. */
    private val uses = EnumSet.noneOf(LeaseUse::class.java)
    private var newest: KnownClaim? = null
    private var isClaiming = false

    /** Whether the newest claim has to be read from the store before the next one is appended. */
    private var mustRead = true

    /** Whether the claim that is being made renews [last]. */
    private var isRenewal = false

    /** The claim of another instance for whose renewal the store was read. */
    private var confirmed: ClaimNumber? = null

    /** Whether [claimAt] includes this instance's delay by its rank. */
    private var isStaggered = false

    /** The earliest time at which the claim is made or renewed; null if it is not limited. */
    private var claimAt: MonotonicTime? = null

    /** This instance's last claim; null if it has made none, or if a newer claim is known. */
    private var last: ClaimNumber? = null

    /** The token of this instance's last claim; null if it has made none, or if a newer claim is known. */
    public val lastToken: Long? get() = last?.fencingToken

    /** The right that [last] gives. Its token stays that of the first claim while the claim is renewed. */
    private var right: OrderRight? = null

    /** The instance that made the newest known claim; null if it is not known. */
    public val holder: InstanceId? get() = newest?.holder

    /** The time at which [claim] has something to do next; null if it waits for an answer or for nothing. */
    public val nextDeadline: MonotonicTime? get() = claimAt.takeIf { !isClaiming }

    /** Returns the right of this instance to send an order at [now]; null if it has none. */
    public fun right(now: MonotonicTime): OrderRight? = right?.takeIf { now < it.sendDeadline }

    /** Returns whether this instance may send an order at [now]. */
    public fun isHeld(now: MonotonicTime): Boolean = right(now) != null

    /** Returns whether this instance may append a claim at [now], as far as the known claims are concerned. */
    public fun mayClaim(now: MonotonicTime): Boolean = newest?.let { it.holder == self || now >= it.replaceableAt } ?: true

    /**
     * Records the claim with [number] that the store or a peer showed at [now]; [holder] is null if it is not known. Returns whether the
     * claim is newer than all known ones.
     */
    public fun recordClaim(holder: InstanceId?, number: ClaimNumber, now: MonotonicTime): Boolean {
        if (!isNewer(number)) return false
        newest = knownClaim(holder, number, now)
        release()
        return true
    }

    /** Whether any use requires the lease; [claim] is to be called only then. */
    public val isRequired: Boolean get() = uses.isNotEmpty()

    /** Sets whether [use] requires the lease. */
    public fun require(use: LeaseUse, isRequired: Boolean) {
        if (isRequired) uses.add(use) else uses.remove(use)
        if (uses.isEmpty()) rest()
    }

    /**
     * Returns the claim to make or to renew at [now], or null if there is none. [isStopping] tells that the instance shuts down, which
     * lets it renew a claim but not make one.
     */
    public fun claim(now: MonotonicTime, isStopping: Boolean): RolloutAction.Claim? {
        if (isClaiming || claimAt?.let { now < it } ?: false) return null
        if (!isHeld(now)) {
            if (isStopping) claimAt = null
            if (isStopping || !isDue(now)) return null
        }
        isClaiming = true
        isStaggered = false
        claimAt = null
        isRenewal = last != null && !mustRead
        return RolloutAction.Claim(last.takeIf { isRenewal })
    }

    /**
     * The last holder continues at once. The others wait until its claim may be replaced, and then by rank. Those with the best ranks read
     * the store meanwhile: a holder that has ended may have renewed its claim before without anyone having heard of it.
     */
    private fun isDue(now: MonotonicTime): Boolean {
        val current = newest?.takeIf { now < it.replaceableAt }
        if (current?.holder == self || (current == null && isStaggered)) return true
        val rank = fleet.rank(CLAIM_SUBJECT, now)
        if (current != null && current.number != confirmed && rank < CONFIRMING_RANKS) {
            claimAt = current.confirmAt
            if (now < current.confirmAt) return false
            confirmed = current.number
            return true
        }
        val dueAt = (current?.replaceableAt ?: now) + CLAIM_STAGGER * rank
        isStaggered = true
        claimAt = dueAt
        return now >= dueAt
    }

    /** Handles the result of a claim that arrived at [now]. */
    public fun onClaimAnswer(answer: ClaimAnswer, now: MonotonicTime) {
        isClaiming = false
        when (answer) {
            is ClaimAnswer.Granted -> {
                if (!isNewer(answer.number)) return retry(now)
                newest = knownClaim(self, answer.number, now)
                mustRead = false
                last = answer.number
                val token = right?.fencingToken?.takeIf { isRenewal } ?: answer.number.fencingToken
                right = OrderRight(token, answer.calledAt + settings.orderWindow)
                claimAt = answer.calledAt + settings.claimTerm * RENEWAL_FRACTION
                // A holder that the store answers too late leaves the right to others.
                if (!isHeld(now)) claimAt = now + settings.takeoverDelay * YIELD_FACTOR
            }

            ClaimAnswer.Lost -> {
                if (last != null) release()
                retry(now)
            }

            ClaimAnswer.Unknown -> retry(now)
        }
    }

    private fun knownClaim(holder: InstanceId?, number: ClaimNumber, now: MonotonicTime) =
        KnownClaim(holder, number, now + settings.claimTerm * CONFIRM_FRACTION, now + settings.takeoverDelay)

    private fun isNewer(number: ClaimNumber) = newest?.let { number > it.number } ?: true

    private fun retry(now: MonotonicTime) {
        mustRead = true
        isStaggered = true
        claimAt = now + CLAIM_RETRY_DELAY
    }

    /** Gives up the claim of this instance; the next one begins with a read of the store. */
    public fun release() {
        last = null
        right = null
        mustRead = true
        isStaggered = false
        claimAt = null
    }

    /** Gives up the claim of this instance, because a target refused its token at [now]. */
    public fun onFenced(now: MonotonicTime) {
        release()
        retry(now)
    }

    /** Ends all waiting, because there is nothing to order. */
    public fun rest() {
        claimAt = null
        isStaggered = false
    }

    private companion object {
        const val CLAIM_SUBJECT = "weight-rollout"

        /** The time per rank by which an instance delays its claim, so that an instance with a better rank can claim first. */
        val CLAIM_STAGGER = 500.milliseconds

        /** The delay before the next claim if one was lost or the store did not answer. */
        val CLAIM_RETRY_DELAY: Duration = 500.milliseconds

        /** The part of a claim's term after which it is renewed. A renewal that takes as long again is still in time. */
        const val RENEWAL_FRACTION = 0.3

        /** The part of a claim's term after which news of a renewal is overdue. */
        const val CONFIRM_FRACTION = 0.6

        /** How many instances, in the order of their ranks, look for a renewal in the store. */
        const val CONFIRMING_RANKS = 2

        /** In how many times the delay of a takeover another instance has had the opportunity for it. */
        const val YIELD_FACTOR = 1.5
    }
}
