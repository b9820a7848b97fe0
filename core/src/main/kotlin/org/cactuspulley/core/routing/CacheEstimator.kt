package org.cactuspulley.core.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.event.CacheChanged
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.targets.KnownTarget

/** Estimates how much of a prompt a target has cached. */
internal interface CacheEstimator {
    /** Returns the expected number of tokens of [prompt] that the target has cached or is about to compute. */
    fun cachedTokens(known: KnownTarget, prompt: HashedPrompt, now: MonotonicTime): Int

    /** Returns the number of leading pieces of [prompt] that the target can transfer to another target now. */
    fun transferablePieces(known: KnownTarget, prompt: HashedPrompt, now: MonotonicTime): Int
}

/**
 * Estimates the engines' caches from this instance's own placements, placement notices of other instances, the engines'
 * answers and cache events.
 *
 * An entry is valid for one incarnation of one target. The probability that it is still cached falls with its age, relative
 * to the time for which the target was seen to retain pieces. After a gap in the cache events of a target, its older
 * entries have a lower probability until an answer or an event confirms them.
 */
internal class LearnedCacheEstimator(private val settings: SelectionSettings) : CacheEstimator {
    private val index = PrefixIndex(settings.indexEntries)
    private val cacheModels = HashMap<TargetId, TargetCacheModel>()
    private val maxEventLagMillis = settings.maxEventLag.inWholeMilliseconds

    override fun cachedTokens(known: KnownTarget, prompt: HashedPrompt, now: MonotonicTime): Int {
        val cacheModel = cacheModelOf(known) ?: return 0
        val ages = pieceAges(known, prompt.hashes, now)
        return ages.indices.sumOf { cacheModel.cachedProbability(ages[it], now) * prompt.pieceTokens[it] }.toInt()
    }

    override fun transferablePieces(known: KnownTarget, prompt: HashedPrompt, now: MonotonicTime): Int {
        val cacheModel = cacheModelOf(known) ?: return 0
        return pieceAges(known, prompt.hashes, now).indexOfLast {
            it >= 0 &&
                cacheModel.cachedProbability(it, now) >= MIN_TRANSFER_PROBABILITY
        } +
            1
    }

    /**
     * Returns the ages in milliseconds of the leading pieces of a prompt that are known to be cached at the target. An engine
     * evicts a piece no later than the pieces that precede it, so a cached piece implies that all pieces before it are cached.
     */
    fun pieceAges(known: KnownTarget, hashes: LongArray, now: MonotonicTime): IntArray {
        val cacheModel = cacheModelOf(known) ?: return IntArray(0)
        val ages = IntArray(hashes.size) { index.ageMillis(cacheModel.indexKey(hashes[it]), now) }
        val leading = ages.copyOf(ages.indexOfLast { it != PrefixIndex.NOT_CACHED } + 1)
        for (piece in leading.lastIndex - 1 downTo 0) {
            val following = leading[piece + 1]
            val unknown = leading[piece] == PrefixIndex.NOT_CACHED
            if (unknown || (following >= 0 && leading[piece] > following)) leading[piece] = following
        }
        return leading
    }

    /** Records that the target has cached all pieces as of [now]. */
    fun recordCached(known: KnownTarget, hashes: LongArray, now: MonotonicTime) {
        val cacheModel = cacheModelOf(known) ?: return
        hashes.forEach { index.put(cacheModel.indexKey(it), now) }
    }

    /** Records that the target will have cached all pieces at [computedAt]; pieces that are already cached count as used [now]. */
    fun recordPending(known: KnownTarget, hashes: LongArray, now: MonotonicTime, computedAt: MonotonicTime) {
        val cacheModel = cacheModelOf(known) ?: return
        val ages = pieceAges(known, hashes, now)
        hashes.forEachIndexed { piece, hash ->
            val cached = piece < ages.size && ages[piece] >= 0
            val pending = piece < ages.size && ages[piece] < 0
            if (!pending) index.put(cacheModel.indexKey(hash), if (cached) now else computedAt)
        }
    }

    /**
     * Adjusts the target's retention time to an answer that reused the first [cachedPieces] pieces of a prompt. The pieces
     * with [ages] were expected to be cached.
     */
    fun learnRetention(known: KnownTarget, ages: IntArray, cachedPieces: Int) {
        val cacheModel = cacheModelOf(known) ?: return
        ages.forEachIndexed { piece, age -> if (piece < cachedPieces) cacheModel.observeHit(age) else cacheModel.observeMiss(age) }
    }

