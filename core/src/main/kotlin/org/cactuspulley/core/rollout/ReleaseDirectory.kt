package org.cactuspulley.core.rollout

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.earliest
import kotlin.time.Duration.Companion.seconds

/** What an instance knows of the newest release of [service]. */
public class Release internal constructor(
    public val service: PoolName,
    public val targetVersion: String,
    id: ReleaseOrderId,
    public val seenAt: MonotonicTime,
    deadline: MonotonicTime?,
) {
    /** The id of the order; it changes if the store is restored or the order is repeated. */
    public var id: ReleaseOrderId = id
        internal set

    /** The time by which the release must be completed or rolled back; null if only its state is known. */
    public var deadline: MonotonicTime? = deadline
        internal set

    /** The newest known stage; null if the release has not been started. */
    public var stage: ReleaseStage? = null
        internal set

    /** When the holder of the lease last confirmed the stage; null if it is only known from an earlier holder. */
    public var heardAt: MonotonicTime? = null
        internal set

    /** The era of the store in which the operator's status shows the stage; null if it does not. */
    public var reportedEra: Long? = null
        internal set

    /** Whether the new version could serve before the order; it may then serve beyond the budget if there is no other one. */
    public var wasServing: Boolean = false
        internal set

    /** Whether the release is neither completed nor rolled back. */
    public val isActive: Boolean get() = stage?.isFinal != true

    /** Returns whether requests may be sent to the new version at [now] while the release is active: the holder confirmed it recently. */
    public fun isPermitted(now: MonotonicTime): Boolean = stage != null && heardAt?.let { now - it < PERMISSION } ?: false

    /** Returns whether [orderId] is that of this release; a store that is restored gives its order an id of a later era. */
    internal fun isSame(orderId: ReleaseOrderId): Boolean = orderId == id || orderId.era != id.era

    internal companion object {
        /**
         * How long a confirmation permits requests to the new version. It outlasts four of the holder's digests, and ends while a holder
         * that was lost has not been replaced.
         */
        val PERMISSION = 2.seconds
    }
}

/** A state and the time at which the holder of the lease confirmed it, by the clock of this instance. */
public data class HeardState(val state: ReleaseState, val heardAt: MonotonicTime?)

/**
 * The releases that an instance knows and the versions that each service may use; confined to one thread.
 *
 * The newest order of each service is kept with its stage. A final stage is never left, whatever is read later: after a restore, the
 * store may show the order and an earlier stage again.
 *
 * [holdsUnknownVersions] says that an unknown version waits for a read of the operators' topic also in a pool that no order has named.
 */
public class ReleaseDirectory(private val holdsUnknownVersions: Boolean = true) {
    private class Versions {
        /** The versions that may serve besides the target of the newest order. */
        val served = LinkedHashSet<String>()
        val rejected = HashSet<String>()

        /** Unknown versions and when their first entry was seen; they wait for a read of the operators' topic. */
        val awaiting = HashMap<String, MonotonicTime>()

        /** The versions that appeared during a release and may not serve while it is active. */
        val refused = HashSet<String>()

        /** The targets of all known orders by their offsets, which a restored store shows again. */
        val orders = HashMap<Long, String>()
    }

    private val releases = LinkedHashMap<PoolName, Release>()
    private val versions = HashMap<PoolName, Versions>()

    /** When the newest complete read of the operators' topic began; null if there was none. */
    private var operatorsReadFrom: MonotonicTime? = null

    /** The newest known era of the store. */
    public var storeEra: Long = 0
        private set

    /** The newest release of each service. */
    public val all: Collection<Release> get() = releases.values

    /** Whether the holder of the lease has something to do: a release is active, or the store does not show its end. */
    public val needsLease: Boolean get() = releases.values.any { it.isActive || !isReported(it) }

    /** Whether the operators' topic has to be read, because an entry showed an unknown version. */
    public val awaitsOperators: Boolean get() = versions.values.any { it.awaiting.isNotEmpty() }

    /**
     * The states to tell peers, with the time at which the holder confirmed each. All instances tell them, so that a final stage
     * outlives a holder that is lost before the store shows it.
     */
    public val states: List<HeardState>
        get() = releases.values.mapNotNull { release -> state(release.service)?.let { HeardState(it, release.heardAt) } }

