/*
 * Both sides of lending. The lender deducts before it sends, so a lost message loses tokens and never
 * doubles them. A loan ends at its borrower first: the borrower counts from before it asked, the
 * lender from when it granted, with a margin for drifting clocks. Until it ends, the lender counts it
 * as held, so that loans and levels together never pass the burst.
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

/** A bucket that may be lent from and how long that is allowed. */
internal class LendableBucket(val bucket: TokenBucket, val lendableUntil: MonotonicTime)

/** Loans that this instance gave. */
internal class GivenLoans(private val incarnation: InstanceIncarnation, private val settings: LimitSettings) {
    private class Portion(val bucket: TokenBucket, var units: Long) {
        var mark = 0L
    }

    private class GivenLoan(val number: Long, val endsAt: MonotonicTime, val portions: List<Portion>) {
        var ended = false
    }

    private val loans = HashMap<Long, GivenLoan>()
    private val byEnd = PriorityQueue<GivenLoan>(compareBy { it.endsAt })
    private val forgetQueue = ArrayDeque<GivenLoan>()
    private val lastSequence = HashMap<Pair<InstanceId, InstanceIncarnation>, Long>()
    private var nextNumber = 0L

    val nextDeadline: MonotonicTime? get() = byEnd.peek()?.endsAt

    /** Moves and lends up to what [request] asks for out of [sources]; [pressed] lenders keep what they have. */
    fun grant(request: LoanRequested, sources: List<LendableBucket>, pressed: Boolean, now: MonotonicTime): LoanGranted {
        val lendable = sources.filter { it.lendableUntil - now >= SHORTEST_LOAN && it.bucket.levelUnits > 0 }
        val available = if (pressed) 0 else lendable.sumOf { it.bucket.levelUnits }
        val needed = minOf(request.units, available).coerceAtLeast(0)
        val rest = available - needed
        val even = ((rest - maxOf(request.levelUnits, 0)) / 2).coerceAtLeast(0)
        val moved = minOf(needed + even, request.freeCapacityUnits.coerceAtLeast(0))
        val prefetch = if (request.freeCapacityUnits > 0) 0 else minOf(request.prefetchUnits, rest / 2).coerceAtLeast(0)
        val lent = (needed - moved).coerceAtLeast(0) + prefetch
        val lifetime = lifetimeOf(lendable, now)
        if (moved > 0) take(lendable, moved, TokenBucket::move)
        if (lent > 0) lend(lendable, lent, lifetime, now)
        return LoanGranted(
            borrowerIncarnation = request.incarnation,
            number = request.number,
            lenderIncarnation = incarnation,
            movedUnits = moved,
            loan = nextNumber,
            units = lent,
            lifetimeMillis = lifetime.inWholeMilliseconds,
            lenderHasWaitingRequests = pressed,
        )
    }

    private fun lifetimeOf(lendable: List<LendableBucket>, now: MonotonicTime): Duration =
        lendable.minOfOrNull { it.lendableUntil - now }?.coerceAtMost(settings.loanLifetime) ?: Duration.ZERO

    private fun lend(lendable: List<LendableBucket>, units: Long, lifetime: Duration, now: MonotonicTime) {
        val portions = take(lendable, units, TokenBucket::lend)
        val loan = GivenLoan(++nextNumber, now + settings.withDrift(lifetime), portions)
        loans[loan.number] = loan
        byEnd.add(loan)
    }

    /** Takes [units] out of the fullest buckets first. */
    private fun take(lendable: List<LendableBucket>, units: Long, action: TokenBucket.(Long) -> Unit): List<Portion> {
        var missing = units
        val portions = mutableListOf<Portion>()
        for (source in lendable.sortedByDescending { it.bucket.levelUnits }) {
            val taken = minOf(missing, source.bucket.levelUnits)
            if (taken <= 0) continue
            source.bucket.action(taken)
            portions += Portion(source.bucket, taken)
            missing -= taken
        }
        return portions
    }

    /** Takes unused units back; repeated and overtaken messages are ignored. */
    fun takeBack(borrower: InstanceId, message: LoanReturned, now: MonotonicTime) {
        if (message.lenderIncarnation != incarnation) return
        val sender = borrower to message.borrowerIncarnation
        if (message.sequence <= (lastSequence[sender] ?: -1)) return
        lastSequence.keys.removeIf { it.first == borrower && it.second < message.borrowerIncarnation }
        lastSequence[sender] = message.sequence
        for (returned in message.returned) {
            loans[returned.loan]?.let { takeBack(it, returned.units, now) }
        }
    }

