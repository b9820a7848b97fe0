package org.cactuspulley.core.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.cactuspulley.core.model.PoolName
import kotlin.random.Random

/** Why a request is not forwarded. Each but [NO_ANSWER] and [TARGET_FAILED] promises that it has not run and never will. */
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

    /** It was sent and may have run; its time is over. */
    NO_ANSWER,

    /** It was sent and may have run; its target failed. */
    TARGET_FAILED,
}

/** What the configuration grants a request; [workspace] is null on an anonymous route. */
public data class ForwardingGrant(
    val route: ForwardingRoute,
    val pool: PoolName,
    val workspace: WorkspaceDescription?,
    val cost: Double,
    val configurationVersion: Long,
) {
    /** The rank of the request; the workspace's goes before the route's. 0 is the most urgent. */
    public val priority: Int get() = workspace?.priority ?: route.priority
}

/** Decides by the configuration in force whether and where a request may go. */
public class RequestAuthorizer(private val random: Random = Random.Default) {
    /** The configuration in force; null until the first one is known. */
    public var configuration: ForwardingConfiguration? = null
        private set

    /** Puts [candidate] in force unless it is older than the one in force; whether it did. */
    public fun replace(candidate: ForwardingConfiguration): Boolean {
        val current = configuration
        if (current != null && candidate.version <= current.version) return false
        configuration = candidate
        return true
    }

    /** What the configuration grants [request], or why nothing. */
    public fun authorize(request: ForwardedRequest): Result<ForwardingGrant, ForwardingRefusal> {
        val current = configuration ?: return Err(ForwardingRefusal.NOT_CONFIGURED)
        val route = current.route(request.host, request.path) ?: return Err(ForwardingRefusal.NO_ROUTE)
        val workspace = if (route.isAnonymous || !current.requiresKeys) {
            null
        } else {
            request.key?.let(current::workspaceOf) ?: return Err(ForwardingRefusal.UNKNOWN_KEY)
        }
        val pool = choosePool(route) ?: return Err(ForwardingRefusal.NO_TARGET)
        val cost = workspace?.cost(request.prompt?.promptTokens, request.prompt?.outputTokens) ?: 0.0
        return Ok(ForwardingGrant(route, pool, workspace, cost, current.version))
    }

    private fun choosePool(route: ForwardingRoute): PoolName? {
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
