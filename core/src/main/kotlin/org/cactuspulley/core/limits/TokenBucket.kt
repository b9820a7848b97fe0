package org.cactuspulley.core.limits

import org.cactuspulley.core.model.MonotonicTime

/**
 * One part's share of a workspace's bucket, in units. Tokens that are lent out still count as held,
 * so that level and loans together never pass the capacity.
 */
internal class TokenBucket(limit: BucketLimit, accruesFrom: MonotonicTime) {
    private var limit = limit
    private var accruedUntil = accruesFrom
    private var lentUnits = 0L
    private var reservedUnits = 0L
    private val headroomHistory = HeadroomHistory()

    val unitsPerNanosecond: Long get() = limit.unitsPerNanosecond

    /** The units that are lent out and may still be spent elsewhere. */
    val outstandingLoanUnits: Long get() = lentUnits

    /** The units that may be spent; below zero after a request used more than its estimate. */
    var levelUnits: Long = 0
        private set

    private val freeUnits: Long get() = limit.capacityUnits - lentUnits - levelUnits

    /** What the level may rise by. */
    val headroom: Long get() = freeUnits - reservedUnits

    val capacityUnits: Long get() = limit.capacityUnits

    /** Adds what has come in since the last call. */
    fun accrue(now: MonotonicTime) {
        val elapsed = (now - accruedUntil).inWholeNanoseconds
        if (elapsed <= 0) return
        accruedUntil = now
        if (limit.unitsPerNanosecond == 0L) return
        val available = headroom
        val untilFull = available / limit.unitsPerNanosecond
        levelUnits += if (elapsed > untilFull) available.coerceAtLeast(0) else elapsed * limit.unitsPerNanosecond
        headroomHistory.record(freeUnits)
    }

    fun changeLimit(limit: BucketLimit, now: MonotonicTime) {
        accrue(now)
        this.limit = limit
        if (headroom < 0) levelUnits += headroom
        headroomHistory.record(freeUnits)
    }

    /** Takes [units]; the returned mark says from when on a refund is judged. */
    fun spend(units: Long): Long {
        levelUnits -= units
        return headroomHistory.mark()
    }

    fun lend(units: Long) {
        levelUnits -= units
        lentUnits += units
    }

    /** Unspent lent units come back before the loan ended. */
    fun reclaim(units: Long) {
        levelUnits += units
        lentUnits -= units
    }

    /** A loan ended and [units] of it count as spent. Returns the mark for a later refund. */
    fun expireLoan(units: Long): Long {
        lentUnits -= units
        return headroomHistory.mark()
    }

    /** Keeps room free for units that may arrive from another holder. */
    fun reserve(units: Long) {
        reservedUnits += units
    }

    /** Ends a reservation of [units], of which [arrived] have come. */
    fun releaseReservation(units: Long, arrivedUnits: Long) {
        reservedUnits -= units
        credit(arrivedUnits)
    }

    /** Takes [units] away for good, to move them to another holder. */
    fun moveOut(units: Long) {
        levelUnits -= units
    }

    /** Adds [units] that came from another holder, as far as there is room. */
    fun credit(units: Long) {
        levelUnits += units.coerceAtMost(headroom).coerceAtLeast(0)
        headroomHistory.record(freeUnits)
    }

    /**
     * Returns [units] of an earlier charge, as far as the bucket would hold them had they never been
     * charged: what would have overflowed since [mark] is lost.
     */
    fun refund(units: Long, mark: Long, now: MonotonicTime) {
        accrue(now)
        val returned = units.coerceAtMost(headroomHistory.minimumSince(mark, headroom)).coerceAtLeast(0)
        levelUnits += returned
        headroomHistory.lower(mark, returned)
    }

    /** When the level reaches [units] without further spending, or null if it never does. */
    fun levelReachedAt(units: Long, now: MonotonicTime): MonotonicTime? = when {
        levelUnits >= units -> now
        limit.unitsPerNanosecond == 0L || units > limit.capacityUnits - lentUnits -> null
        else -> MonotonicTime(accruedUntil.nanoseconds + (units - levelUnits) / limit.unitsPerNanosecond + 1)
    }
}

/** One part's share of rate and burst. */
internal data class BucketLimit(val unitsPerNanosecond: Long, val capacityUnits: Long)

/**
 * The least free room of a bucket since any earlier mark: a queue of minima, in which a smaller
 * value removes the larger ones before it.
 */
internal class HeadroomHistory {
    private class Entry(val sequence: Long, var headroom: Long)

    private val minima = ArrayDeque<Entry>()
    private var sequence = 0L

    fun mark(): Long = ++sequence

    fun record(headroom: Long) {
        while (minima.isNotEmpty() && minima.last().headroom >= headroom) minima.removeLast()
        if (minima.lastOrNull()?.sequence != sequence) minima.addLast(Entry(sequence, headroom))
        if (minima.size > MAXIMUM_ENTRIES) mergeOldest()
    }

    /** A charge at [mark] turned out smaller by [units], so there was that much less room ever since. */
    fun lower(mark: Long, units: Long) {
        val first = firstSince(mark)
        for (index in first until minima.size) minima[index].headroom -= units
        val minimum = minima.getOrNull(first)?.headroom ?: return
        var dominated = first - 1
        while (dominated >= 0 && minima[dominated].headroom >= minimum) minima.removeAt(dominated--)
    }

    fun minimumSince(mark: Long, current: Long): Long = minOf(minima.getOrNull(firstSince(mark))?.headroom ?: Long.MAX_VALUE, current)

    private fun firstSince(mark: Long): Int {
        val index = minima.binarySearch { it.sequence.compareTo(mark) }
        return if (index < 0) -index - 1 else index
    }

    /** Merges the two oldest entries so that neither promises more room than there was. */
    private fun mergeOldest() {
        val minimum = minima.removeFirst().headroom
        val merged = minima.removeFirst().sequence
        minima.addFirst(Entry(merged, minimum))
    }

    private companion object {
        const val MAXIMUM_ENTRIES = 1024
    }
}
