package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration

/**
 * The version that the weights of a model should have.
 *
 * @property namedAt the time at which the version was named, as far as is known; see [isAgeKnown].
 * @property isAgeKnown whether this instance or a peer learned of the version when it was named; otherwise [namedAt] is the earliest
 *    time at which that may have been.
 */
public data class DesiredWeights(
    val model: ModelName,
    val version: Long,
    val namedAt: MonotonicTime,
    val isAgeKnown: Boolean = true,
)

/**
 * Tracks the desired versions of each model and when they were named.
 *
 * An instance that stood still, was cut off or was restarted learns late of a version. Limits count from the naming, so the
 * earliest time that any instance knows is used.
 */
public class DesiredWeightsTracker {
    /** The newest versions of each model, in ascending order. */
    private val versions = HashMap<ModelName, ArrayDeque<DesiredWeights>>()

    /** Records that [version] of [model] is desired since [namedAt] at the latest; returns whether it is newer than all before. */
    public fun record(model: ModelName, version: Long, namedAt: MonotonicTime, isAgeKnown: Boolean = true): Boolean {
        val known = versions.getOrPut(model) { ArrayDeque() }
        if (known.isNotEmpty() && version <= known.last().version) return false
        known.addLast(DesiredWeights(model, version, namedAt, isAgeKnown))
        if (known.size > MAX_VERSIONS) known.removeFirst()
        return true
    }

    /**
     * Records that a peer knows [version] of [model] since [namedAt], which replaces an assumed time. A version that was skipped here
     * is added; one that is newer than all known ones is ignored, because its record follows.
     */
    public fun recordPeerAge(model: ModelName, version: Long, namedAt: MonotonicTime) {
        val known = versions[model] ?: return
        val index = known.indexOfFirst { it.version >= version }
        when {
            index < 0 -> return

            known[index].version > version -> known.add(index, DesiredWeights(model, version, namedAt))

            namedAt < known[index].namedAt || !known[index].isAgeKnown -> known[index] =
                known[index].copy(namedAt = namedAt, isAgeKnown = true)
        }
        if (known.size > MAX_VERSIONS) known.removeFirst()
    }

    /** Returns the newest desired version of [model], or null if none is known. */
    public fun newest(model: ModelName): DesiredWeights? = versions[model]?.last()

    /** The newest desired versions of all models. */
    public val all: Collection<DesiredWeights> get() = versions.values.map { it.last() }

    /** Returns the versions whose age is known and less than [age] at [now]. */
    public fun namedWithin(age: Duration, now: MonotonicTime): List<DesiredWeights> =
        versions.values.flatten().filter { it.isAgeKnown && now - it.namedAt < age }

    /**
     * Returns the oldest version on which a request to [model] may begin at [now]: the newest one that was named at least
     * [gracePeriod] ago; null if there is none.
     */
    public fun minimum(model: ModelName, gracePeriod: Duration, now: MonotonicTime): Long? =
        versions[model]?.lastOrNull { it.namedAt + gracePeriod <= now }?.version

    private companion object {
        /** The number of versions kept of each model; those that have been replaced for longer than any limit are not needed. */
        const val MAX_VERSIONS = 16
    }
}