    /** Returns the newest release of [service], or null if none is known. */
    public operator fun get(service: PoolName): Release? = releases[service]

    /** Returns the state of the newest release of [service]; null if there is none, or if it has not been started. */
    public fun state(service: PoolName): ReleaseState? = releases[service]?.let { release -> release.stage?.let { stateWith(release, it) } }

    internal fun stateWith(release: Release, stage: ReleaseStage): ReleaseState {
        val known = versionsOf(release.service)
        val isRejected = stage == ReleaseStage.RolledBack
        val own = setOf(release.targetVersion)
        return ReleaseState(
            release.service,
            release.id,
            release.targetVersion,
            stage,
            release.deadline,
            if (isRejected) known.served - own else known.served.toSet(),
            if (isRejected) known.rejected + own else known.rejected.toSet(),
            release.reportedEra.takeIf { stage == release.stage },
        )
    }

    /** Returns whether the operator's status of [release] shows its end in the current era of the store. */
    internal fun isReported(release: Release): Boolean = release.reportedEra?.let { it >= storeEra } ?: false

    /** Records the era of the store; what an earlier one showed may be lost. */
    public fun recordEra(era: Long) {
        storeEra = maxOf(storeEra, era)
    }

    /** Records [order], which the operators' topic shows; returns whether it begins a release. */
    public fun recordOrder(order: ReleaseOrder): Boolean {
        recordEra(order.id.era)
        val known = releases[order.service]
        val orders = versionsOf(order.service).orders
        val isRepeated = orders[order.id.offset] == order.targetVersion
        orders[order.id.offset] = order.targetVersion
        return when {
            known == null -> begin(order)

            known.targetVersion == order.targetVersion -> repeat(known, order)

            // An order from before the newest one, which is read late or was restored with the store.
            isRepeated || order.id < known.id -> false

            else -> begin(order)
        }
    }

    private fun repeat(known: Release, order: ReleaseOrder): Boolean {
        known.deadline = earliest(known.deadline, order.deadline)
        if (order.id <= known.id) return false
        // The operator who repeats an order expects its status to be written after it.
        if (order.id.era == known.id.era) known.reportedEra = null
        known.id = order.id
        return false
    }

    private fun begin(order: ReleaseOrder): Boolean {
        val known = versionsOf(order.service)
        val release = Release(order.service, order.targetVersion, order.id, order.seenAt, order.deadline)
        releases.put(order.service, release)?.takeIf { it.isActive && it.wasServing }?.let { known.served += it.targetVersion }
        known.awaiting.remove(order.targetVersion)
        known.refused.clear()
        if (order.targetVersion in known.rejected) {
            release.stage = ReleaseStage.RolledBack
        } else {
            release.wasServing = known.served.remove(order.targetVersion)
        }
        return true
    }

    /**
     * Records [state], which the holder of the lease confirmed at [heardAt], by the clock of this instance; null if the confirmation is of
     * unknown age. Returns whether the stage became known by it.
     */
    public fun recordState(state: ReleaseState, heardAt: MonotonicTime?): Boolean {
        val known = versionsOf(state.service)
        val completed = releases[state.service]?.takeIf { it.stage == ReleaseStage.Completed }?.targetVersion
        known.rejected += state.rejectedVersions.filter { it != completed }
        known.served += state.servedVersions
        known.served -= known.rejected
        val release = matching(state, heardAt) ?: return false
        release.deadline = earliest(release.deadline, state.deadline)
        return apply(release, state.stage, heardAt, state.reportedEra)
    }

    /** Returns the release that [state] describes; null if it is older than the newest one. */
    private fun matching(state: ReleaseState, heardAt: MonotonicTime?): Release? {
        val orders = versionsOf(state.service).orders
        val known = releases[state.service]
        if (known != null) {
            val isSame = known.targetVersion == state.targetVersion
            if (isSame && known.isSame(state.orderId)) return known
            val isOld = !isSame && orders[state.orderId.offset] == state.targetVersion
            if (isOld || state.orderId < known.id) return null
        }
        orders[state.orderId.offset] = state.targetVersion
        val wasServing = versionsOf(state.service).served.remove(state.targetVersion)
        return Release(state.service, state.targetVersion, state.orderId, heardAt ?: MonotonicTime.ZERO, state.deadline).also {
            releases[state.service] = it
            it.wasServing = wasServing
            versionsOf(state.service).awaiting.remove(state.targetVersion)
        }
    }

