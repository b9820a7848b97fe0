package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A change of the directory, for logs and followers. */
public enum class DirectoryChange { ADDED, RESTARTED, CHANGED, LEAVING, REMOVED, REMOVAL_DEFERRED, STALE, UNCHANGED }

/**
 * The targets that the registry names.
 *
 * A removal that is read soon after the registry's return from an outage is deferred, since entries
 * that lapsed meanwhile come back while their targets live.
 */
public class TargetDirectory(private val returnAllowance: Duration = RETURN_ALLOWANCE) {
    private val targets = LinkedHashMap<TargetId, Target>()
    private val lastSeen = HashMap<TargetId, TargetEntry>()
    private val deferredRemovals = LinkedHashMap<TargetId, MonotonicTime>()
    private var poolMembers: Map<PoolName, List<Target>> = emptyMap()

    /** Removals are deferred until this time. */
    private var trustRemovalsAt: MonotonicTime? = null

    /** All targets that are named at present. */
    public val all: Collection<Target> get() = targets.values

    /** The targets of [pool] that are named at present. */
    public fun members(pool: PoolName): List<Target> = poolMembers[pool].orEmpty()

    /** The target called [id], or null. */
    public operator fun get(id: TargetId): Target? = targets[id]

    /** Takes note that the registry can be read again at [now] after it could not. */
    public fun registryReturned(now: MonotonicTime) {
        trustRemovalsAt = now + returnAllowance
    }

    /** Applies the target's own words. */
    public fun report(entry: TargetEntry): DirectoryChange {
        val present = targets[entry.id]
        if (isStale(entry, present)) return DirectoryChange.STALE
        lastSeen[entry.id] = entry
        deferredRemovals.remove(entry.id)
        val change = when {
            present == null -> DirectoryChange.ADDED
            present.entry.startedAtMillis != entry.startedAtMillis || present.entry.address != entry.address -> DirectoryChange.RESTARTED
            entry.isLeaving && !present.entry.isLeaving -> DirectoryChange.LEAVING
            entry.copy(report = 0) != present.entry.copy(report = 0) -> DirectoryChange.CHANGED
            else -> DirectoryChange.UNCHANGED
        }
        val movesPool = present?.entry?.pool != entry.pool
        if (change == DirectoryChange.ADDED || change == DirectoryChange.RESTARTED) {
            targets[entry.id] = Target(entry)
            regroup()
        } else {
            present?.update(entry)
            if (movesPool) regroup()
        }
        return change
    }

    private fun isStale(entry: TargetEntry, present: Target?): Boolean {
        val known = lastSeen[entry.id] ?: return false
        return !entry.isNewerThan(known) && (present == null || entry != known)
    }

    /** Applies that the registry names [id] no longer. */
    public fun remove(id: TargetId, now: MonotonicTime): DirectoryChange {
        if (id !in targets) return DirectoryChange.UNCHANGED
        val trustAt = trustRemovalsAt
        if (trustAt != null && now < trustAt && targets[id]?.entry?.isLeaving == false) {
            deferredRemovals[id] = trustAt
            return DirectoryChange.REMOVAL_DEFERRED
        }
        targets.remove(id)
        deferredRemovals.remove(id)
        regroup()
        return DirectoryChange.REMOVED
    }

    /** Carries out the deferred removals that are due and names them. */
    public fun removeDue(now: MonotonicTime): List<TargetId> {
        val due = deferredRemovals.filterValues { it <= now }.keys.toList()
        due.forEach {
            deferredRemovals.remove(it)
            targets.remove(it)
        }
        if (due.isNotEmpty()) regroup()
        return due
    }

    /** Takes note that the target answered as another one or as none: nothing is sent until it reports again. */
    public fun misnamed(id: TargetId) {
        if (targets.remove(id) != null) regroup()
    }

    private fun regroup() {
        poolMembers = targets.values.groupBy { it.entry.pool }
    }

    private companion object {
        /** Entries that lapsed during an outage are back about two seconds after it (registry's page); a little beyond that. */
        val RETURN_ALLOWANCE = 2_200.milliseconds
    }
}

/** One target: its registry entry and what requests have shown about it. */
public class Target internal constructor(entry: TargetEntry) {
    /** The newest registry entry. */
    public var entry: TargetEntry = entry
        private set
    private val shownWeights = HashMap<ModelName, Long>()

    /** What outcomes of requests say about the target. */
    public val health: TargetHealth = TargetHealth()

    /** The work that instances have at the target. */
    public val load: TargetLoad = TargetLoad()

    /** When anything last arrived from the target. */
    public var lastSign: MonotonicTime? = null

    /** Until when the target takes new weights, as far as known; requests go elsewhere meanwhile. */
    public var loadingUntil: MonotonicTime? = null

    /** The target's name. */
    public val id: TargetId get() = entry.id

    /** The newest known version of [model]'s weights in the target; null if it has none. */
    public fun weights(model: ModelName): Long? {
        val registered = entry.weights[model] ?: return null
        return maxOf(registered, shownWeights[model] ?: 0)
    }

    /** Takes note that the target runs [version] of [model]. */
    public fun sawWeights(model: ModelName, version: Long) {
        if (version > (shownWeights[model] ?: 0)) {
            shownWeights[model] = version
            loadingUntil = null
        }
    }

    internal fun update(newer: TargetEntry) {
        entry = newer
    }
}
