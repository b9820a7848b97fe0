package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a registry record changed the directory; a [STALE] one is older than what is known of its target and is ignored. */
public enum class DirectoryChange { ADDED, RESTARTED, CHANGED, LEAVING, REMOVED, REMOVAL_DEFERRED, STALE, UNCHANGED }

/**
 * The targets that are listed in the registry.
 *
 * A removal that is read shortly after the registry recovered from an outage is deferred, because entries that
 * expired during the outage are registered again by targets that are still running.
 */
public class TargetDirectory(private val recoveryGracePeriod: Duration = RECOVERY_GRACE_PERIOD) {
    private val targets = LinkedHashMap<TargetId, Target>()
    private val latestEntries = HashMap<TargetId, TargetEntry>()

    /** The start of each target that is known to leave; a later start under the same id serves again. */
    private val leavingStarts = HashMap<TargetId, Long>()

    /** The pauses that targets asked for, by their starts; an entry may be removed and registered again meanwhile. */
    private val pauses = HashMap<TargetId, Pause>()

    /** The removed targets whose next entry may come from the copy that the registry was restored from. */
    private val awaitedReports = HashSet<TargetId>()
    private val deferredRemovals = LinkedHashMap<TargetId, MonotonicTime>()
    private var poolMembers: Map<PoolName, List<Target>> = emptyMap()

    /** The time until which removals are deferred; null if the registry has had no outage. */
    private var deferRemovalsUntil: MonotonicTime? = null

    /** All targets that are currently listed. */
    public val all: Collection<Target> get() = targets.values

    /** Returns the targets of [pool] that are currently listed. */
    public fun members(pool: PoolName): List<Target> = poolMembers[pool].orEmpty()

    /** Returns the target with [id], or null if it is not listed. */
    public operator fun get(id: TargetId): Target? = targets[id]

    /** Returns whether requests may be sent to [target] at [now]: it is still listed, is not leaving and has not asked for a pause. */
    public fun accepts(target: Target, now: MonotonicTime): Boolean = isCurrent(target) && !target.isLeaving && !target.isPaused(now)

    /** Returns whether [target] is listed and has not started again. */
    public fun isCurrent(target: Target): Boolean = targets[target.id] === target

    /**
     * Records that the target with [id], which started at [startedAtMillis], has said that it is leaving; returns whether that is
     * news. Whatever the registry says of this start later, it gets no new requests.
     */
    public fun recordLeaving(id: TargetId, startedAtMillis: Long): Boolean {
        val known = leavingStarts[id]
        if (known != null && known >= startedAtMillis) return false
        leavingStarts[id] = startedAtMillis
        targets[id]?.takeIf { it.entry.startedAtMillis == startedAtMillis }?.markLeaving()
        return true
    }

    /** Records that [target] has asked this instance to send no requests until [time]. */
    public fun pause(target: Target, time: MonotonicTime) {
        target.pauseUntil(time)
        target.pausedUntil?.let { pauses[target.id] = Pause(target.entry.startedAtMillis, it) }
    }

    /** Records that [version] of the weights of [model] was named, which targets may load. */
    public fun weightsNamed(model: ModelName, version: Long): Unit = targets.values.forEach { it.weightsNamed(model, version) }

    /** Records that the registry became readable again at [now] after an outage. */
    public fun registryRecovered(now: MonotonicTime) {
        val until = maxOf(deferRemovalsUntil ?: now, now + recoveryGracePeriod)
        deferRemovalsUntil = until
        // The targets whose removals are still deferred could not register during another outage either.
        deferredRemovals.replaceAll { _, _ -> until }
    }

    /**
     * Records that the registry was restored at [now] from a copy, which may lack entries and may list targets that were removed since. A
     * removed target is used again only once it reports after the entry that is seen first.
     */
    public fun registryRestored(now: MonotonicTime) {
        registryRecovered(now)
        awaitedReports += latestEntries.keys - targets.keys
    }

