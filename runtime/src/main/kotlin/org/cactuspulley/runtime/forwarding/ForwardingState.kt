package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.AllowanceLimit
import org.cactuspulley.core.forwarding.CachePlanner
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.FleetView
import org.cactuspulley.core.forwarding.ForwardingConfiguration
import org.cactuspulley.core.forwarding.NamedWeightsRegister
import org.cactuspulley.core.forwarding.RequestGate
import org.cactuspulley.core.forwarding.TargetChoice
import org.cactuspulley.core.forwarding.TargetDirectory
import org.cactuspulley.core.forwarding.TokenAllowance
import org.cactuspulley.core.forwarding.WorkspaceDescription
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.quarantine.CrashRegister
import org.cactuspulley.core.requests.RetryBudget
import org.cactuspulley.runtime.settings.FleetBounds

/** What one forwarding instance believes; confined to its event loop. */
internal class ForwardingState(self: FleetMember, private val bounds: FleetBounds, private val startedAt: MonotonicTime) {
    val gate = RequestGate()
    val directory = TargetDirectory()
    val choice = TargetChoice(directory, self.zone)
    val fleet = FleetView(self)
    val cache = CachePlanner()
    val crashes = CrashRegister()
    val weights = NamedWeightsRegister()
    private val allowances = HashMap<WorkspaceId, TokenAllowance>()
    private val budgets = HashMap<PoolName, RetryBudget>()

    /** The allowances in use, by workspace. */
    val allAllowances: Map<WorkspaceId, TokenAllowance> get() = allowances

    /** The allowance of [workspace]; null if it has no limit. */
    fun allowance(workspace: WorkspaceDescription): TokenAllowance? {
        if (workspace.rate <= 0.0) return null
        return allowances.getOrPut(workspace.name) { TokenAllowance(allowanceLimit(workspace), startedAt) }
    }

    /** The allowance that peers report on; null if the workspace is not known or has no limit. */
    fun allowance(workspace: WorkspaceId): TokenAllowance? = gate.configuration?.workspaces?.get(workspace)?.let(::allowance)

    /** This instance's retry budget for [pool]. */
    fun budget(pool: PoolName): RetryBudget =
        budgets.getOrPut(pool) { RetryBudget(bounds.retryRatio * BUDGET_SHARE, bounds.retrySlack * BUDGET_SHARE / MIN_FLEET_SIZE) }

    /** Divides the retry slack over the instances that live. */
    fun resizeRetryBudgets(now: MonotonicTime) {
        val instances = (fleet.live(now).size + 1).coerceAtLeast(MIN_FLEET_SIZE)
        budgets.values.forEach { it.resize(maxOf(1.0, bounds.retrySlack * BUDGET_SHARE / instances)) }
    }

    /** Puts [configuration] in force unless it is older; whether it did. */
    fun configure(configuration: ForwardingConfiguration, now: MonotonicTime): Boolean {
        if (!gate.replace(configuration)) return false
        for ((name, allowance) in allowances) {
            configuration.workspaces[name]?.let { allowance.reshape(allowanceLimit(it), now) }
        }
        allowances.keys.removeIf { name -> (configuration.workspaces[name]?.rate ?: 0.0) <= 0.0 }
        return true
    }

    /**
     * Within any window the rate, one burst and the overshoot may be used. A bucket keeps that if its refill
     * over a window and its depth together are no more; the slack is left for what instances have not heard of.
     */
    private fun allowanceLimit(workspace: WorkspaceDescription): AllowanceLimit {
        val perWindow = workspace.rate * bounds.rateWindowSeconds + workspace.burst
        return AllowanceLimit(REFILL_SHARE * perWindow / bounds.rateWindowSeconds, (1 + bounds.rateOvershoot - REFILL_SHARE) * perWindow)
    }

    private companion object {
        /** The part of the fleet's retry budget that is used; the rest covers windows that straddle a change of traffic. */
        const val BUDGET_SHARE = 0.8

        /** The part of a window's units that the refill gives; what is left is the depth, some large prompts at once. */
        const val REFILL_SHARE = 0.9

        /** Instances of the largest first deployment; shares for fewer would exceed the whole when others join. */
        const val MIN_FLEET_SIZE = 8
    }
}
