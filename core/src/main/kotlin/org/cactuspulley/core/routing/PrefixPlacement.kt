package org.cactuspulley.core.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.math.ceil

/**
 * Plans which targets should hold a prompt. The number of holders of a piece follows the part of the
 * fleet's work that begins with it, so a hot prefix gets more holders as its arrivals grow, before a
 * queue does. Holders of a longer prefix are picked among those of the shorter one, so a large common
 * start is not copied everywhere. Rendezvous ranking makes the sets of different instances alike: when
 * they disagree about a number, the smaller set is part of the larger one.
 */
internal class PrefixPlacement(private val demand: PrefixDemand, private val headroom: Double) {
    private val targetHashes = HashMap<TargetId, Long>()

    /** The planned holders of the prompt with these piece [hashes] among [targets]. */
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