    /** Applies an entry that a target published and returns how the directory changed. */
    public fun upsert(entry: TargetEntry): DirectoryChange {
        val current = targets[entry.id]
        // A target leaves for good, whatever it reported before or after.
        if (entry.isLeaving) recordLeaving(entry.id, entry.startedAtMillis)
        if (isStale(entry, current)) return DirectoryChange.STALE
        val startedAtMillis = latestEntries.put(entry.id, entry)?.startedAtMillis
        if (awaitedReports.remove(entry.id) && entry.startedAtMillis == startedAtMillis) return DirectoryChange.STALE
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
            targets[entry.id] = newTarget(entry)
            rebuildPoolMembers()
        } else {
            current?.update(entry)
            if (changesPool) rebuildPoolMembers()
        }
        return change
    }

    private fun newTarget(entry: TargetEntry) = Target(entry).apply {
        if (leavingStarts[entry.id] == entry.startedAtMillis) markLeaving()
        pauses[entry.id]?.takeIf { it.startedAtMillis == entry.startedAtMillis }?.let { pauseUntil(it.until) }
    }

    private fun isStale(entry: TargetEntry, current: Target?): Boolean {
        val latest = latestEntries[entry.id] ?: return false
        return !entry.isNewerThan(latest) && (current == null || entry != latest)
    }

    /** Removes the target with [id], which the registry no longer lists, or defers its removal. */
    public fun remove(id: TargetId, now: MonotonicTime): DirectoryChange {
        if (id !in targets) return DirectoryChange.UNCHANGED
        val deferUntil = deferRemovalsUntil
        if (deferUntil != null && now < deferUntil && targets[id]?.isLeaving == false) {
            deferredRemovals[id] = deferUntil
            return DirectoryChange.REMOVAL_DEFERRED
        }
        targets.remove(id)
        deferredRemovals.remove(id)
        rebuildPoolMembers()
        return DirectoryChange.REMOVED
    }

    /** Applies the deferred removals that are due at [now] and returns the removed targets. */
    public fun applyDeferredRemovals(now: MonotonicTime): List<TargetId> {
        val due = deferredRemovals.filterValues { it <= now }.keys.toList()
        due.forEach {
            deferredRemovals.remove(it)
            targets.remove(it)
        }
        if (due.isNotEmpty()) rebuildPoolMembers()
        return due
    }

    /** Removes the target with [id], which responded under another id or none; it gets no requests until it reports again. */
    public fun removeMisidentified(id: TargetId) {
        if (targets.remove(id) != null) rebuildPoolMembers()
    }

    private fun rebuildPoolMembers() {
        poolMembers = targets.values.groupBy { it.entry.pool }
    }

    private class Pause(val startedAtMillis: Long, val until: MonotonicTime)

    private companion object {
        /**
         * The time in which targets register their expired entries again after an outage: about two seconds according
         * to the documentation of the registry, and a small margin.
         */
        val RECOVERY_GRACE_PERIOD = 2_200.milliseconds
    }
}

/** A target: its registry entry and what requests have revealed about it. */
public class Target internal constructor(entry: TargetEntry) {
    /** The newest registry entry. */
    public var entry: TargetEntry = entry
        private set
    private val loadedWeights = HashMap<ModelName, LoadedWeights>()

    /** The target's health according to the outcomes of requests. */
    public val health: TargetHealth = TargetHealth()

    /** The load that all instances place on the target. */
    public val load: TargetLoad = TargetLoad()

    /** What all instances have in flight at the target; only recorded where capacity is taken into account. */
    public val occupancy: TargetOccupancy = TargetOccupancy()

    /** How fast the target is. */
    public val speed: TargetSpeed = TargetSpeed()

    /** The time at which anything last arrived from the target; null if nothing has arrived. */
    public var lastReceivedAt: MonotonicTime? = null

    /** The time until which the target is expected to load new weights; requests avoid it until then. */
    public var loadingUntil: MonotonicTime? = null

    /** Whether the target is leaving, by its registry entry or by its responses. */
    public var isLeaving: Boolean = entry.isLeaving
        private set

    /** The time until which the target has asked this instance to send no requests; null if it has not. */
    internal var pausedUntil: MonotonicTime? = null
        private set

    /** The target's id. */
    public val id: TargetId get() = entry.id

    /** Returns the newest known version of [model]'s weights on the target; null if the target does not serve the model. */
    public fun weights(model: ModelName): Long? {
        val registered = entry.weights[model] ?: return null
        return loadedWeights[model]?.known(registered) ?: registered
    }

    /**
     * Returns the version of [model]'s weights that requests should expect of the target at [now]; null if it does not serve the
     * model or has refused all versions that it may have.
     */
    public fun probableWeights(model: ModelName, now: MonotonicTime): Long? {
        val registered = entry.weights[model] ?: return null
        val loaded = loadedWeights[model] ?: return registered
        return loaded.probable(registered, now)
    }

    /** Records at [now] that the target refused [version] of [model], of which [newest] is the newest, without naming its own. */
    public fun recordRefusedWeights(model: ModelName, version: Long, newest: Long, now: MonotonicTime) {
        loadedWeights.getOrPut(model) { LoadedWeights() }.refuse(version, newest, now)
    }

    internal fun weightsNamed(model: ModelName, version: Long) {
        loadedWeights[model]?.named(version)
    }

    /** Records that the target runs [version] of [model]. */
    public fun recordWeights(model: ModelName, version: Long) {
        if (loadedWeights.getOrPut(model) { LoadedWeights() }.observe(version)) loadingUntil = null
    }

    internal fun pauseUntil(time: MonotonicTime) {
        pausedUntil = maxOf(pausedUntil ?: time, time)
    }

    /** Returns when the target accepts requests again; [now] if it is neither excluded nor paused. */
    public fun acceptsFrom(now: MonotonicTime): MonotonicTime = maxOf(now, health.excludedUntil ?: now, pausedUntil ?: now)

    /** Returns whether the target has asked for no requests at [now]. */
    public fun isPaused(now: MonotonicTime): Boolean = pausedUntil?.let { now < it } ?: false

    internal fun markLeaving() {
        isLeaving = true
    }

    internal fun update(newEntry: TargetEntry) {
        entry = newEntry
        if (newEntry.isLeaving) isLeaving = true
    }
}
