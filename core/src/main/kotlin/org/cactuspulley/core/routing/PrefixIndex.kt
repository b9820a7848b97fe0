package org.cactuspulley.core.routing

import org.cactuspulley.core.model.MonotonicTime

/** The number of entries per bucket. */
private const val BUCKET_SIZE = 8

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/**
 * Records which targets have cached which prompt pieces.
 *
 * The table is bounded and set-associative and takes twelve bytes per entry. The key of an entry combines the chained
 * hash of the piece with the target and its incarnation, so that an entry of an earlier incarnation never matches. When a
 * bucket is full, its oldest entry is replaced.
 */
internal class PrefixIndex(entries: Int) {
    private val bucketCount = (entries / BUCKET_SIZE).coerceAtLeast(1)
    private val keys = LongArray(bucketCount * BUCKET_SIZE)
    private val cachedAtMillis = IntArray(bucketCount * BUCKET_SIZE)

    /** Records that the piece with [key] is cached as of [time], which may be in the future. */
    fun put(key: Long, time: MonotonicTime) {
        val start = firstSlot(key)
        var oldest = start
        for (slot in start until start + BUCKET_SIZE) {
            if (keys[slot] == key || keys[slot] == 0L) {
                store(slot, key, time)
                return
            }
            if (cachedAtMillis[slot] - cachedAtMillis[oldest] < 0) oldest = slot
        }
        store(oldest, key, time)
    }

    /**
     * Returns the time in milliseconds since the piece with [key] was last known to be cached, or [NOT_CACHED]. The time is
     * negative if the piece is expected to be cached only in the future.
     */
    fun ageMillis(key: Long, now: MonotonicTime): Int {
        val slot = findSlot(key)
        val age = if (slot < 0) NOT_CACHED else toMillis(now) - cachedAtMillis[slot]
        return if (age < MIN_AGE_MILLIS) NOT_CACHED else age
    }

    /** Removes the entry of the piece with [key]. */
    fun remove(key: Long) {
        val slot = findSlot(key)
        if (slot >= 0) keys[slot] = 0
    }

    private fun store(slot: Int, key: Long, time: MonotonicTime) {
        keys[slot] = key
        cachedAtMillis[slot] = toMillis(time)
    }

    private fun toMillis(time: MonotonicTime): Int = (time.nanoseconds / NANOSECONDS_PER_MILLISECOND).toInt()

    private fun findSlot(key: Long): Int {
        val start = firstSlot(key)
        for (slot in start until start + BUCKET_SIZE) if (keys[slot] == key) return slot
        return -1
    }

    private fun firstSlot(key: Long): Int = (Math.multiplyHigh(key ushr 1, bucketCount.toLong() shl 1)).toInt() * BUCKET_SIZE

    companion object {
        /** The age that stands for a piece without an entry. */
        const val NOT_CACHED: Int = Int.MIN_VALUE

        /** The lowest age of a piece that is not cached yet, in milliseconds; lower ages count as [NOT_CACHED]. */
        private const val MIN_AGE_MILLIS = -600_000
    }
}
