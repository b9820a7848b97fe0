package org.cactuspulley.core.routing

import org.cactuspulley.core.model.MonotonicTime
import kotlin.math.exp

/** The number of entries per bucket. */
private const val BUCKET_SIZE = 8

private const val NANOSECONDS_PER_SECOND = 1e9

/**
 * Measures, for each prompt piece, the share of this instance's recent demand whose prompts contain the prefix that ends
 * with the piece. Demand decays exponentially.
 *
 * The table is bounded. When a bucket is full, the entry with the lowest demand is replaced.
 *
 * @property timeConstantSeconds the time in seconds after which demand has decayed to 1/e.
 */
internal class PrefixDemand(entries: Int, private val timeConstantSeconds: Double) {
    private val bucketCount = (entries / BUCKET_SIZE).coerceAtLeast(1)
    private val keys = LongArray(bucketCount * BUCKET_SIZE)
    private val demands = FloatArray(bucketCount * BUCKET_SIZE)
    private val updatedAt = LongArray(bucketCount * BUCKET_SIZE)
    private var totalDemand = 0.0
    private var totalUpdatedAt = 0L

    /** Adds [amount] to the demand of every piece of a prompt. */
    fun add(hashes: LongArray, amount: Double, now: MonotonicTime) {
        totalDemand = decayed(totalDemand, totalUpdatedAt, now) + amount
        totalUpdatedAt = now.nanoseconds
        hashes.forEach { add(it, amount, now) }
    }

    /** Returns the share of the recent demand, from 0 to 1, that the prefix with the chained [hash] accounts for. */
    fun share(hash: Long, now: MonotonicTime): Double {
        val currentTotal = decayed(totalDemand, totalUpdatedAt, now)
        val slot = slots(hash).firstOrNull { keys[it] == hash } ?: return 0.0
        return if (currentTotal <= 0) 0.0 else (decayed(demands[slot].toDouble(), updatedAt[slot], now) / currentTotal).coerceAtMost(1.0)
    }

    private fun add(hash: Long, amount: Double, now: MonotonicTime) {
        val slot = slots(hash).firstOrNull { keys[it] == hash }
            ?: slots(hash).minBy { decayed(demands[it].toDouble(), updatedAt[it], now) }.also { demands[it] = 0f }
        demands[slot] = (decayed(demands[slot].toDouble(), updatedAt[slot], now) + amount).toFloat()
        keys[slot] = hash
        updatedAt[slot] = now.nanoseconds
    }

    private fun decayed(value: Double, since: Long, now: MonotonicTime): Double =
        value * exp(-(now.nanoseconds - since) / NANOSECONDS_PER_SECOND / timeConstantSeconds)

    private fun slots(hash: Long): IntRange {
        val start = Math.multiplyHigh(mixBits(hash) ushr 1, bucketCount.toLong() shl 1).toInt() * BUCKET_SIZE
        return start until start + BUCKET_SIZE
    }
}
