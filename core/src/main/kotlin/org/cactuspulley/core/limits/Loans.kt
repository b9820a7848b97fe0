/*
 * Token loans, on the side of the lender and of the borrower. The lender deducts units before it sends them, so a lost
 * message loses tokens and never duplicates them. A loan expires at the borrower first: the borrower measures its lifetime
 * from before it sent the request, the lender from the grant, with a margin for clock drift. Until a loan expires, the
 * lender counts its units as held, so that loans and levels together never exceed the burst.
 */
package org.cactuspulley.core.limits

import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.message.LoanGranted
import org.cactuspulley.core.message.LoanRequested
import org.cactuspulley.core.message.LoanReturned
import org.cactuspulley.core.message.ReturnedUnits
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.earliest
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * A bucket that units may be lent from.
 *
 * @property lendableUntil the end of the lease of the bucket's part; no loan may last longer.
 */
internal class LendableBucket(val bucket: TokenBucket, val lendableUntil: MonotonicTime)

/** The loans that this instance granted. */
internal class GrantedLoans(private val incarnation: InstanceIncarnation, private val settings: LimitSettings) {
    private class Portion(val bucket: TokenBucket, var units: Long) {
        /** The moment of the loan's expiry in the headroom history of [bucket]; 0 until then. */
        var mark = 0L
    }

    private class GrantedLoan(val number: Long, val expiresAt: MonotonicTime, val portions: List<Portion>) {
        var expired = false
    }

    private val loans = HashMap<Long, GrantedLoan>()
    private val byExpiry = PriorityQueue<GrantedLoan>(compareBy { it.expiresAt })
    private val expiredLoans = ArrayDeque<GrantedLoan>()

    /** The sequence number of the last [LoanReturned] message from each borrower. */
    private val lastReturnSequence = HashMap<Pair<InstanceId, InstanceIncarnation>, Long>()
    private var lastLoanNumber = 0L

    val nextDeadline: MonotonicTime? get() = byExpiry.peek()?.expiresAt

    /**
     * Moves units of [sources] for good to the borrower that sent [request], as far as it reserved headroom for them, and
     * lends it what it needs beyond that, and units to prefetch if it reserved no headroom. A lender that is [backlogged],
     * that is, has waiting requests of its own, keeps its units.
     */
    fun grant(request: LoanRequested, sources: List<LendableBucket>, backlogged: Boolean, now: MonotonicTime): LoanGranted {
        val lendable = sources.filter { it.lendableUntil - now >= MIN_LOAN_LIFETIME && it.bucket.levelUnits > 0 }
        val available = if (backlogged) 0 else lendable.sumOf { it.bucket.levelUnits }
        val needed = minOf(request.units, available).coerceAtLeast(0)
        val surplus = available - needed
        val equalizing = ((surplus - maxOf(request.levelUnits, 0)) / 2).coerceAtLeast(0)
        val moved = minOf(needed + equalizing, request.freeCapacityUnits.coerceAtLeast(0))
        val prefetch = if (request.freeCapacityUnits > 0) 0 else minOf(request.prefetchUnits, surplus / 2).coerceAtLeast(0)
        val lent = (needed - moved).coerceAtLeast(0) + prefetch
        val lifetime = lifetimeOf(lendable, now)
        if (moved > 0) withdraw(lendable, moved, TokenBucket::moveOut)
        if (lent > 0) lend(lendable, lent, lifetime, now)
        return LoanGranted(
            borrowerIncarnation = request.incarnation,
            number = request.number,
            lenderIncarnation = incarnation,
            movedUnits = moved,
            loan = lastLoanNumber,
            units = lent,
            lifetimeMillis = lifetime.inWholeMilliseconds,
            lenderHasWaitingRequests = backlogged,
        )
    }

    private fun lifetimeOf(lendable: List<LendableBucket>, now: MonotonicTime): Duration =
        lendable.minOfOrNull { it.lendableUntil - now }?.coerceAtMost(settings.loanLifetime) ?: Duration.ZERO

    private fun lend(lendable: List<LendableBucket>, units: Long, lifetime: Duration, now: MonotonicTime) {
        val portions = withdraw(lendable, units, TokenBucket::lend)
        val loan = GrantedLoan(++lastLoanNumber, now + settings.withDrift(lifetime), portions)
        loans[loan.number] = loan
        byExpiry.add(loan)
    }

    /** Takes [units] out of the buckets by [deduct], from the fullest ones first, and returns what was taken from each. */
    private fun withdraw(lendable: List<LendableBucket>, units: Long, deduct: TokenBucket.(Long) -> Unit): List<Portion> {
        var missing = units
        val portions = mutableListOf<Portion>()
        for (source in lendable.sortedByDescending { it.bucket.levelUnits }) {
            val taken = minOf(missing, source.bucket.levelUnits)
            if (taken <= 0) continue
            source.bucket.deduct(taken)
            portions += Portion(source.bucket, taken)
            missing -= taken
        }
        return portions
    }

    /** Credits unused units that [borrower] returned; duplicate and out-of-order messages are ignored. */
    fun reclaim(borrower: InstanceId, message: LoanReturned, now: MonotonicTime) {
        if (message.lenderIncarnation != incarnation) return
        val sender = borrower to message.borrowerIncarnation
        if (message.sequence <= (lastReturnSequence[sender] ?: -1)) return
        lastReturnSequence.keys.removeIf { it.first == borrower && it.second < message.borrowerIncarnation }
        lastReturnSequence[sender] = message.sequence
        for (returned in message.returned) {
            loans[returned.loan]?.let { reclaim(it, returned.units, now) }
        }
    }