    private fun takeBack(loan: GivenLoan, units: Long, now: MonotonicTime) {
        var remaining = units
        for (portion in loan.portions) {
            val returned = minOf(remaining, portion.units).coerceAtLeast(0)
            if (loan.ended) portion.bucket.refund(returned, portion.mark, now) else portion.bucket.takeBack(returned)
            portion.units -= returned
            remaining -= returned
        }
    }

    /** Regards loans as spent whose end has come. */
    fun onTimer(now: MonotonicTime) {
        while (byEnd.peek().let { it != null && it.endsAt <= now }) end(byEnd.remove(), now)
        while (forgetQueue.firstOrNull().let { it != null && it.endsAt + REMEMBERED_AFTER_END <= now }) {
            loans.remove(forgetQueue.removeFirst().number)
        }
    }

    private fun end(loan: GivenLoan, now: MonotonicTime) {
        loan.ended = true
        for (portion in loan.portions) {
            portion.bucket.accrue(now)
            portion.mark = portion.bucket.endLoan(portion.units)
        }
        forgetQueue.addLast(loan)
    }

    private companion object {
        val SHORTEST_LOAN = 50.milliseconds
        val REMEMBERED_AFTER_END = 5.minutes
    }
}

/** Tokens that were lent to this instance. */
internal class TakenLoan(
    val bucket: BucketId,
    val lender: InstanceId,
    val lenderIncarnation: InstanceIncarnation,
    val number: Long,
    val spendUntil: MonotonicTime,
    var units: Long,
)

/** Loans that this instance got. */
internal class TakenLoans(private val incarnation: InstanceIncarnation) {
    private class Returns(val lenderIncarnation: InstanceIncarnation) {
        val unitsByLoan = LinkedHashMap<Long, Long>()
    }

    private val byBucket = HashMap<BucketId, ArrayDeque<TakenLoan>>()
    private val byEnd = PriorityQueue<TakenLoan>(compareBy { it.spendUntil })
    private val returns = HashMap<InstanceId, Returns>()
    private var flushAt: MonotonicTime? = null
    private var nextSequence = 0L

    val nextDeadline: MonotonicTime? get() = earliest(byEnd.peek()?.spendUntil, flushAt)

    fun add(loan: TakenLoan) {
        byBucket.getOrPut(loan.bucket) { ArrayDeque() }.addLast(loan)
        byEnd.add(loan)
    }

    /** The loans of [bucket] that may be spent from, the ones that end first before the others. */
    fun usable(bucket: BucketId, now: MonotonicTime): List<TakenLoan> =
        byBucket[bucket]?.filter { it.units > 0 && now < it.spendUntil }.orEmpty()

    /** Units of [loan] were not used after all. */
    fun giveBack(loan: TakenLoan, units: Long, now: MonotonicTime) {
        if (now < loan.spendUntil) loan.units += units else queueReturn(loan, units, now)
    }

    private fun queueReturn(loan: TakenLoan, units: Long, now: MonotonicTime) {
        if (units <= 0) return
        val pending = returns[loan.lender]?.takeIf { it.lenderIncarnation == loan.lenderIncarnation }
            ?: Returns(loan.lenderIncarnation).also { returns[loan.lender] = it }
        pending.unitsByLoan.merge(loan.number, units, Long::plus)
        flushAt = earliest(flushAt, now + FLUSH_DELAY)
    }

    /** Gives back what is left of loans that have ended. */
    fun onTimer(now: MonotonicTime): List<CoreEffect> {
        while (byEnd.peek().let { it != null && it.spendUntil <= now }) end(byEnd.remove(), now)
        if (flushAt.let { it == null || it > now }) return emptyList()
        flushAt = null
        val effects = returns.map { (lender, pending) -> SendToPeer(lender, messageOf(pending)) }
        returns.clear()
        return effects
    }

    private fun end(loan: TakenLoan, now: MonotonicTime) {
        val left = loan.units
        loan.units = 0
        queueReturn(loan, left, now)
        val loans = byBucket[loan.bucket] ?: return
        loans.remove(loan)
        if (loans.isEmpty()) byBucket.remove(loan.bucket)
    }

    private fun messageOf(pending: Returns) = LoanReturned(
        borrowerIncarnation = incarnation,
        lenderIncarnation = pending.lenderIncarnation,
        sequence = nextSequence++,
        returned = pending.unitsByLoan.map { (loan, units) -> ReturnedUnits(loan, units) },
    )

    private companion object {
        val FLUSH_DELAY = 20.milliseconds
    }
}
