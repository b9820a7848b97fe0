package org.cactuspulley.core.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.math.ceil

/**
 * Selects the targets that are preferred for a prompt, so that equal prefixes are sent to the same targets.
 *
 * The number of preferred targets of a prefix is proportional to its share of recent requests. A hot prefix therefore
 * gains targets as its arrival rate grows, before a queue builds up. The preferred targets of a longer prefix are a
 * subset of those of the shorter prefix, so that a large common prefix is not cached on every target. Rendezvous hashing
 * orders the targets, so that instances whose estimates of the demand differ still agree: the smaller set is a subset
 * of the larger one.
 */
internal class PrefixPlacement(private val demand: PrefixDemand, private val headroom: Double) {
    private val targetHashes = HashMap<TargetId, Long>()

    /** Returns the preferred targets among [targets] for the prompt whose pieces have the chained [hashes]. */
    fun preferredTargets(hashes: LongArray, targets: List<TargetId>, now: MonotonicTime): List<TargetId> {
        var preferred = targets
        for (hash in hashes) {
            if (preferred.size == 1) break
            val wanted = ceil(demand.share(hash, now) * headroom * targets.size).toInt().coerceAtLeast(1)
            if (wanted < preferred.size) preferred = preferred.sortedBy { rank(hash, it) }.take(wanted)
        }
        return preferred
    }

    private fun rank(hash: Long, target: TargetId): Long =
        mixBits(hash xor targetHashes.getOrPut(target) { Hashing.xxh3_64().hashCharsToLong(target.text) })
}
