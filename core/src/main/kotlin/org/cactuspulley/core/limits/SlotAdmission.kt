/*
 * Rate and burst over the fleet. The slot table in the log divides every workspace's bucket among
 * instances; spending is local, and an instance that runs short borrows from the other holders.
 * Whatever could be spent twice is counted as spent: a lease ends for its holder before it ends for
 * anyone else, a loan at its borrower before it ends at its lender, and a part of a slot that changes
 * hands without its former holder's word starts with empty buckets.
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
public class SlotAdmission(
    private val self: InstanceId,
    private val incarnation: InstanceIncarnation,
    private val settings: LimitSettings = LimitSettings(),
) : AdmissionControl, WorkspaceHomes {
    private class OpenRequest(
        val bucket: BucketId,
        val lender: InstanceId,
        val sentAt: MonotonicTime,
        val room: ReservedRoom,
    )

    private val shares = BucketShares(settings)
    private val leases = SlotLeases(self, incarnation, settings, shares)
    private val givenLoans = GivenLoans(incarnation, settings)
    private val takenLoans = TakenLoans(incarnation)
    private val charges = HashMap<RequestId, Charge>()
    private val queues = HashMap<BucketId, BucketQueue>()
    private val waitingIn = HashMap<RequestId, BucketQueue>()
    private val openRequests = LinkedHashMap<Long, OpenRequest>()
    private val unbalanced = LinkedHashSet<BucketQueue>()
    private var nextRequestNumber = 0L
    private var started = false
    private var planSeen = false

    override val nextDeadline: MonotonicTime?
        get() {
            val own = earliest(leases.nextDeadline, shares.nextDeadline)
            val loans = earliest(givenLoans.nextDeadline, takenLoans.nextDeadline)
            val open = openRequests.values.firstOrNull()?.let { it.sentAt + settings.loanLifetime }
            val balancing = unbalanced.minOfOrNull { it.nextBalancing }
            return waitingIn.values.fold(earliest(earliest(own, loans), earliest(open, balancing))) { soonest, queue ->
                earliest(soonest, deadlineOf(queue))
            }
        }

    /** The parts of slots that may be spent from at [now]. */
    internal fun usableParts(now: MonotonicTime): List<SlotPart> = leases.ownParts.keys.filter { leases.usable(it, now) }

    override fun homesOf(workspace: WorkspaceId): List<InstanceId> =
        shares.division.homesOf(workspace)
            .mapNotNull { leases.table.ownerOf(SlotPart.of(it, LeaseKind.BULK))?.owner }
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
        leases.changePlan(shares.division.plan.slotCount, shares.division.planVersion, now)
    }

    private fun onTimer(now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        effects += leases.onTimer(now)
        if (shares.frozen && leases.agreedOnPlan(shares.division.planVersion, now)) {
            shares.agreed(now, first = !planSeen)
            planSeen = !shares.frozen || planSeen
        }
        givenLoans.onTimer(now)
        effects += takenLoans.onTimer(now)
        effects += shares.onTimer(now)
        forgetOldRequests(now)
        effects += balance(now)
        for (queue in waitingIn.values.toSet()) {
            if (deadlineOf(queue).let { it != null && it <= now }) effects += advance(queue, now)
        }
        return effects
    }

    private fun receive(from: InstanceId, message: LimitMessage, now: MonotonicTime): List<CoreEffect> = when (message) {
        is LoanRequested -> listOf(SendToPeer(from, grant(message, now)))

        is LoanGranted -> accept(from, message, now)

        is LoanReturned -> {
            givenLoans.takeBack(from, message, now)
            emptyList()
        }

        is SlotTableAsked -> leases.receive(from, message, now)

        is SlotTableAnswered -> leases.receiveTable(from, message, now)

        is SlotPassedOn -> leases.receive(message, now)

        is SlotWanted -> leases.receiveWanted(from, now)
    }

    override fun admit(request: RequestId, bucket: BucketId, tokens: Long, now: MonotonicTime): AdmissionDecision {
        val whole = shares.division.whole(bucket) ?: return AdmissionDecision.Refused(RefusalReason.NO_GRANT, null)
        val asked = WaitingRequest(request, tokens, now + settings.admissionWait)
        if (asked.units > whole.capacityUnits) return AdmissionDecision.Refused(RefusalReason.LARGER_THAN_BURST, null)
        val queue = queues.getOrPut(bucket) { BucketQueue(bucket) }
        if (queue.waiting.isEmpty() && charge(queue, asked, now)) return AdmissionDecision.Admitted
        if (!mayComeInTime(queue, asked.units, asked.deadline, now)) return refusal(queue, asked.units, now)
        queue.waiting.addLast(asked)
        waitingIn[request] = queue
        val effects = askNext(queue, now)
        queue.recheckAt = earliest(queue.recheckAt?.takeIf { it > now }, recheckTime(queue, now))
        return AdmissionDecision.Pending(effects)
    }

    override fun settle(request: RequestId, usedTokens: Long, now: MonotonicTime): List<CoreEffect> {
        val charge = charges.remove(request) ?: return emptyList()
        val unused = unitsOf(charge.tokens) - unitsOf(usedTokens)
        if (unused < 0) chargeMore(charge, -unused) else giveBack(charge, unused, now)
        return emptyList()
    }

    override fun release(request: RequestId, now: MonotonicTime): List<CoreEffect> {
        val queue = waitingIn.remove(request) ?: return settle(request, 0, now)
        queue.waiting.removeIf { it.id == request }
        return emptyList()
    }

    private fun chargeMore(charge: Charge, units: Long) {
        val own = charge.parts.filterIsInstance<ChargePart.Own>().firstOrNull()?.bucket
            ?: shares.bucket(charge.bucket)?.byPart?.values?.firstOrNull()
        own?.spend(units)
    }

    private fun giveBack(charge: Charge, units: Long, now: MonotonicTime) {
        var unused = units
        for (part in charge.parts) {
            val returned = minOf(unused, part.units)
            unused -= returned
            when (part) {
                is ChargePart.Own -> part.bucket.refund(returned, part.mark, now)
                is ChargePart.Borrowed -> takenLoans.giveBack(part.loan, returned, now)
            }
        }
    }

    private fun usableBuckets(bucket: BucketId, now: MonotonicTime): List<TokenBucket> {
        val usable = shares.bucket(bucket)?.byPart?.filterKeys { leases.usable(it, now) }?.values?.toList().orEmpty()
        usable.forEach { it.accrue(now) }
        return usable
    }

    private fun availableUnits(bucket: BucketId, now: MonotonicTime): Long =
        takenLoans.usable(bucket, now).sumOf { it.units } + usableBuckets(bucket, now).sumOf { it.levelUnits.coerceAtLeast(0) }

    /** Charges loans first, as they end soon, then the fullest part, so that none overflows before the others. */
    private fun charge(queue: BucketQueue, asked: WaitingRequest, now: MonotonicTime): Boolean {
        if (availableUnits(queue.bucket, now) < asked.units) return false
        var missing = asked.units
        val parts = mutableListOf<ChargePart>()
        for (loan in takenLoans.usable(queue.bucket, now)) {
            val taken = minOf(missing, loan.units)
            if (taken <= 0) break
            loan.units -= taken
            missing -= taken
            parts += ChargePart.Borrowed(loan, taken)
            queue.spentBorrowed(taken, settings.loanLifetime, now)
        }
        for (bucket in usableBuckets(queue.bucket, now).sortedByDescending { it.levelUnits }) {
            val taken = minOf(missing, bucket.levelUnits)
            if (taken <= 0) continue
            missing -= taken
            parts += ChargePart.Own(bucket, taken, bucket.spend(taken))
        }
        if (usableBuckets(queue.bucket, now).let { all ->
                all.sumOf { it.levelUnits } < all.sumOf { it.capacityUnits } / 2
            }
        ) {
            unbalanced.add(queue)
        }
        charges[asked.id] = Charge(asked.id, queue.bucket, asked.tokens, parts)
        return true
    }

    /** Whether [units] more than what waits already may be had by [deadline]. */
    private fun mayComeInTime(queue: BucketQueue, units: Long, deadline: MonotonicTime, now: MonotonicTime): Boolean {
        if (!queue.exhausted(now)) return true
        val missing = queue.waitingUnits + units - availableUnits(queue.bucket, now)
        return missing <= unitsUntil(queue, deadline, now)
    }

    private fun unitsUntil(queue: BucketQueue, deadline: MonotonicTime, now: MonotonicTime): Long {
        val rate = shares.division.whole(queue.bucket)?.unitsPerNanosecond ?: 0
        return saturatedProduct(rate, (deadline - now).inWholeNanoseconds.coerceAtLeast(0))
    }

    private fun refusal(queue: BucketQueue, units: Long, now: MonotonicTime): AdmissionDecision.Refused {
        val rate = shares.division.whole(queue.bucket)?.unitsPerNanosecond ?: 0
        val missing = (queue.waitingUnits + units - availableUnits(queue.bucket, now)).coerceAtLeast(0)
        val retryAt = if (rate == 0L) null else now + (missing / rate).nanoseconds
        return AdmissionDecision.Refused(RefusalReason.OVER_RATE, retryAt)
    }

    private fun deadlineOf(queue: BucketQueue): MonotonicTime? {
        val head = queue.waiting.firstOrNull() ?: return null
        return earliest(queue.nextDeadline, queue.recheckAt ?: head.deadline)
    }

    /** Admits, refuses and borrows for whatever waits in [queue]. */
    private fun advance(queue: BucketQueue, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        queue.asked?.takeIf { it.timeoutAt <= now }?.let { queue.answered(it.lender, 0, pressed = false, silent = true, now) }
        while (queue.waiting.isNotEmpty() && charge(queue, queue.waiting.first(), now)) {
            effects += resolve(queue.waiting.removeFirst(), AdmissionDecision.Admitted)
        }
        effects += refuseHopeless(queue, now)
        effects += askNext(queue, now)
        queue.recheckAt = recheckTime(queue, now)
        return effects
    }

    private fun refuseHopeless(queue: BucketQueue, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        while (queue.waiting.isNotEmpty() && queue.asked == null) {
            val last = queue.waiting.last()
            if (now < last.deadline && mayComeInTime(queue, 0, last.deadline, now)) break
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
        waitingIn.remove(request.id)
        return Publish(AdmissionResolved(request.id, decision))
    }

    /** When the level may have risen enough for the first waiting request. */
    private fun recheckTime(queue: BucketQueue, now: MonotonicTime): MonotonicTime? {
        val head = queue.waiting.firstOrNull() ?: return null
        val rate = usableBuckets(queue.bucket, now).sumOf { it.unitsPerNanosecond }
        if (rate == 0L) return now + LONGEST_RECHECK
        val missing = (head.units - availableUnits(queue.bucket, now)).coerceAtLeast(0)
        return now + (missing / rate).nanoseconds.coerceIn(SHORTEST_RECHECK, LONGEST_RECHECK)
    }

    private fun askNext(queue: BucketQueue, now: MonotonicTime): List<CoreEffect> {
        val missing = queue.waitingUnits - availableUnits(queue.bucket, now)
        if (queue.waiting.isEmpty() || missing <= 0) {
            queue.endEarly()
            return emptyList()
        }
        val lender = queue.nextLender(lendersOf(queue.bucket), now) ?: return emptyList()
        val request = open(queue, lender, missing, now)
        queue.asked = BorrowRequest(request.number, lender, now + settings.borrowTimeout)
        return listOf(SendToPeer(lender, request))
    }

    /** Asks for [missing] units and keeps room for more, so that the shares of all holders stay about even. */
    private fun open(queue: BucketQueue, lender: InstanceId, missing: Long, now: MonotonicTime): LoanRequested {
        val usable = usableBuckets(queue.bucket, now)
        val headroom = usable.sumOf { it.headroom.coerceAtLeast(0) }
        val room = ReservedRoom(usable, maxOf(missing, headroom / 2))
        val number = ++nextRequestNumber
        openRequests[number] = OpenRequest(queue.bucket, lender, now, room)
        return LoanRequested(
            incarnation = incarnation,
            number = number,
            bucket = queue.bucket,
            units = missing,
            prefetchUnits = queue.prefetchUnits(settings.loanLifetime, now),
            freeCapacityUnits = room.units,
            levelUnits = usable.sumOf { it.levelUnits },
        )
    }

    /** Evens out buckets that run low with other holders, whose share might overflow. */
    private fun balance(now: MonotonicTime): List<CoreEffect> {
        val due = unbalanced.filter { it.nextBalancing <= now }
        unbalanced.removeAll(due.toSet())
        return due.mapNotNull { queue ->
            queue.nextBalancing = now + BALANCING_INTERVAL
            val lender = queue.nextToBalanceWith(lendersOf(queue.bucket))
            if (lender == null || usableBuckets(queue.bucket, now).isEmpty()) null else SendToPeer(lender, open(queue, lender, 0, now))
        }
    }

    private fun forgetOldRequests(now: MonotonicTime) {
        val oldest = openRequests.entries.iterator()
        while (oldest.hasNext()) {
            val open = oldest.next().value
            if (open.sentAt + settings.loanLifetime > now) break
            open.room.end(arrivedUnits = 0)
            oldest.remove()
        }
    }

    private fun lendersOf(bucket: BucketId): List<InstanceId> =
        shares.division.shares(bucket).keys.mapNotNull { leases.table.ownerOf(it)?.owner }.filter { it != self }.distinct()

    private fun grant(request: LoanRequested, now: MonotonicTime): LoanGranted {
        val held = shares.bucket(request.bucket)?.byPart.orEmpty().filterKeys { leases.usable(it, now) }
        val sources = held.mapNotNull { (part, bucket) ->
            bucket.accrue(now)
            leases.ownParts[part]?.let { LendableBucket(bucket, it.spendUntil) }
        }
        val pressed = queues[request.bucket]?.waiting?.isNotEmpty() ?: false
        return givenLoans.grant(request, sources, pressed, now)
    }

    private fun accept(from: InstanceId, message: LoanGranted, now: MonotonicTime): List<CoreEffect> {
        val open = openRequests[message.number]
        if (message.borrowerIncarnation != incarnation || open == null || open.lender != from) return emptyList()
        openRequests.remove(message.number)
        open.room.end(message.movedUnits)
        val spendUntil = open.sentAt + message.lifetimeMillis.milliseconds
        if (message.units > 0) {
            takenLoans.add(TakenLoan(open.bucket, from, message.lenderIncarnation, message.loan, spendUntil, message.units))
        }
        val queue = queues[open.bucket] ?: return emptyList()
        if (queue.asked?.number ==
            message.number
        ) {
            queue.answered(from, message.units + message.movedUnits, message.lenderHasWaitingRequests, silent = false, now)
        }
        return advance(queue, now)
    }

    private companion object {
        val SHORTEST_RECHECK = 5.milliseconds
        val LONGEST_RECHECK = 100.milliseconds
        val BALANCING_INTERVAL = 500.milliseconds
    }
}
