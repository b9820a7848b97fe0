package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.CachePlanner
import org.cactuspulley.core.forwarding.DesiredWeightsTracker
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.FleetView
import org.cactuspulley.core.forwarding.ForwardingConfiguration
import org.cactuspulley.core.forwarding.ReplicatedTokenBucket
import org.cactuspulley.core.forwarding.RequestAuthorizer
import org.cactuspulley.core.forwarding.TargetDirectory
import org.cactuspulley.core.forwarding.TargetSelector
import org.cactuspulley.core.forwarding.TokenBucketLimit
import org.cactuspulley.core.forwarding.WorkspaceDescription
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.quarantine.CrashTracker
import org.cactuspulley.core.requests.RetryBudget
import org.cactuspulley.runtime.settings.FleetBounds

/** What one forwarding instance believes; confined to its event loop. */
internal class ForwardingState(self: FleetMember, private val bounds: FleetBounds, private val startedAt: MonotonicTime) {
    val gate = RequestAuthorizer()
    val directory = TargetDirectory()
    val choice = TargetSelector(directory, self.zone)
    val fleet = FleetView(self)
    val cache = CachePlanner()
    val crashes = CrashTracker()
    val weights = DesiredWeightsTracker()
    private val allowances = HashMap<WorkspaceId, ReplicatedTokenBucket>()
    private val budgets = HashMap<PoolName, RetryBudget>()

    /** The allowances in use, by workspace. */
    val allAllowances: Map<WorkspaceId, ReplicatedTokenBucket> get() = allowances

    /** The allowance of [workspace]; null if it has no limit. */
    fun allowance(workspace: WorkspaceDescription): ReplicatedTokenBucket? {
        if (workspace.rate <= 0.0) return null
        return allowances.getOrPut(workspace.name) { ReplicatedTokenBucket(limit(workspace), startedAt) }
    }

    /** The allowance that peers report on; null if the workspace is not known or has no limit. */
    fun allowance(workspace: WorkspaceId): ReplicatedTokenBucket? = gate.configuration?.workspaces?.get(workspace)?.let(::allowance)

    /** This instance's retry budget for [pool]. */
    fun budget(pool: PoolName): RetryBudget =
        budgets.getOrPut(pool) { RetryBudget(bounds.retryRatio * BUDGET_MARGIN, bounds.retrySlack * BUDGET_MARGIN / SMALL_FLEET) }

    /** Divides the retry slack over the instances that live. */
    fun divideBudgets(now: MonotonicTime) {
        val instances = (fleet.live(now).size + 1).coerceAtLeast(SMALL_FLEET)
        budgets.values.forEach { it.resize(maxOf(1.0, bounds.retrySlack * BUDGET_MARGIN / instances)) }
    }

    /** Puts [configuration] in force unless it is older; whether it did. */
    fun configure(configuration: ForwardingConfiguration, now: MonotonicTime): Boolean {
        if (!gate.replace(configuration)) return false
        for ((name, allowance) in allowances) {
            configuration.workspaces[name]?.let { allowance.changeLimit(limit(it), now) }
        }
        allowances.keys.removeIf { name -> (configuration.workspaces[name]?.rate ?: 0.0) <= 0.0 }
        return true
    }

    /**
     * Within any window the rate, one burst and the overshoot may be used. A bucket keeps that if its refill
     * over a window and its depth together are no more; the slack is left for what instances have not heard of.
     */
    private fun limit(workspace: WorkspaceDescription): TokenBucketLimit {
        val perWindow = workspace.rate * bounds.rateWindowSeconds + workspace.burst
        return TokenBucketLimit(REFILL_SHARE * perWindow / bounds.rateWindowSeconds, (1 + bounds.rateOvershoot - REFILL_SHARE) * perWindow)
    }

    private companion object {
        /** The part of the fleet's retry budget that is used; the rest covers windows that straddle a change of traffic. */
        const val BUDGET_MARGIN = 0.8

        /** The part of a window's units that the refill gives; what is left is the depth, some large prompts at once. */
        const val REFILL_SHARE = 0.9

        /** Instances of the largest first deployment; shares for fewer would exceed the whole when others join. */
        const val SMALL_FLEET = 8
    }
}