    private fun reclaim(loan: GrantedLoan, units: Long, now: MonotonicTime) {
        var remaining = units
        for (portion in loan.portions) {
            val returned = minOf(remaining, portion.units).coerceAtLeast(0)
            if (loan.expired) portion.bucket.refund(returned, portion.mark, now) else portion.bucket.reclaim(returned)
            portion.units -= returned
            remaining -= returned
        }
    }

    /** Expires loans whose lifetime is over; units that were not returned count as spent. */
    fun onTimer(now: MonotonicTime) {
        while (byExpiry.peek().let { it != null && it.expiresAt <= now }) expire(byExpiry.remove(), now)
        while (expiredLoans.firstOrNull().let { it != null && it.expiresAt + RETENTION_AFTER_EXPIRY <= now }) {
            loans.remove(expiredLoans.removeFirst().number)
        }
    }

    private fun expire(loan: GrantedLoan, now: MonotonicTime) {
        loan.expired = true
        for (portion in loan.portions) {
            portion.bucket.accrue(now)
            portion.mark = portion.bucket.expireLoan(portion.units)
        }
        expiredLoans.addLast(loan)
    }

    private companion object {
        /** A bucket is not lent from if the lease of its part ends sooner than this. */
        val MIN_LOAN_LIFETIME = 50.milliseconds

        /** How long an expired loan is kept to refund units that are returned late. */
        val RETENTION_AFTER_EXPIRY = 5.minutes
    }
}

/**
 * A loan that another instance granted to this one.
 *
 * @property number the lender's number of the loan.
 * @property spendUntil when the loan expires at the borrower.
 * @property units the unspent token units.
 */
internal class BorrowedLoan(
    val bucket: BucketId,
    val lender: InstanceId,
    val lenderIncarnation: InstanceIncarnation,
    val number: Long,
    val spendUntil: MonotonicTime,
    var units: Long,
)

/** The loans that other instances granted to this one. */
internal class BorrowedLoans(private val incarnation: InstanceIncarnation) {
    private class PendingReturn(val lenderIncarnation: InstanceIncarnation) {
        val unitsByLoan = LinkedHashMap<Long, Long>()
    }

    private val byBucket = HashMap<BucketId, ArrayDeque<BorrowedLoan>>()
    private val byExpiry = PriorityQueue<BorrowedLoan>(compareBy { it.spendUntil })
    private val pendingReturns = HashMap<InstanceId, PendingReturn>()
    private var flushAt: MonotonicTime? = null
    private var nextReturnSequence = 0L

    val nextDeadline: MonotonicTime? get() = earliest(byExpiry.peek()?.spendUntil, flushAt)

    fun add(loan: BorrowedLoan) {
        byBucket.getOrPut(loan.bucket) { ArrayDeque() }.addLast(loan)
        byExpiry.add(loan)
    }

    /** Returns the loans of [bucket] that can still be spent, in the order in which they were received. */
    fun usable(bucket: BucketId, now: MonotonicTime): List<BorrowedLoan> =
        byBucket[bucket]?.filter { it.units > 0 && now < it.spendUntil }.orEmpty()

    /** Credits [units] that a request did not use to [loan], or returns them to the lender if the loan has expired. */
    fun returnUnits(loan: BorrowedLoan, units: Long, now: MonotonicTime) {
        if (now < loan.spendUntil) loan.units += units else queueReturn(loan, units, now)
    }

    private fun queueReturn(loan: BorrowedLoan, units: Long, now: MonotonicTime) {
        if (units <= 0) return
        val pending = pendingReturns[loan.lender]?.takeIf { it.lenderIncarnation == loan.lenderIncarnation }
            ?: PendingReturn(loan.lenderIncarnation).also { pendingReturns[loan.lender] = it }
        pending.unitsByLoan.merge(loan.number, units, Long::plus)
        flushAt = earliest(flushAt, now + FLUSH_DELAY)
    }

    /** Expires loans and returns their unspent units to the lenders. */
    fun onTimer(now: MonotonicTime): List<CoreEffect> {
        while (byExpiry.peek().let { it != null && it.spendUntil <= now }) expire(byExpiry.remove(), now)
        if (flushAt.let { it == null || it > now }) return emptyList()
        flushAt = null
        val effects = pendingReturns.map { (lender, pending) -> SendToPeer(lender, messageOf(pending)) }
        pendingReturns.clear()
        return effects
    }

    private fun expire(loan: BorrowedLoan, now: MonotonicTime) {
        val unspent = loan.units
        loan.units = 0
        queueReturn(loan, unspent, now)
        val loans = byBucket[loan.bucket] ?: return
        loans.remove(loan)
        if (loans.isEmpty()) byBucket.remove(loan.bucket)
    }

    private fun messageOf(pending: PendingReturn) = LoanReturned(
        borrowerIncarnation = incarnation,
        lenderIncarnation = pending.lenderIncarnation,
        sequence = nextReturnSequence++,
        returned = pending.unitsByLoan.map { (loan, units) -> ReturnedUnits(loan, units) },
    )

    private companion object {
        /** How long returned units are collected before they are sent in one message per lender. */
        val FLUSH_DELAY = 20.milliseconds
    }
}