    /** Records [state], which the topic of releases showed at [now]. A stage that was known before may be that of a lost holder. */
    public fun recordStored(state: ReleaseState, now: MonotonicTime): Boolean {
        val known = releases[state.service]?.takeIf { it.targetVersion == state.targetVersion }
        val isNews = known?.stage?.let { state.stage.rank > it.rank } ?: true
        return recordState(state, now.takeIf { isNews })
    }

    /** Records that [release] is in [stage], which the holder confirmed at [heardAt]; returns whether that is news. */
    internal fun apply(release: Release, stage: ReleaseStage, heardAt: MonotonicTime?, reportedEra: Long?): Boolean {
        val before = release.stage
        heardAt?.let { heard -> release.heardAt = release.heardAt?.let { maxOf(it, heard) } ?: heard }
        if (before == stage) {
            if (reportedEra != null) release.reportedEra = maxOf(release.reportedEra ?: reportedEra, reportedEra)
            return false
        }
        if (before != null && (before.isFinal || before.rank > stage.rank)) return false
        release.stage = stage
        release.reportedEra = reportedEra
        val known = versionsOf(release.service)
        if (stage.isFinal) known.refused.clear()
        if (stage == ReleaseStage.Completed) known.served += release.targetVersion
        if (stage == ReleaseStage.RolledBack) {
            known.rejected += release.targetVersion
            known.served -= release.targetVersion
        }
        return true
    }

    /** Records that the registry showed an entry with [version] in [pool] at [now]. */
    public fun recordEntry(pool: PoolName, version: String, now: MonotonicTime) {
        val known = versionsOf(pool)
        if (version.isEmpty() || releases[pool]?.targetVersion == version) return
        if (version in known.served || version in known.rejected || version in known.refused) return
        known.awaiting.putIfAbsent(version, now)
        settle(pool, known)
    }

    /** Records that the operators' topic was read completely since [startedAt]; its orders have been passed to [recordOrder]. */
    public fun recordOperatorsRead(startedAt: MonotonicTime) {
        operatorsReadFrom = operatorsReadFrom?.let { maxOf(it, startedAt) } ?: startedAt
        versions.forEach { (pool, known) -> settle(pool, known) }
    }

    /** Decides on the versions that were seen before the operators' topic was read; none serves that appears during a release. */
    private fun settle(pool: PoolName, known: Versions) {
        val readFrom = operatorsReadFrom ?: return
        val ready = known.awaiting.filterValues { it <= readFrom }.keys.toSet()
        known.awaiting -= ready
        if (releases[pool]?.isActive == true) known.refused += ready else known.served += ready - known.rejected
    }

    /**
     * Returns whether requests to [pool] may run on [version], apart from the budget of a release. [others] are the versions of its other
     * targets.
     */
    public fun allows(pool: PoolName, version: String, now: MonotonicTime, others: () -> Set<String>): Boolean {
        val known = versions[pool]
        val release = releases[pool]
        if (known != null && version in known.rejected) return false
        val isKnown = release?.targetVersion == version || known?.served?.contains(version) == true
        val isHeld = release != null || holdsUnknownVersions
        if (isKnown || version.isEmpty() || !isHeld) return true
        recordEntry(pool, version, now)
        val current = versionsOf(pool)
        if (version in current.served) return true
        if (version in current.awaiting) return false
        val alternatives = others() - current.rejected
        // An instance that has started during a release knows the version that served before by its being the only other one.
        return alternatives.isEmpty() || (current.served.isEmpty() && alternatives.all { it == release?.targetVersion })
    }

    /** Returns whether [version] was not rolled back in [pool]. */
    internal fun mayServe(pool: PoolName, version: String): Boolean = versions[pool]?.rejected?.contains(version) != true

    private fun versionsOf(pool: PoolName) = versions.getOrPut(pool) { Versions() }
}
