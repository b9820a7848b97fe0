package org.cactuspulley.core.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.event.CacheChanged
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.targets.KnownTarget

/** Answers how much of a prompt a target has cached. */
internal interface CacheEstimator {
    /** The expected number of tokens of [prompt] that the target has cached or is about to compute. */
    fun cachedTokens(known: KnownTarget, prompt: HashedPrompt, now: MonotonicTime): Int

    /** The number of leading pieces of [prompt] that the target can hand over now. */
    fun transferablePieces(known: KnownTarget, prompt: HashedPrompt, now: MonotonicTime): Int
}

/**
 * What one instance believes of the engines' caches, from its own placements, the engines' answers and
 * cache events. An entry holds for one incarnation of one target. Belief in an entry fades with its
 * age, measured against how long the target was seen to keep pieces; after a gap in a target's
 * events its older entries count less until an answer or an event confirms them.
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
     * The ages in milliseconds of the known leading pieces of a prompt at the target. An engine keeps a
     * piece no longer than those before it, so a known piece vouches for all that precede it.
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

    /** Notes that the target holds all pieces at [now]. */
    fun recordCached(known: KnownTarget, hashes: LongArray, now: MonotonicTime) {
        val cacheModel = cacheModelOf(known) ?: return
        hashes.forEach { index.put(cacheModel.indexKey(it), now) }
    }

    /** Notes that the target is going to hold all pieces at [computedAt]; those known before are cached [now]. */
    fun recordPending(known: KnownTarget, hashes: LongArray, now: MonotonicTime, computedAt: MonotonicTime) {
        val cacheModel = cacheModelOf(known) ?: return
        val ages = pieceAges(known, hashes, now)
        hashes.forEachIndexed { piece, hash ->
            val cached = piece < ages.size && ages[piece] >= 0
            val pending = piece < ages.size && ages[piece] < 0
            if (!pending) index.put(cacheModel.indexKey(hash), if (cached) now else computedAt)
        }
    }

    /** Learns from an answer that reused [cachedPieces] leading pieces, of which pieces with [ages] were known. */
    fun learnRetention(known: KnownTarget, ages: IntArray, cachedPieces: Int) {
        val cacheModel = cacheModelOf(known) ?: return
        ages.forEachIndexed { piece, age -> if (piece < cachedPieces) cacheModel.observeHit(age) else cacheModel.observeMiss(age) }
    }

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
        const val MIN_TRANSFER_PROBABILITY = 0.6
    }
}

/** One incarnation of a target and how long it keeps pieces, in milliseconds. */
private class TargetCacheModel(private val target: TargetId, val incarnation: Long, private var retentionMillis: Double) {
    private var clears = 0
    private var salt = newSalt()
    var unconfirmedBefore: MonotonicTime? = null

    fun indexKey(hash: Long): Long = mixBits(hash xor salt).let { if (it == 0L) 1L else it }

    fun clear() {
        clears++
        salt = newSalt()
    }

    fun cachedProbability(ageMillis: Int, now: MonotonicTime): Double {
        val probability = (EXPIRY_RETENTIONS - ageMillis / retentionMillis).coerceIn(0.0, 1.0)
        val unconfirmed = unconfirmedBefore?.let { (now - it).inWholeMilliseconds < ageMillis } ?: false
        return if (unconfirmed) probability * UNCONFIRMED_FACTOR else probability
    }

    fun observeHit(ageMillis: Int) {
        if (ageMillis >
            retentionMillis
        ) {
            retentionMillis =
                (retentionMillis + RETENTION_GROWTH_RATE * (ageMillis - retentionMillis)).coerceAtMost(MAX_RETENTION_MILLIS)
        }
    }

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
        const val EXPIRY_RETENTIONS = 2.0
        const val UNCONFIRMED_FACTOR = 0.95
        const val RETENTION_GROWTH_RATE = 0.3
        const val RETENTION_SHRINK_RATE = 0.02
        const val MIN_RETENTION_MILLIS = 200.0
        const val MAX_RETENTION_MILLIS = 3_600_000.0
    }
}
