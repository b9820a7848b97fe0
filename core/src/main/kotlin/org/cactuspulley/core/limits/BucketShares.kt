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

/** The buckets of one workspace and profile in the parts that this instance holds. */
internal class HeldBucket(val id: BucketId) {
    val byPart = sortedMapOf<SlotPart, TokenBucket>(compareBy { it.number })
}

/**
 * All buckets in the parts that this instance holds. After a change of the plan nothing can be spent
 * until every holder divides by the new plan and the loans of the old one have ended.
 */
internal class BucketShares(private val settings: LimitSettings) : OwnPartListener {
    private class Departing(
        val successor: InstanceId,
        val message: SlotPassedOn,
        var sendAt: MonotonicTime,
    ) {
        var sent = 0
    }

    private class ForeignLoan(val bucket: TokenBucket, val units: Long, val endsAt: MonotonicTime)

    private val buckets = HashMap<BucketId, HeldBucket>()
    private val ownParts = HashMap<SlotPart, OwnPart>()
    private val departing = mutableListOf<Departing>()
    private val foreignLoans = ArrayDeque<ForeignLoan>()
    private var thawNotBefore: MonotonicTime? = null

    var division = BucketDivision(Configuration(), settings)
        private set

    /** Whether the present plan may not be used yet. */
    var frozen = true
        private set

    val nextDeadline: MonotonicTime? get() = earliest(departing.minOfOrNull { it.sendAt }, foreignLoans.firstOrNull()?.endsAt)

    fun bucket(id: BucketId): HeldBucket? = buckets[id]

    fun changeConfiguration(configuration: Configuration, now: MonotonicTime) {
        val changesDivision = !divides(division.plan, configuration.plan.value)
        division = BucketDivision(configuration, settings)
        if (changesDivision && !frozen) freeze()
        for (workspace in configuration.workspaces.values) {
            workspace.value.profiles.map { BucketId(workspace.value.id, it) }
                .forEach { id -> buckets.getOrPut(id) { HeldBucket(id) } }
        }
        val iterator = buckets.values.iterator()
        for (bucket in iterator) {
            val shares = division.shares(bucket.id)
            if (shares.isEmpty()) {
                iterator.remove()
            } else if (!frozen) {
                resize(bucket, shares, now)
            }
        }
    }

    private fun divides(present: FleetPlan, next: FleetPlan) =
        present.slotCount == next.slotCount && present.homesPerWorkspace == next.homesPerWorkspace

    private fun freeze() {
        frozen = true
        thawNotBefore = null
        buckets.values.forEach { it.byPart.clear() }
        departing.clear()
    }

    /** Every holder was seen to divide by the present plan; [first] if no plan was in force before. */
    fun agreed(now: MonotonicTime, first: Boolean) {
        val notBefore = thawNotBefore ?: (if (first) now else now + settings.withDrift(settings.loanLifetime))
        thawNotBefore = notBefore
        if (now < notBefore) return
        frozen = false
        buckets.values.forEach { resize(it, division.shares(it.id), now) }
    }

    private fun resize(bucket: HeldBucket, shares: Map<SlotPart, BucketLimit>, now: MonotonicTime) {
        bucket.byPart.keys.retainAll(shares.keys)
        for ((part, limit) in shares) {
            val own = ownParts[part] ?: continue
            bucket.byPart.getOrPut(part) { TokenBucket(limit, maxOf(own.accruesFrom, now)) }.changeLimit(limit, now)
        }
    }

    override fun gained(part: SlotPart, own: OwnPart, now: MonotonicTime) {
        ownParts[part] = own
        if (frozen) return
        for (bucket in buckets.values) {
            val limit = division.shares(bucket.id)[part] ?: continue
            bucket.byPart[part] = TokenBucket(limit, own.accruesFrom)
        }
    }

    override fun lost(part: SlotPart, now: MonotonicTime) {
        ownParts.remove(part)
        buckets.values.forEach { it.byPart.remove(part) }
    }

    override fun handedOver(part: HeldPart, successor: InstanceId, now: MonotonicTime) {
        ownParts.remove(part.part)
        val left = mutableListOf<LeftUnits>()
        for (held in buckets.values) {
            val bucket = held.byPart.remove(part.part) ?: continue
            bucket.accrue(now)
            left += LeftUnits(held.id, bucket.levelUnits, bucket.lent)
        }
        departing += Departing(successor, SlotPassedOn(part, left), now)
    }

    /** What the former holder lent counts as held until the loans have surely ended. */
    override fun credited(message: SlotPassedOn, now: MonotonicTime) {
        for (left in message.remaining) {
            val bucket = buckets[left.bucket]?.byPart?.get(message.part.part) ?: continue
            if (left.lentUnits > 0) {
                bucket.reserve(left.lentUnits)
                foreignLoans.addLast(ForeignLoan(bucket, left.lentUnits, now + settings.withDrift(settings.loanLifetime)))
            }
            bucket.credit(left.units)
        }
    }

    /** Sends what is left of handed-over parts; the same message several times, as one may be lost. */
    fun onTimer(now: MonotonicTime): List<CoreEffect> {
        while (foreignLoans.firstOrNull().let { it != null && it.endsAt <= now }) {
            foreignLoans.removeFirst().let { it.bucket.fill(it.units, 0) }
        }
        val due = departing.filter { it.sendAt <= now }
        due.forEach {
            it.sent++
            it.sendAt = now + RESEND_INTERVAL
        }
        departing.removeIf { it.sent >= SENDINGS }
        return due.map { SendToPeer(it.successor, it.message) }
    }

    private companion object {
        const val SENDINGS = 3
        val RESEND_INTERVAL = 200.milliseconds
    }
}
