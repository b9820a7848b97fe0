package org.cactuspulley.core.limits

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.message.LeftUnits
import org.cactuspulley.core.message.SlotPassedOn
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.earliest
import org.cactuspulley.core.record.HeldPart
import kotlin.time.Duration.Companion.milliseconds

/**
 * The shares of one workspace's bucket in the parts that this instance holds.
 *
 * @property byPart the token bucket of every held part, in the order of the part numbers.
 */
internal class HeldBucket(val id: BucketId) {
    val byPart = sortedMapOf<SlotPart, TokenBucket>(compareBy { it.number })
}

/**
 * All buckets in the parts that this instance holds. After a change of the plan, nothing can be spent until every
 * holder divides buckets by the new plan and the loans of the old plan have expired.
 */
internal class BucketShares(private val settings: LimitSettings) : PartLeaseListener {
    private class PendingTransfer(
        val successor: InstanceId,
        val message: SlotPassedOn,
        var sendAt: MonotonicTime,
    ) {
        var sendCount = 0
    }

    /** Loans that the former holder of a part granted from [bucket]; [units] are reserved there until they expire. */
    private class FormerHolderLoan(val bucket: TokenBucket, val units: Long, val expiresAt: MonotonicTime)

    private val buckets = HashMap<BucketId, HeldBucket>()
    private val heldParts = HashMap<SlotPart, PartLease>()
    private val pendingTransfers = mutableListOf<PendingTransfer>()
    private val formerHolderLoans = ArrayDeque<FormerHolderLoan>()

    /** The earliest time at which spending may resume, or null until the current plan is agreed. */
    private var unfreezeNotBefore: MonotonicTime? = null

    var allocation = BucketAllocation(Configuration(), settings)
        private set

    /** Whether spending is suspended because the current plan may not be used yet. */
    var frozen = true
        private set

    val nextDeadline: MonotonicTime? get() = earliest(
        pendingTransfers.minOfOrNull {
            it.sendAt
        },
        formerHolderLoans.firstOrNull()?.expiresAt,
    )

    fun bucket(id: BucketId): HeldBucket? = buckets[id]

    fun changeConfiguration(configuration: Configuration, now: MonotonicTime) {
        val changesAllocation = !isSameAllocation(allocation.plan, configuration.plan.value)
        allocation = BucketAllocation(configuration, settings)
        if (changesAllocation && !frozen) freeze()
        for (workspace in configuration.workspaces.values) {
            workspace.value.profiles.map { BucketId(workspace.value.id, it) }
                .forEach { id -> buckets.getOrPut(id) { HeldBucket(id) } }
        }
        val iterator = buckets.values.iterator()
        for (bucket in iterator) {
            val shares = allocation.shares(bucket.id)
            if (shares.isEmpty()) {
                iterator.remove()
            } else if (!frozen) {
                resize(bucket, shares, now)
            }
        }
    }

    private fun isSameAllocation(current: FleetPlan, next: FleetPlan) =
        current.slotCount == next.slotCount && current.homesPerWorkspace == next.homesPerWorkspace

    private fun freeze() {
        frozen = true
        unfreezeNotBefore = null
        buckets.values.forEach { it.byPart.clear() }
        pendingTransfers.clear()
    }

    /**
     * Resumes spending once the loans of the previous plan have expired. Called only while every holder divides buckets by
     * the current plan. [isFirstPlan] says that no plan was in force before, so there are no such loans.
     */
    fun onPlanAgreed(now: MonotonicTime, isFirstPlan: Boolean) {
        val notBefore = unfreezeNotBefore ?: (if (isFirstPlan) now else now + settings.withDrift(settings.loanLifetime))
        unfreezeNotBefore = notBefore
        if (now < notBefore) return
        frozen = false
        buckets.values.forEach { resize(it, allocation.shares(it.id), now) }
    }

    private fun resize(bucket: HeldBucket, shares: Map<SlotPart, BucketLimit>, now: MonotonicTime) {
        bucket.byPart.keys.retainAll(shares.keys)
        for ((part, limit) in shares) {
            val lease = heldParts[part] ?: continue
            bucket.byPart.getOrPut(part) { TokenBucket(limit, maxOf(lease.accruesFrom, now)) }.changeLimit(limit, now)
        }
    }

    override fun onPartGained(part: SlotPart, lease: PartLease, now: MonotonicTime) {
        heldParts[part] = lease
        if (frozen) return
        for (bucket in buckets.values) {
            val limit = allocation.shares(bucket.id)[part] ?: continue
            bucket.byPart[part] = TokenBucket(limit, lease.accruesFrom)
        }
    }

    override fun onPartLost(part: SlotPart, now: MonotonicTime) {
        heldParts.remove(part)
        buckets.values.forEach { it.byPart.remove(part) }
    }

    override fun onPartHandedOver(part: HeldPart, successor: InstanceId, now: MonotonicTime) {
        heldParts.remove(part.part)
        val remaining = mutableListOf<LeftUnits>()
        for (held in buckets.values) {
            val bucket = held.byPart.remove(part.part) ?: continue
            bucket.accrue(now)
            remaining += LeftUnits(held.id, bucket.levelUnits, bucket.outstandingLoanUnits)
        }
        pendingTransfers += PendingTransfer(successor, SlotPassedOn(part, remaining), now)
    }

    /** Credits the transferred units and reserves headroom for units that the former holder lent until those loans have expired. */
    override fun onTransferReceived(message: SlotPassedOn, now: MonotonicTime) {
        for (remaining in message.remaining) {
            val bucket = buckets[remaining.bucket]?.byPart?.get(message.part.part) ?: continue
            if (remaining.lentUnits > 0) {
                bucket.reserve(remaining.lentUnits)
                formerHolderLoans.addLast(FormerHolderLoan(bucket, remaining.lentUnits, now + settings.withDrift(settings.loanLifetime)))
            }
            bucket.credit(remaining.units)
        }
    }

    /** Sends the remaining units of handed-over parts to their new holders. Each message is repeated, as one may be lost. */
    fun onTimer(now: MonotonicTime): List<CoreEffect> {
        while (formerHolderLoans.firstOrNull().let { it != null && it.expiresAt <= now }) {
            formerHolderLoans.removeFirst().let { it.bucket.releaseReservation(it.units, 0) }
        }
        val due = pendingTransfers.filter { it.sendAt <= now }
        due.forEach {
            it.sendCount++
            it.sendAt = now + RESEND_INTERVAL
        }
        pendingTransfers.removeIf { it.sendCount >= MAX_SENDS }
        return due.map { SendToPeer(it.successor, it.message) }
    }

    private companion object {
        /** How many times the message about a handed-over part is sent. */
        const val MAX_SENDS = 3
        val RESEND_INTERVAL = 200.milliseconds
    }
}
