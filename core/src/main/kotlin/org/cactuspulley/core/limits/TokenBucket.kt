package org.cactuspulley.core.limits

import org.cactuspulley.core.model.MonotonicTime

/**
 * A token bucket that holds one part's share of a workspace's bucket, in token units. Units that are lent out still
 * count as held, so that level and loans together never exceed the capacity.
 */
internal class TokenBucket(limit: BucketLimit, accruesFrom: MonotonicTime) {
    private var limit = limit
    private var accruedUntil = accruesFrom
    private var lentUnits = 0L
    private var reservedUnits = 0L
    private val headroomHistory = HeadroomHistory()

    /** The rate of the bucket, in units per nanosecond. */
    val unitsPerNanosecond: Long get() = limit.unitsPerNanosecond

    /** The units that are lent to other instances, which may still spend them. */
    val outstandingLoanUnits: Long get() = lentUnits

    /** The units that may be spent; negative after a request used more than its estimate. */
    var levelUnits: Long = 0
        private set

    /** The units by which the level may rise if reservations are ignored. */
    private val freeUnits: Long get() = limit.capacityUnits - lentUnits - levelUnits

    /** The units by which the level may rise: the free capacity without the reserved units. */
    val headroom: Long get() = freeUnits - reservedUnits

    /** The burst of the bucket, in units. */
    val capacityUnits: Long get() = limit.capacityUnits

    /** Adds the units that accrued since the last call. */
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

    /** Deducts [units] and returns a mark of this moment, which limits a later [refund]. */
    fun spend(units: Long): Long {
        levelUnits -= units
        return headroomHistory.mark()
    }

    fun lend(units: Long) {
        levelUnits -= units
        lentUnits += units
    }

    /** Returns unspent [units] of a loan to the level before the loan expires. */
    fun reclaim(units: Long) {
        levelUnits += units
        lentUnits -= units
    }

    /** Counts [units] of an expired loan as spent and returns a mark of this moment, which limits a later [refund]. */
    fun expireLoan(units: Long): Long {
        lentUnits -= units
        return headroomHistory.mark()
    }

    /** Reserves headroom for [units] that may arrive from another holder. */
    fun reserve(units: Long) {
        reservedUnits += units
    }

    /** Ends a reservation of [units] and credits the [arrivedUnits]. */
    fun releaseReservation(units: Long, arrivedUnits: Long) {
        reservedUnits -= units
        credit(arrivedUnits)
    }

    /** Deducts [units] that move to another holder for good. */
    fun moveOut(units: Long) {
        levelUnits -= units
    }

    /** Adds [units] from another holder, as far as the headroom allows. */
    fun credit(units: Long) {
        levelUnits += units.coerceAtMost(headroom).coerceAtLeast(0)
        headroomHistory.record(freeUnits)
    }

    /**
     * Refunds [units] of the charge at [mark], as far as the bucket would hold them now if they had not been charged. Units
     * that would have overflowed since then are lost.
     */
    fun refund(units: Long, mark: Long, now: MonotonicTime) {
        accrue(now)
        val returned = units.coerceAtMost(headroomHistory.minimumSince(mark, headroom)).coerceAtLeast(0)
        levelUnits += returned
        headroomHistory.lower(mark, returned)
    }

    /** Returns when the level reaches [units] without further spending, or null if it never does. */
    fun levelReachedAt(units: Long, now: MonotonicTime): MonotonicTime? = when {
        levelUnits >= units -> now
        limit.unitsPerNanosecond == 0L || units > limit.capacityUnits - lentUnits -> null
        else -> MonotonicTime(accruedUntil.nanoseconds + (units - levelUnits) / limit.unitsPerNanosecond + 1)
    }
}

/**
 * The rate and burst of a bucket or of a share of it.
 *
 * @property unitsPerNanosecond the rate, in token units per nanosecond.
 * @property capacityUnits the burst, in token units.
 */
internal data class BucketLimit(val unitsPerNanosecond: Long, val capacityUnits: Long)

/**
 * Tracks the minimum headroom of a bucket since any earlier mark, in token units. Reservations are not deducted from the
 * recorded headroom. The history is a monotonic queue, in which a new value removes the larger ones before it.
 */
internal class HeadroomHistory {
    private class Entry(val sequence: Long, var headroom: Long)

    private val minima = ArrayDeque<Entry>()
    private var sequence = 0L

    /** Returns a mark of this moment. */
    fun mark(): Long = ++sequence

    /** Records the current [headroom]. */
    fun record(headroom: Long) {
        while (minima.isNotEmpty() && minima.last().headroom >= headroom) minima.removeLast()
        if (minima.lastOrNull()?.sequence != sequence) minima.addLast(Entry(sequence, headroom))
        if (minima.size > MAX_ENTRIES) mergeOldest()
    }

    /** Lowers the headroom since [mark] by [units], as that much of the charge at [mark] was refunded. */
    fun lower(mark: Long, units: Long) {
        val first = firstSince(mark)
        for (index in first until minima.size) minima[index].headroom -= units
        val minimum = minima.getOrNull(first)?.headroom ?: return
        var dominated = first - 1
        while (dominated >= 0 && minima[dominated].headroom >= minimum) minima.removeAt(dominated--)
    }

    /** Returns the minimum of the [current] headroom and of those recorded since [mark]. */
    fun minimumSince(mark: Long, current: Long): Long = minOf(minima.getOrNull(firstSince(mark))?.headroom ?: Long.MAX_VALUE, current)

    private fun firstSince(mark: Long): Int {
        val index = minima.binarySearch { it.sequence.compareTo(mark) }
        return if (index < 0) -index - 1 else index
    }

    /** Merges the two oldest entries into their minimum, so that no entry overstates the headroom. */
    private fun mergeOldest() {
        val minimum = minima.removeFirst().headroom
        val mergedSequence = minima.removeFirst().sequence
        minima.addFirst(Entry(mergedSequence, minimum))
    }

    private companion object {
        /** The number of entries above which the oldest ones are merged. */
        const val MAX_ENTRIES = 1024
    }
}
