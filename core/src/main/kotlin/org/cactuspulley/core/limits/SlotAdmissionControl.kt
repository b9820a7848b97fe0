/*
 * Fleet-wide rate limits. The slot table in the log divides every workspace's bucket among instances. Each instance
 * spends from its own shares and borrows from other holders when they run out. Tokens that might be spent twice count as
 * spent: a lease expires at its holder before it expires at any other instance, a loan expires at its borrower before it
 * expires at its lender, and a part of a slot that changes its holder without a message from the former one starts with
 * empty buckets.
 */
package org.cactuspulley.core.limits

import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.entry.WorkspaceHomes
import org.cactuspulley.core.event.AdmissionResolved
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.LogEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.message.LimitMessage
import org.cactuspulley.core.message.LoanGranted
import org.cactuspulley.core.message.LoanRequested
import org.cactuspulley.core.message.LoanReturned
import org.cactuspulley.core.message.SlotPassedOn
import org.cactuspulley.core.message.SlotTableAnswered
import org.cactuspulley.core.message.SlotTableAsked
import org.cactuspulley.core.message.SlotWanted
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.earliest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** Admits requests from the shares of rate and burst that this instance holds or borrows. */
public class SlotAdmissionControl(
    private val self: InstanceId,
    private val incarnation: InstanceIncarnation,
    private val settings: LimitSettings = LimitSettings(),
) : AdmissionControl, WorkspaceHomes {
    private class OutstandingLoanRequest(
        val bucket: BucketId,
        val lender: InstanceId,
        val sentAt: MonotonicTime,
        val reservation: ReservedHeadroom,
    )

    private val shares = BucketShares(settings)
    private val leases = SlotLeases(self, incarnation, settings, shares)
    private val grantedLoans = GrantedLoans(incarnation, settings)
    private val borrowedLoans = BorrowedLoans(incarnation)
    private val charges = HashMap<RequestId, Charge>()
    private val queues = HashMap<BucketId, AdmissionQueue>()
    private val queueOf = HashMap<RequestId, AdmissionQueue>()

    /** The unanswered loan requests by number, the oldest first. */
    private val outstandingLoanRequests = LinkedHashMap<Long, OutstandingLoanRequest>()

    /** The queues whose buckets were less than half full after a charge, so that a rebalancing request is due for them. */
    private val queuesToRebalance = LinkedHashSet<AdmissionQueue>()
    private var lastLoanRequestNumber = 0L
    private var started = false
    private var planAdopted = false

    override val nextDeadline: MonotonicTime?
        get() {
            val leaseDeadline = earliest(leases.nextDeadline, shares.nextDeadline)
            val loans = earliest(grantedLoans.nextDeadline, borrowedLoans.nextDeadline)
            val loanRequestExpiry = outstandingLoanRequests.values.firstOrNull()?.let { it.sentAt + settings.loanLifetime }
            val rebalancing = queuesToRebalance.minOfOrNull { it.nextRebalanceAt }
            return queueOf.values.fold(earliest(earliest(leaseDeadline, loans), earliest(loanRequestExpiry, rebalancing))) {
                    soonest,
                    queue,
                ->
                earliest(soonest, deadlineOf(queue))
            }
        }

    /** Returns the parts of slots that this instance may spend from at [now]. */
    internal fun usableParts(now: MonotonicTime): List<SlotPart> = leases.heldParts.keys.filter { leases.usable(it, now) }

    override fun homesOf(workspace: WorkspaceId): List<InstanceId> =
        shares.allocation.homesOf(workspace)
            .mapNotNull { leases.table.holderOf(SlotPart.of(it, LeaseKind.BULK))?.instance }
            .distinct()

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        if (!started) {
            started = true
            leases.start(now)
        }
        when (event) {
            is ConfigurationChanged -> changeConfiguration(event, now)
            is MembershipChanged -> effects += leases.changeMembership(event.membership, now)
            is StopRequested -> effects += leases.stop(now)
            is LogEvent -> if (streamOf(event) == StreamName.SLOTS) effects += leases.handle(event, now)
            is PeerMessageReceived -> (event.message as? LimitMessage)?.let { effects += receive(event.from, it, now) }
            else -> Unit
        }
        effects += onTimer(now)
        return effects
    }

    private fun streamOf(event: LogEvent): StreamName = when (event) {
        is RecordsRead -> event.stream
        is ReadFailed -> event.stream
        is AppendAcknowledged -> event.stream
        is AppendUncertain -> event.stream
    }

    private fun changeConfiguration(event: ConfigurationChanged, now: MonotonicTime) {
        shares.changeConfiguration(event.configuration, now)
        leases.changePlan(shares.allocation.plan.slotCount, shares.allocation.planVersion, now)
    }

    private fun onTimer(now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        effects += leases.onTimer(now)
        if (shares.frozen && leases.isPlanAgreed(shares.allocation.planVersion, now)) {
            shares.onPlanAgreed(now, isFirstPlan = !planAdopted)
            planAdopted = !shares.frozen || planAdopted
        }
        grantedLoans.onTimer(now)
        effects += borrowedLoans.onTimer(now)
        effects += shares.onTimer(now)
        expireLoanRequests(now)
        effects += rebalance(now)
        for (queue in queueOf.values.toSet()) {
            if (deadlineOf(queue).let { it != null && it <= now }) effects += processQueue(queue, now)
        }
        return effects
    }

    private fun receive(from: InstanceId, message: LimitMessage, now: MonotonicTime): List<CoreEffect> = when (message) {
        is LoanRequested -> listOf(SendToPeer(from, grant(message, now)))

        is LoanGranted -> acceptLoan(from, message, now)

        is LoanReturned -> {
            grantedLoans.reclaim(from, message, now)
            emptyList()
        }

        is SlotTableAsked -> leases.receive(from, message, now)

        is SlotTableAnswered -> leases.receiveTable(from, message, now)

        is SlotPassedOn -> leases.receive(message, now)

        is SlotWanted -> leases.receiveSlotRequest(from, now)
    }

    override fun admit(request: RequestId, bucket: BucketId, tokens: Long, now: MonotonicTime): AdmissionDecision {
        val fullLimit = shares.allocation.fullLimit(bucket) ?: return AdmissionDecision.Refused(RefusalReason.NO_GRANT, null)
        val waitingRequest = WaitingRequest(request, tokens, now + settings.admissionWait)
        if (waitingRequest.units > fullLimit.capacityUnits) return AdmissionDecision.Refused(RefusalReason.LARGER_THAN_BURST, null)
        val queue = queues.getOrPut(bucket) { AdmissionQueue(bucket) }
        if (queue.waiting.isEmpty() && charge(queue, waitingRequest, now)) return AdmissionDecision.Admitted
        if (!canAdmitBy(queue, waitingRequest.units, waitingRequest.deadline, now)) return refusal(queue, waitingRequest.units, now)
        queue.waiting.addLast(waitingRequest)
        queueOf[request] = queue
        val effects = requestNextLoan(queue, now)
        queue.recheckAt = earliest(queue.recheckAt?.takeIf { it > now }, recheckTime(queue, now))
        return AdmissionDecision.Pending(effects)
    }

    override fun settle(request: RequestId, usedTokens: Long, now: MonotonicTime): List<CoreEffect> {
        val charge = charges.remove(request) ?: return emptyList()
        val unused = unitsOf(charge.tokens) - unitsOf(usedTokens)
        if (unused < 0) chargeMore(charge, -unused) else refundUnused(charge, unused, now)
        return emptyList()
    }

    override fun release(request: RequestId, now: MonotonicTime): List<CoreEffect> {
        val queue = queueOf.remove(request) ?: return settle(request, 0, now)
        queue.waiting.removeIf { it.id == request }
        return emptyList()
    }

    private fun chargeMore(charge: Charge, units: Long) {
        val localBucket = charge.sources.filterIsInstance<ChargeSource.Local>().firstOrNull()?.bucket
            ?: shares.bucket(charge.bucket)?.byPart?.values?.firstOrNull()
        localBucket?.spend(units)
    }

    private fun refundUnused(charge: Charge, units: Long, now: MonotonicTime) {
        var unused = units
        for (source in charge.sources) {
            val returned = minOf(unused, source.units)
            unused -= returned
            when (source) {
                is ChargeSource.Local -> source.bucket.refund(returned, source.mark, now)
                is ChargeSource.Loan -> borrowedLoans.returnUnits(source.loan, returned, now)
            }
        }
    }

    private fun usableBuckets(bucket: BucketId, now: MonotonicTime): List<TokenBucket> {
        val usable = shares.bucket(bucket)?.byPart?.filterKeys { leases.usable(it, now) }?.values?.toList().orEmpty()
        usable.forEach { it.accrue(now) }
        return usable
    }

    private fun availableUnits(bucket: BucketId, now: MonotonicTime): Long =
        borrowedLoans.usable(bucket, now).sumOf { it.units } + usableBuckets(bucket, now).sumOf { it.levelUnits.coerceAtLeast(0) }

    /**
     * Charges [request] and returns true, or returns false if too few units are available. Takes units from loans first, as
     * they expire soon, then from the fullest part, so that no part overflows while another has headroom.
     */
    private fun charge(queue: AdmissionQueue, request: WaitingRequest, now: MonotonicTime): Boolean {
        if (availableUnits(queue.bucket, now) < request.units) return false
        var missing = request.units
        val sources = mutableListOf<ChargeSource>()
        for (loan in borrowedLoans.usable(queue.bucket, now)) {
            val taken = minOf(missing, loan.units)
            if (taken <= 0) break
            loan.units -= taken
            missing -= taken
            sources += ChargeSource.Loan(loan, taken)
            queue.recordBorrowedSpend(taken, settings.loanLifetime, now)
        }
        for (bucket in usableBuckets(queue.bucket, now).sortedByDescending { it.levelUnits }) {
            val taken = minOf(missing, bucket.levelUnits)
            if (taken <= 0) continue
            missing -= taken
            sources += ChargeSource.Local(bucket, taken, bucket.spend(taken))
        }
        if (usableBuckets(queue.bucket, now).let { all ->
                all.sumOf { it.levelUnits } < all.sumOf { it.capacityUnits } / 2
            }
        ) {
            queuesToRebalance.add(queue)
        }
        charges[request.id] = Charge(request.id, queue.bucket, request.tokens, sources)
        return true
    }

    /**
     * Returns whether [units], in addition to those that the waiting requests need, may become available by [deadline].
     * During the cooldown after a round of loan requests, only the units that accrue until then count.
     */
    private fun canAdmitBy(queue: AdmissionQueue, units: Long, deadline: MonotonicTime, now: MonotonicTime): Boolean {
        if (!queue.isCoolingDown(now)) return true
        val missing = queue.waitingUnits + units - availableUnits(queue.bucket, now)
        return missing <= accruedUnitsUntil(queue, deadline, now)
    }

    private fun accruedUnitsUntil(queue: AdmissionQueue, deadline: MonotonicTime, now: MonotonicTime): Long {
        val rate = shares.allocation.fullLimit(queue.bucket)?.unitsPerNanosecond ?: 0
        return saturatedProduct(rate, (deadline - now).inWholeNanoseconds.coerceAtLeast(0))
    }

    private fun refusal(queue: AdmissionQueue, units: Long, now: MonotonicTime): AdmissionDecision.Refused {
        val rate = shares.allocation.fullLimit(queue.bucket)?.unitsPerNanosecond ?: 0
        val missing = (queue.waitingUnits + units - availableUnits(queue.bucket, now)).coerceAtLeast(0)
        val retryAt = if (rate == 0L) null else now + (missing / rate).nanoseconds
        return AdmissionDecision.Refused(RefusalReason.OVER_RATE, retryAt)
    }

    private fun deadlineOf(queue: AdmissionQueue): MonotonicTime? {
        val head = queue.waiting.firstOrNull() ?: return null
        return earliest(queue.nextDeadline, queue.recheckAt ?: head.deadline)
    }

    /**
     * Admits the waiting requests of [queue] for which enough tokens are available, refuses those that can't be admitted by
     * their deadlines, and requests a loan for the rest.
     */
    private fun processQueue(queue: AdmissionQueue, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        queue.pendingLoanRequest?.takeIf { it.timeoutAt <= now }
            ?.let { queue.recordResponse(it.lender, 0, backlogged = false, timedOut = true, now) }
        while (queue.waiting.isNotEmpty() && charge(queue, queue.waiting.first(), now)) {
            effects += resolve(queue.waiting.removeFirst(), AdmissionDecision.Admitted)
        }
        effects += refuseUnreachable(queue, now)
        effects += requestNextLoan(queue, now)
        queue.recheckAt = recheckTime(queue, now)
        return effects
    }

    private fun refuseUnreachable(queue: AdmissionQueue, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        while (queue.waiting.isNotEmpty() && queue.pendingLoanRequest == null) {
            val last = queue.waiting.last()
            if (now < last.deadline && canAdmitBy(queue, 0, last.deadline, now)) break
            val decision = refusal(queue, 0, now)
            effects += resolve(queue.waiting.removeLast(), decision)
        }
        while (queue.waiting.firstOrNull().let { it != null && it.deadline <= now }) {
            val decision = refusal(queue, 0, now)
            effects += resolve(queue.waiting.removeFirst(), decision)
        }
        return effects
    }

    private fun resolve(request: WaitingRequest, decision: AdmissionDecision): CoreEffect {
        queueOf.remove(request.id)
        return Publish(AdmissionResolved(request.id, decision))
    }

    /** Returns when the first waiting request may have enough tokens, or null if none waits. */
    private fun recheckTime(queue: AdmissionQueue, now: MonotonicTime): MonotonicTime? {
        val head = queue.waiting.firstOrNull() ?: return null
        val rate = usableBuckets(queue.bucket, now).sumOf { it.unitsPerNanosecond }
        if (rate == 0L) return now + MAX_RECHECK_DELAY
        val missing = (head.units - availableUnits(queue.bucket, now)).coerceAtLeast(0)
        return now + (missing / rate).nanoseconds.coerceIn(MIN_RECHECK_DELAY, MAX_RECHECK_DELAY)
    }

    private fun requestNextLoan(queue: AdmissionQueue, now: MonotonicTime): List<CoreEffect> {
        val missing = queue.waitingUnits - availableUnits(queue.bucket, now)
        if (queue.waiting.isEmpty() || missing <= 0) {
            queue.cancelRound()
            return emptyList()
        }
        val lender = queue.nextLender(lendersOf(queue.bucket), now) ?: return emptyList()
        val request = createLoanRequest(queue, lender, missing, now)
        queue.pendingLoanRequest = PendingLoanRequest(request.number, lender, now + settings.borrowTimeout)
        return listOf(SendToPeer(lender, request))
    }

    /** Requests [missing] units and reserves headroom for more, so that the levels of all holders stay about equal. */
    private fun createLoanRequest(queue: AdmissionQueue, lender: InstanceId, missing: Long, now: MonotonicTime): LoanRequested {
        val usable = usableBuckets(queue.bucket, now)
        val headroom = usable.sumOf { it.headroom.coerceAtLeast(0) }
        val reservation = ReservedHeadroom(usable, maxOf(missing, headroom / 2))
        val number = ++lastLoanRequestNumber
        outstandingLoanRequests[number] = OutstandingLoanRequest(queue.bucket, lender, now, reservation)
        return LoanRequested(
            incarnation = incarnation,
            number = number,
            bucket = queue.bucket,
            units = missing,
            prefetchUnits = queue.prefetchUnits(settings.loanLifetime, now),
            freeCapacityUnits = reservation.units,
            levelUnits = usable.sumOf { it.levelUnits },
        )
    }

    /** Requests units from other holders, whose shares might overflow, for buckets that run low here. */
    private fun rebalance(now: MonotonicTime): List<CoreEffect> {
        val due = queuesToRebalance.filter { it.nextRebalanceAt <= now }
        queuesToRebalance.removeAll(due.toSet())
        return due.mapNotNull { queue ->
            queue.nextRebalanceAt = now + REBALANCE_INTERVAL
            val lender = queue.nextRebalanceLender(lendersOf(queue.bucket))
            if (lender == null || usableBuckets(queue.bucket, now).isEmpty()) {
                null
            } else {
                SendToPeer(lender, createLoanRequest(queue, lender, 0, now))
            }
        }
    }

    private fun expireLoanRequests(now: MonotonicTime) {
        val iterator = outstandingLoanRequests.entries.iterator()
        while (iterator.hasNext()) {
            val outstanding = iterator.next().value
            if (outstanding.sentAt + settings.loanLifetime > now) break
            outstanding.reservation.release(arrivedUnits = 0)
            iterator.remove()
        }
    }

    private fun lendersOf(bucket: BucketId): List<InstanceId> =
        shares.allocation.shares(bucket).keys.mapNotNull { leases.table.holderOf(it)?.instance }.filter { it != self }.distinct()

    private fun grant(request: LoanRequested, now: MonotonicTime): LoanGranted {
        val held = shares.bucket(request.bucket)?.byPart.orEmpty().filterKeys { leases.usable(it, now) }
        val sources = held.mapNotNull { (part, bucket) ->
            bucket.accrue(now)
            leases.heldParts[part]?.let { LendableBucket(bucket, it.spendUntil) }
        }
        val backlogged = queues[request.bucket]?.waiting?.isNotEmpty() ?: false
        return grantedLoans.grant(request, sources, backlogged, now)
    }

    private fun acceptLoan(from: InstanceId, message: LoanGranted, now: MonotonicTime): List<CoreEffect> {
        val outstanding = outstandingLoanRequests[message.number]
        if (message.borrowerIncarnation != incarnation || outstanding == null || outstanding.lender != from) return emptyList()
        outstandingLoanRequests.remove(message.number)
        outstanding.reservation.release(message.movedUnits)
        val spendUntil = outstanding.sentAt + message.lifetimeMillis.milliseconds
        if (message.units > 0) {
            borrowedLoans.add(BorrowedLoan(outstanding.bucket, from, message.lenderIncarnation, message.loan, spendUntil, message.units))
        }
        val queue = queues[outstanding.bucket] ?: return emptyList()
        if (queue.pendingLoanRequest?.number == message.number) {
            queue.recordResponse(from, message.units + message.movedUnits, message.lenderHasWaitingRequests, timedOut = false, now)
        }
        return processQueue(queue, now)
    }

    private companion object {
        val MIN_RECHECK_DELAY = 5.milliseconds
        val MAX_RECHECK_DELAY = 100.milliseconds

        /** The minimum time between two rebalancing requests for the same bucket. */
        val REBALANCE_INTERVAL = 500.milliseconds
    }
}
