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
public class TargetDirectory(private val recoveryGracePeriod: Duration = RECOVERY_GRACE_PERIOD) {
    private val targets = LinkedHashMap<TargetId, Target>()
    private val latestEntries = HashMap<TargetId, TargetEntry>()
    private val deferredRemovals = LinkedHashMap<TargetId, MonotonicTime>()
    private var poolMembers: Map<PoolName, List<Target>> = emptyMap()

    /** Removals are deferred until this time. */
    private var deferRemovalsUntil: MonotonicTime? = null

    /** All targets that are named at present. */
    public val all: Collection<Target> get() = targets.values

    /** The targets of [pool] that are named at present. */
    public fun members(pool: PoolName): List<Target> = poolMembers[pool].orEmpty()

    /** The target called [id], or null. */
    public operator fun get(id: TargetId): Target? = targets[id]

    /** Takes note that the registry can be read again at [now] after it could not. */
    public fun registryRecovered(now: MonotonicTime) {
        deferRemovalsUntil = now + recoveryGracePeriod
    }

    /** Applies the target's own words. */
    public fun upsert(entry: TargetEntry): DirectoryChange {
        val current = targets[entry.id]
        if (isStale(entry, current)) return DirectoryChange.STALE
        latestEntries[entry.id] = entry
        deferredRemovals.remove(entry.id)
        val change = when {
            current == null -> DirectoryChange.ADDED
            current.entry.startedAtMillis != entry.startedAtMillis || current.entry.address != entry.address -> DirectoryChange.RESTARTED
            entry.isLeaving && !current.entry.isLeaving -> DirectoryChange.LEAVING
            entry.copy(reportNumber = 0) != current.entry.copy(reportNumber = 0) -> DirectoryChange.CHANGED
            else -> DirectoryChange.UNCHANGED
        }
        val changesPool = current?.entry?.pool != entry.pool
        if (change == DirectoryChange.ADDED || change == DirectoryChange.RESTARTED) {
            targets[entry.id] = Target(entry)
            rebuildPoolMembers()
        } else {
            current?.update(entry)
            if (changesPool) rebuildPoolMembers()
        }
        return change
    }

    private fun isStale(entry: TargetEntry, current: Target?): Boolean {
        val latest = latestEntries[entry.id] ?: return false
        return !entry.isNewerThan(latest) && (current == null || entry != latest)
    }

    /** Applies that the registry names [id] no longer. */
    public fun remove(id: TargetId, now: MonotonicTime): DirectoryChange {
        if (id !in targets) return DirectoryChange.UNCHANGED
        val deferUntil = deferRemovalsUntil
        if (deferUntil != null && now < deferUntil && targets[id]?.entry?.isLeaving == false) {
            deferredRemovals[id] = deferUntil
            return DirectoryChange.REMOVAL_DEFERRED
        }
        targets.remove(id)
        deferredRemovals.remove(id)
        rebuildPoolMembers()
        return DirectoryChange.REMOVED
    }

    /** Carries out the deferred removals that are due and names them. */
    public fun applyDeferredRemovals(now: MonotonicTime): List<TargetId> {
        val due = deferredRemovals.filterValues { it <= now }.keys.toList()
        due.forEach {
            deferredRemovals.remove(it)
            targets.remove(it)
        }
        if (due.isNotEmpty()) rebuildPoolMembers()
        return due
    }

    /** Takes note that the target answered as another one or as none: nothing is sent until it reports again. */
    public fun removeMisidentified(id: TargetId) {
        if (targets.remove(id) != null) rebuildPoolMembers()
    }

    private fun rebuildPoolMembers() {
        poolMembers = targets.values.groupBy { it.entry.pool }
    }

    private companion object {
        /** Entries that lapsed during an outage are back about two seconds after it (registry's page); a little beyond that. */
        val RECOVERY_GRACE_PERIOD = 2_200.milliseconds
    }
}

/** One target: its registry entry and what requests have shown about it. */
public class Target internal constructor(entry: TargetEntry) {
    /** The newest registry entry. */
    public var entry: TargetEntry = entry
        private set
    private val observedWeights = HashMap<ModelName, Long>()

    /** What outcomes of requests say about the target. */
    public val health: TargetHealth = TargetHealth()

    /** The work that instances have at the target. */
    public val load: TargetLoad = TargetLoad()

    /** When anything last arrived from the target. */
    public var lastReceivedAt: MonotonicTime? = null

    /** Until when the target takes new weights, as far as known; requests go elsewhere meanwhile. */
    public var loadingUntil: MonotonicTime? = null

    /** The target's name. */
    public val id: TargetId get() = entry.id

    /** The newest known version of [model]'s weights in the target; null if it has none. */
    public fun weights(model: ModelName): Long? {
        val registered = entry.weights[model] ?: return null
        return maxOf(registered, observedWeights[model] ?: 0)
    }

    /** Takes note that the target runs [version] of [model]. */
    public fun recordWeights(model: ModelName, version: Long) {
        if (version > (observedWeights[model] ?: 0)) {
            observedWeights[model] = version
            loadingUntil = null
        }
    }

    internal fun update(newEntry: TargetEntry) {
        entry = newEntry
    }
}
