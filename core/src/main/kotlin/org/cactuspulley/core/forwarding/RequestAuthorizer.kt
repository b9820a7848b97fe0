package org.cactuspulley.core.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.WorkspaceId
import kotlin.random.Random

/**
 * Why a request is not forwarded or gets no response. Each reason except [NO_ANSWER] and [TARGET_FAILED] guarantees
 * that the request has not run and never will.
 */
public enum class ForwardingRefusal {
    NOT_CONFIGURED,
    NO_ROUTE,
    UNKNOWN_KEY,
    MALFORMED,
    TOO_LARGE,
    OVER_RATE,
    CRASHES_TARGETS,
    NO_TARGET,
    REPEATS_EXHAUSTED,
    DEADLINE_PASSED,
    ARRIVED_TOO_SLOWLY,
    STOPPING,

    /** The requests that this instance holds leave no memory for another one. */
    NO_MEMORY,

    /** The connections whose requests this instance serves leave no room for another one. */
    TOO_MANY_CONNECTIONS,

    /** The request was sent and may have run, but its deadline passed without a response. */
    NO_ANSWER,

    /** The request was sent and may have run, but its target failed. */
    TARGET_FAILED,
}

/**
 * What the configuration grants a request.
 *
 * @property pool the pool of the route that was selected for the request.
 * @property workspace the workspace of the caller; null on an anonymous route or if the configuration has no
 *    workspaces.
 * @property cost the units that the request consumes from the workspace's token bucket.
 * @property configurationVersion the version of the configuration that granted the request.
 */
public data class ForwardingGrant(
    val route: ForwardingRoute,
    val pool: PoolName,
    val workspace: WorkspaceDescription?,
    val cost: Double,
    val configurationVersion: Long,
) {
    /** The priority of the request: that of the workspace or, if it has none, that of the route. 0 is the most urgent. */
    public val priority: Int get() = workspace?.priority ?: route.priority

    /** The workspace whose prompts share their pieces with no other workspace; null if the pieces may be shared. */
    public val isolatedWorkspace: WorkspaceId? get() = workspace?.takeIf { it.isIsolated }?.name
}

/** Decides by the current configuration whether and to which pool a request may be forwarded. */
public class RequestAuthorizer(private val random: Random = Random.Default) {
    /** The current configuration; null until the first one arrives. */
    public var configuration: ForwardingConfiguration? = null
        private set

    /** Replaces the configuration if [candidate] has a newer version; returns whether it did. */
    public fun replace(candidate: ForwardingConfiguration): Boolean {
        val current = configuration
        if (current != null && candidate.version <= current.version) return false
        configuration = candidate
        return true
    }

    /** Returns what the configuration grants [request], or the reason to refuse it. */
    public fun authorize(request: ForwardedRequest): Result<ForwardingGrant, ForwardingRefusal> {
        val current = configuration ?: return Err(ForwardingRefusal.NOT_CONFIGURED)
        val route = current.route(request.host, request.path) ?: return Err(ForwardingRefusal.NO_ROUTE)
        val workspace = if (route.isAnonymous || !current.requiresKeys) {
            null
        } else {
            request.key?.let(current::workspaceOf) ?: return Err(ForwardingRefusal.UNKNOWN_KEY)
        }
        val pool = selectPool(route) ?: return Err(ForwardingRefusal.NO_TARGET)
        val cost = workspace?.cost(request.prompt?.promptTokens, request.prompt?.outputTokens) ?: 0.0
        return Ok(ForwardingGrant(route, pool, workspace, cost, current.version))
    }

    private fun selectPool(route: ForwardingRoute): PoolName? {
        val total = route.split.sumOf { it.weight }
        if (route.split.size == 1 || total <= 0.0) return route.split.firstOrNull()?.pool
        var remaining = random.nextDouble(total)
        for (weighted in route.split) {
            remaining -= weighted.weight
            if (remaining < 0) return weighted.pool
        }
        return route.split.last().pool
    }
}
