package org.cactuspulley.core.limits

/** Headroom of at most [requestedUnits] that is reserved in [buckets] for units that another holder may move here. */
internal class ReservedHeadroom(buckets: List<TokenBucket>, requestedUnits: Long) {
    private class Portion(val bucket: TokenBucket, val units: Long)

    private val portions = reserve(buckets, requestedUnits)

    /** The reserved headroom, in token units. */
    val units: Long get() = portions.sumOf { it.units }

    private fun reserve(buckets: List<TokenBucket>, requestedUnits: Long): List<Portion> {
        var missing = requestedUnits
        return buckets.sortedByDescending { it.headroom }.mapNotNull { bucket ->
            val taken = minOf(missing, bucket.headroom)
            if (taken <= 0) return@mapNotNull null
            missing -= taken
            bucket.reserve(taken)
            Portion(bucket, taken)
        }
    }

    /** Ends the reservation after it was filled with [arrivedUnits]. */
    fun release(arrivedUnits: Long) {
        var arrived = arrivedUnits
        for (portion in portions) {
            val placed = minOf(arrived, portion.units)
            arrived -= placed
            portion.bucket.releaseReservation(portion.units, placed)
        }
    }
}
