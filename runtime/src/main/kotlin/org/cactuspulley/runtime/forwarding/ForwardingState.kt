package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.CachePlanner
import org.cactuspulley.core.forwarding.CapacityKnowledge
import org.cactuspulley.core.forwarding.DesiredWeightsTracker
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.FleetView
import org.cactuspulley.core.forwarding.ForwardingConfiguration
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.PromptDescription
import org.cactuspulley.core.forwarding.ReplicatedTokenBucket
import org.cactuspulley.core.forwarding.RequestAuthorizer
import org.cactuspulley.core.forwarding.ReturnSchedule
import org.cactuspulley.core.forwarding.ServiceTimesRegistry
import org.cactuspulley.core.forwarding.TargetCapacity
import org.cactuspulley.core.forwarding.TargetDirectory
import org.cactuspulley.core.forwarding.TargetRateLimits
import org.cactuspulley.core.forwarding.TargetSelector
import org.cactuspulley.core.forwarding.TargetSpeeds
import org.cactuspulley.core.forwarding.TokenBucketLimit
import org.cactuspulley.core.forwarding.WeightsLimits
import org.cactuspulley.core.forwarding.WorkspaceDescription
import org.cactuspulley.core.forwarding.ZoneBalance
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.queueing.QueueOrder
import org.cactuspulley.core.requests.RetryBudget
import org.cactuspulley.core.rollout.ReleaseDirectory
import org.cactuspulley.core.rollout.ReleaseSettings
import org.cactuspulley.core.rollout.VersionSelector
import org.cactuspulley.runtime.settings.FleetBounds
import org.cactuspulley.runtime.settings.RoutingSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The state of one forwarding instance; confined to its event loop. */
internal class ForwardingState(
    self: FleetMember,
    private val bounds: FleetBounds,
    private val startedAt: MonotonicTime,
    random: Random = Random.Default,
    val routing: RoutingSettings = RoutingSettings(),
) {
    /** The current configuration, by which requests are authorized. */
    val authorizer = RequestAuthorizer()

    /** The targets of the registry with their load and health. */
    val directory = TargetDirectory()

    /** The instances of the fleet. */
    val fleet = FleetView(self)

    /** The rate limits of the targets. */
    val rateLimits = TargetRateLimits(fleet)

    /** Decides which requests leave the zone of this instance; null if the settings do not ask for it. */
    val zoneBalance = if (routing.zoneBalancing) ZoneBalance(self.zone, random) else null

    /** What targets can still take; everything unless the settings enable it. */
    val capacity = if (routing.capacityAdmission) TargetCapacity(FleetCapacityKnowledge()) else TargetCapacity.UNLIMITED

    /** The order in which waiting requests get targets. */
    val queueOrder: QueueOrder =
        if (routing.fairQueueing) QueueOrder.FairByDueTime { flow, now -> consumption(flow, now) } else QueueOrder.ByLatestStart

    /** The most requests that may wait for each pool; without a setting, only the memory of requests limits them. */
    val queueCapacity: Int = routing.queueCapacity.takeIf { it > 0 } ?: Int.MAX_VALUE

    /** The releases of services' software versions. */
    val releases = ReleaseDirectory(holdsUnknownVersions = routing.stagedReleases)

    /** The bounds of releases. */
    val releaseSettings = ReleaseSettings(bounds.exposureRatio, bounds.exposureSlack, bounds.rollbackMillis.milliseconds)

    /** Decides which software versions a request may use. */
    val versions = VersionSelector(releases, directory, releaseSettings, random)

    /** The start latencies from which the speeds of targets are derived; null if the settings do not ask for it. */
    val targetSpeeds = if (routing.targetSpeed) TargetSpeeds() else null

    /** Whether targets are selected by when a request is expected to start there. */
    val usesExpectedStarts: Boolean get() = zoneBalance != null || targetSpeeds != null

    /** Selects a target for each attempt. */
    val selector = TargetSelector(directory, self.zone, rateLimits, random, zoneBalance, capacity, versions, targetSpeeds)

    /** The cached pieces of prompts and the cache stores that hold them. */
    val cache = CachePlanner()

    /** Returns the affinity by which to select a target for [prompt] on [weights]; see [CachePlanner.affinity]. */
    fun cacheAffinity(grant: ForwardingGrant, prompt: PromptDescription, weights: Long?, now: MonotonicTime): Long? =
        authorizer.configuration?.let { cache.affinity(it, grant, prompt, weights, now) } ?: prompt.affinity

    /** Returns how many tokens of [prompt] need no prefill on [weights]; see [CachePlanner.reusableTokens]. */
    fun reusableTokens(grant: ForwardingGrant, prompt: PromptDescription, weights: Long?, now: MonotonicTime): Int =
        authorizer.configuration?.let { cache.reusableTokens(it, grant, prompt, weights, now) } ?: 0

    /** The desired versions of the models' weights. */
    val desiredWeights = DesiredWeightsTracker()

    /** What recent requests of each route took. */
    val serviceTimes = ServiceTimesRegistry()

    /** How long requests may use older weights than the desired ones. */
    val weightsLimits = WeightsLimits(bounds.startLimitMillis.milliseconds)
    private val tokenBuckets = HashMap<WorkspaceId, ReplicatedTokenBucket>()
    private val retryBudgets = HashMap<PoolName, RetryBudget>()
    private val returnSchedules = HashMap<PoolName, ReturnSchedule>()
    private val fullReturnSchedules = HashMap<PoolName, ReturnSchedule>()

    /**
     * Returns whether a request should wait until its [deadline], because this instance has just started and is about to read its first
     * configuration. Other instances that have just started could not serve it sooner.
     */
    fun awaitsConfiguration(deadline: MonotonicTime?, now: MonotonicTime): Boolean =
        authorizer.configuration == null && now - startedAt < STARTUP_TIME && (deadline == null || now < deadline)

    /**
     * Returns whether this instance is the first, in an order determined by [subject], of those that serve callers; false until it has
     * heard of all that do.
     */
    fun isFirstInFleet(subject: String, now: MonotonicTime): Boolean =
        now - startedAt >= SETTLING_TIME && fleet.servingPosition(subject, now)?.rank == 0

    /** The token buckets that are in use, by workspace. */
    val allTokenBuckets: Map<WorkspaceId, ReplicatedTokenBucket> get() = tokenBuckets

    /** Returns the token bucket of [workspace], or null if the workspace has no rate limit. */
    fun tokenBucket(workspace: WorkspaceDescription): ReplicatedTokenBucket? {
        if (workspace.rate <= 0.0) return null
        return tokenBuckets.getOrPut(workspace.name) { ReplicatedTokenBucket(tokenBucketLimit(workspace), startedAt) }
    }

    /** Returns the token bucket of a workspace that a peer reports on, or null if the workspace is unknown or has no rate limit. */
    fun tokenBucket(
        workspace: WorkspaceId,
    ): ReplicatedTokenBucket? = authorizer.configuration?.workspaces?.get(workspace)?.let(::tokenBucket)

    /** Returns this instance's retry budget for [pool], which is created for the pool's first request. */
    fun retryBudget(pool: PoolName, now: MonotonicTime): RetryBudget =
        retryBudgets.getOrPut(pool) { RetryBudget(bounds.retryRatio * BUDGET_SHARE, initialRetries(now), ::retryBurst) }

    /**
     * The number of retries that this instance may hold for each pool: an equal part of what the fleet may. Instances that this one
     * does not hear from have theirs too, because they may still serve callers.
     */
    private fun retryBurst(): Double = if (fleet.isAnnounced) maxOf(1.0, retryShare(BUDGET_SHARE)) else 1.0

    /**
     * Returns the number of retries that this instance holds for a pool at its first request. Before a window has passed since the start,
     * the instance may have used up its part of the fleet's retries in an earlier incarnation.
     */
    private fun initialRetries(now: MonotonicTime): Double = when {
        !fleet.isAnnounced -> 0.0
        now - startedAt < bounds.retryWindowSeconds.seconds -> retryShare((1 - BUDGET_SHARE) / MAX_STARTS_PER_WINDOW)
        else -> retryBurst()
    }

    /**
     * Returns after which time a caller should return that is refused at [now] because no target of [pool] accepts its request; null if
     * rate limits are not the reason.
     */
    fun returnDelay(pool: PoolName, now: MonotonicTime): Duration? =
        selector.limitedInterval(pool, now)?.let { returnSchedules.getOrPut(pool, ::ReturnSchedule).delay(it, now) }

    /**
     * Returns after which time a caller should return whose request can't start in time because the targets of [pool] are full;
     * [expectedStart] is when a request like it could start, and [startInterval] the mean time between two starts of requests that wait
     * here, if these are known. Without the latter, an equal part of the requests that end in the whole fleet makes room for this instance.
     * Null if nothing is known.
     */
    fun fullReturnDelay(pool: PoolName, startInterval: Duration?, expectedStart: MonotonicTime?, now: MonotonicTime): Duration? {
        val interval = startInterval ?: selector.endInterval(pool, now)?.times(fleet.size) ?: return expectedStart?.minus(now)
        return fullReturnSchedules.getOrPut(pool, ::ReturnSchedule).delay(interval, now, expectedStart ?: (now + interval))
    }

    /** Returns what the workspace of [flow] consumes over the whole fleet, as a multiple of its rate; null if it has no rate. */
    private fun consumption(flow: BucketId, now: MonotonicTime): Double? {
        val workspace = authorizer.configuration?.workspaces?.get(flow.workspace)?.takeIf { flow.profile == WORKSPACE_FLOW } ?: return null
        return tokenBucket(workspace)?.let { it.fleetRate(now) / workspace.rate }
    }

    /** Returns the flow of the requests of [workspace]; requests without a workspace are one flow. */
    fun flow(workspace: WorkspaceDescription?): BucketId =
        if (workspace == null) BucketId(WorkspaceId(""), ANONYMOUS_FLOW) else BucketId(workspace.name, WORKSPACE_FLOW)

    /** Returns this instance's equal part of [share] of the fleet's retry slack. */
    private fun retryShare(share: Double): Double = bounds.retrySlack * share / fleet.size

    /** Applies [configuration] unless it is older than the current one; returns whether it was applied. */
    fun configure(configuration: ForwardingConfiguration, now: MonotonicTime): Boolean {
        if (!authorizer.replace(configuration)) return false
        serviceTimes.retain(configuration)
        zoneBalance?.retain(configuration)
        targetSpeeds?.retain(configuration)
        for ((name, bucket) in tokenBuckets) {
            configuration.workspaces[name]?.let { bucket.changeLimit(tokenBucketLimit(it), now) }
        }
        tokenBuckets.keys.removeIf { name -> (configuration.workspaces[name]?.rate ?: 0.0) <= 0.0 }
        return true
    }

    /**
     * Derives the limit of the token bucket of [workspace]. Within any window, the workspace may consume its rate, one burst and the
     * overshoot; the bucket guarantees that if its refill during a window plus its capacity do not exceed this. The slack is reserved
     * for consumption of which the instances have not informed each other yet.
     */
    private fun tokenBucketLimit(workspace: WorkspaceDescription): TokenBucketLimit {
        val perWindow = workspace.rate * bounds.rateWindowSeconds + workspace.burst
        return TokenBucketLimit(REFILL_SHARE * perWindow / bounds.rateWindowSeconds, (1 + bounds.rateOvershoot - REFILL_SHARE) * perWindow)
    }

    private inner class FleetCapacityKnowledge : CapacityKnowledge {
        override val startedAt: MonotonicTime get() = this@ForwardingState.startedAt

        override val fleetSize: Int? get() = fleet.size.takeIf { fleet.isAnnounced }

        override fun tokenCapacity(pool: PoolName): Long? = authorizer.configuration?.pools?.get(pool)?.tokenCapacity

        override fun usualTime(pool: PoolName, now: MonotonicTime): Duration? = serviceTimes.averageTotal(pool, now)
    }

    private companion object {
        val WORKSPACE_FLOW = ProfileName("workspace")
        val ANONYMOUS_FLOW = ProfileName("anonymous")

        /** The time after its start in which an instance reads the configuration, unless the store fails. */
        val STARTUP_TIME = 2_000.milliseconds

        /** The time after its start in which an instance hears of all others, in a large fleet through relays. */
        val SETTLING_TIME = 3_000.milliseconds

        /** The share of the fleet's retry budget that is used; the rest is for instances that start and for late arrivals. */
        const val BUDGET_SHARE = 0.8

        /** How often all instances may start within a window without exceeding the budget; a start takes seconds. */
        const val MAX_STARTS_PER_WINDOW = 3

        /** The share of a window's units that the refill provides; the rest is the capacity, which admits several large prompts at once. */
        const val REFILL_SHARE = 0.9
    }
}