    /**
     * Applies cache events of the target. An eviction is ignored if the piece was recorded within the greatest event lag,
     * because the piece may have been computed again since.
     */
    fun applyCacheChange(change: CacheChanged, known: KnownTarget, now: MonotonicTime) {
        val cacheModel = cacheModelOf(known) ?: return
        if (change.incarnation != known.incarnation) return
        if (change.cleared) cacheModel.clear()
        if (!change.complete) cacheModel.unconfirmedBefore = now
        change.evicted.map(cacheModel::indexKey).filter { index.ageMillis(it, now) > maxEventLagMillis }.forEach(index::remove)
        change.stored.forEach { index.put(cacheModel.indexKey(it), now) }
    }

    private fun cacheModelOf(known: KnownTarget): TargetCacheModel? {
        val incarnation = known.incarnation ?: return null
        val cached = cacheModels[known.target.id]
        if (cached != null && cached.incarnation == incarnation.number) return cached
        return TargetCacheModel(known.target.id, incarnation.number, settings.initialRetention.inWholeMilliseconds.toDouble())
            .also { cacheModels[known.target.id] = it }
    }

    private companion object {
        /** The least probability of being cached at which a piece counts as transferable. */
        const val MIN_TRANSFER_PROBABILITY = 0.6
    }
}

/**
 * The cache behavior of one incarnation of a target.
 *
 * @property retentionMillis the estimated time for which the target keeps a piece after its last use, in milliseconds.
 */
private class TargetCacheModel(private val target: TargetId, val incarnation: Long, private var retentionMillis: Double) {
    private var clears = 0
    private var salt = newSalt()

    /** The time of the last gap in the cache events; entries that were last confirmed before it are less certain. */
    var unconfirmedBefore: MonotonicTime? = null

    /** Returns the key of the piece with the chained [hash] in the index; 0 marks a free entry, so it is never returned. */
    fun indexKey(hash: Long): Long = mixBits(hash xor salt).let { if (it == 0L) 1L else it }

    /** Invalidates all entries of the target: their keys no longer match under the new salt. */
    fun clear() {
        clears++
        salt = newSalt()
    }

    /** Returns the probability, from 0 to 1, that a piece of the given age is cached. */
    fun cachedProbability(ageMillis: Int, now: MonotonicTime): Double {
        val probability = (EXPIRY_RETENTIONS - ageMillis / retentionMillis).coerceIn(0.0, 1.0)
        val unconfirmed = unconfirmedBefore?.let { (now - it).inWholeMilliseconds < ageMillis } ?: false
        return if (unconfirmed) probability * UNCONFIRMED_FACTOR else probability
    }

    /** Raises the retention time if a piece was still cached at a higher age. */
    fun observeHit(ageMillis: Int) {
        if (ageMillis >
            retentionMillis
        ) {
            retentionMillis =
                (retentionMillis + RETENTION_GROWTH_RATE * (ageMillis - retentionMillis)).coerceAtMost(MAX_RETENTION_MILLIS)
        }
    }

    /** Lowers the retention time if a piece was no longer cached at a lower age. */
    fun observeMiss(ageMillis: Int) {
        if (ageMillis <
            retentionMillis
        ) {
            retentionMillis =
                (retentionMillis + RETENTION_SHRINK_RATE * (ageMillis - retentionMillis)).coerceAtLeast(MIN_RETENTION_MILLIS)
        }
    }

    private fun newSalt(): Long = Hashing.xxh3_64().hashCharsToLong("${target.text}\u0000$incarnation\u0000$clears")

    private companion object {
        /** The age, in multiples of the retention time, at which a piece counts as evicted. */
        const val EXPIRY_RETENTIONS = 2.0

        /** The factor on the probability of entries that are older than a gap in the cache events. */
        const val UNCONFIRMED_FACTOR = 0.95

        /** The fraction of the difference by which a hit raises the retention time. */
        const val RETENTION_GROWTH_RATE = 0.3

        /** The fraction of the difference by which a miss lowers the retention time. */
        const val RETENTION_SHRINK_RATE = 0.02
        const val MIN_RETENTION_MILLIS = 200.0
        const val MAX_RETENTION_MILLIS = 3_600_000.0
    }
}
