package org.cactuspulley.core.rollout

import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.forwarding.TargetDirectory
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.rendezvousRank
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Decides on each instance which software versions a request may use; confined to one thread.
 *
 * During a release the instance counts its requests and keeps those to the new version within its budget, so that the sum over all
 * instances holds the exposure bound without messages.
 */
public class VersionSelector(
    private val releases: ReleaseDirectory,
    private val targets: TargetDirectory,
    private val settings: ReleaseSettings = ReleaseSettings(),
    private val random: Random = Random.Default,
) {
    /** The requests since the order; [credit] is the number of canary requests that are due. */
    private class Counts(val release: Release, var credit: Double) {
        var total = 0L
        var toNew = 0L
        val toNewByRoute = HashMap<RouteName, Long>()
    }

    private val countsByPool = HashMap<PoolName, Counts>()

    /** Returns whether a request with [grant] may be sent to [target] at [now]. */
    public fun allows(target: Target, grant: ForwardingGrant, now: MonotonicTime): Boolean {
        val version = target.entry.softwareVersion
        if (!releases.allows(grant.pool, version, now) { otherVersions(grant.pool, version) }) return false
        val release = releases[grant.pool] ?: return true
        if (version != release.targetVersion || !release.isActive) return true
        if (release.wasServing && otherVersions(grant.pool, version).none { releases.mayServe(grant.pool, it) }) return true
        return hasBudget(release, grant.route.name, now) && (release.stage != ReleaseStage.Canary || target in canaries(release))
    }

    /**
     * Returns those of [candidates], all of which [allows] has admitted, that a request with [grant] should use. [isRepeat] tells that a
     * target has failed it: it then goes to the old version if there is a choice.
     */
    public fun preferred(candidates: List<Target>, grant: ForwardingGrant, isRepeat: Boolean): List<Target> {
        val release = releases[grant.pool] ?: return candidates
        if (release.stage == ReleaseStage.RolledBack) return candidates
        val (new, old) = candidates.partition { it.entry.softwareVersion == release.targetVersion }
        val isOldFirst = isRepeat && release.isActive
        return if (isOldFirst) old.ifEmpty { new } else new.ifEmpty { old }
    }

    /**
     * Records that a request of [route] is sent to a target of [pool] with [version]. It must be called in the same turn of the event loop
     * as [allows], for every send, also repeats and resumed streams.
     */
    public fun recordSent(pool: PoolName, route: RouteName, version: String) {
        val release = releases[pool]?.takeIf { it.isActive } ?: return
        val counts = countsOf(release)
        counts.total++
        val isNew = version == release.targetVersion
        if (isNew) counts.toNew++
        counts.credit = minOf(counts.credit + settings.canaryRatio, CREDIT_LIMIT) - if (isNew) 1.0 else 0.0
        counts.toNewByRoute.merge(route, if (isNew) 1L else 0L, Long::plus)
    }

    /** The share of this instance's requests to [service] since the order that went to the new version; for metrics. */
    public fun share(service: PoolName): Double =
        countsByPool[service]?.takeIf { it.total > 0 && it.release === releases[service] }?.let { it.toNew.toDouble() / it.total } ?: 0.0

    private fun countsOf(release: Release): Counts =
        countsByPool[release.service]?.takeIf { it.release === release }
            // Each instance begins at a random part of the interval between two canary requests, so that not all begin late.
            ?: Counts(release, random.nextDouble()).also { countsByPool[release.service] = it }

    private fun hasBudget(release: Release, route: RouteName, now: MonotonicTime): Boolean {
        val deadline = release.deadline ?: return false
        if (now >= deadline || !release.isPermitted(now)) return false
        val counts = countsOf(release)
        val next = counts.total + 1.0
        val isShifting = release.stage == ReleaseStage.Shifting
        if (counts.toNew + 1 > settings.budgetRatio * if (isShifting) projected(next, release, deadline, now) else next) return false
        if (isShifting) return true
        val routes = (counts.toNewByRoute.keys + route).size
        val isBehind = (counts.toNewByRoute[route] ?: 0) * routes <= counts.toNew
        return counts.credit + settings.canaryRatio >= if (isBehind) 1.0 else ROUTE_CREDIT
    }

    /** Returns the [count] of requests that this instance will have sent by [deadline] if the load stays as it is. */
    private fun projected(count: Double, release: Release, deadline: MonotonicTime, now: MonotonicTime): Double {
        val elapsed = maxOf(now - release.seenAt, MINIMUM_ELAPSED)
        return count * maxOf((deadline - release.seenAt) / elapsed, 1.0)
    }

    /**
     * Returns the targets that get the canary requests, the same ones on all instances: as few as carry at this share the load that each
     * old target carries, so that a fault under load shows.
     */
    private fun canaries(release: Release): List<Target> {
        val members = targets.members(release.service).filterNot { it.isLeaving }
        val (new, old) = members.partition { it.entry.softwareVersion == release.targetVersion }
        val size = (settings.canaryRatio * old.size).toInt().coerceAtLeast(MINIMUM_CANARIES)
        return rendezvousRank(CANARY_SUBJECT, new) { it.id.text }.take(size)
    }

    private fun otherVersions(pool: PoolName, version: String): Set<String> =
        targets.members(pool).filterNot { it.isLeaving }.map { it.entry.softwareVersion }.toSet() - version

    private companion object {
        const val CANARY_SUBJECT = "release-canary"

        /** With two targets, a fault of one machine does not look like one of the version. */
        const val MINIMUM_CANARIES = 2

        /** The credit that a route needs which is ahead of the others: one request is left for a route that is behind. */
        const val ROUTE_CREDIT = 2.0

        /** The credit that an instance may save while there is no new target, so that the first ones are not flooded. */
        const val CREDIT_LIMIT = 3.0

        /** Fewer requests than those of a second say too little about the load. */
        val MINIMUM_ELAPSED = 1.seconds
    }
}
