/*
 * The configuration of instances that forward requests unchanged, as one versioned document. Adapters decode external
 * formats into these types. An instance replaces the configuration as a whole, and never with an older version.
 */
package org.cactuspulley.core.forwarding

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.WorkspaceId
import kotlin.time.Duration

/**
 * One version of the whole configuration.
 *
 * @property version the version number; it grows with each change.
 * @property callerLimits the size and time limits for requests of callers.
 */
public data class ForwardingConfiguration(
    val version: Long,
    val routes: List<ForwardingRoute>,
    val pools: Map<PoolName, PoolDescription>,
    val workspaces: Map<WorkspaceId, WorkspaceDescription>,
    val callerLimits: CallerLimits,
) {
    private val routesByHost: Map<String, List<ForwardingRoute>> =
        routes.groupBy { it.host }.mapValues { (_, sameHost) -> sameHost.sortedByDescending { it.pathPrefix.length } }
    private val workspacesByKey: Map<String, WorkspaceDescription> =
        workspaces.values.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()

    /**
     * Distinguishes the cached pieces that workspaces share under this configuration from those that any of its isolated workspaces may
     * have made while it shared them. It depends only on the names of the isolated workspaces, so that it follows from any configuration
     * alone and other changes leave the pieces in use; empty if no workspace is isolated.
     */
    internal val isolationMark: String = isolationMark(workspaces.values.filter { it.isIsolated }.map { it.name.text })

    /** Whether callers need an API key on routes that are not anonymous. */
    public val requiresKeys: Boolean get() = workspaces.isNotEmpty()

    /** Returns the route at [host] with the longest prefix of [path] (without its query), or null if none matches. */
    public fun route(host: String, path: String): ForwardingRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the workspace that [key] belongs to, or null if the key is unknown. */
    public fun workspaceOf(key: String): WorkspaceDescription? = workspacesByKey[key]

    private companion object {
        const val HEXADECIMAL = 16

        fun isolationMark(isolated: List<String>): String {
            if (isolated.isEmpty()) return ""
            val stream = Hashing.xxh3_64().hashStream()
            isolated.sorted().forEach(stream::putString)
            return "-${stream.asLong.toULong().toString(HEXADECIMAL)}"
        }
    }
}

/** How a request may be repeated after a send attempt whose outcome is unknown. */
public enum class Repeatability {
    /** The request runs at most once; if the caller sends it again, that is another request. */
    AT_MOST_ONCE,

    /** The request may run again from its beginning. */
    FROM_START,

    /** The request is a stream, which another target may continue after the last event that the caller has received. */
    RESUMABLE,
}

/**
 * Routes requests to pools.
 *
 * @property host the host name that requests must name.
 * @property pathPrefix the prefix that the path of a request must have.
 * @property isStream whether responses are event streams.
 * @property isAnonymous whether callers need no API key.
 * @property timeout the longest time that a request may take.
 * @property latencyObjective the time within which a response, or the first event of a stream, is on time. It is only reported, unless
 *    waiting requests are ordered by due time.
 * @property maximumAttempts the largest number of send attempts in which the request may have run; attempts in which it
 *    certainly did not run do not count.
 * @property priority the priority of the route's requests; 0 is the most urgent.
 * @property split the pools that share the route's requests.
 */
public data class ForwardingRoute(
    val name: RouteName,
    val host: String,
    val pathPrefix: String,
    val repeatability: Repeatability,
    val isStream: Boolean,
    val isAnonymous: Boolean,
    val timeout: Duration,
    val latencyObjective: Duration,
    val maximumAttempts: Int,
    val priority: Int,
    val split: List<WeightedPool>,
)

/** The share of a route's requests that goes to [pool], in proportion to [weight]. */
public data class WeightedPool(val pool: PoolName, val weight: Double)

/**
 * The properties that all targets of a pool have in common.
 *
 * @property models the models that the targets serve.
 * @property cacheStore the host and port of the cache store if the pool is a store of cached prompt pieces; null for
 *    a pool of targets.
 * @property tokenCapacity the tokens that fit into the memory of each target; null if it does not limit them.
 */
public data class PoolDescription(val name: PoolName, val models: Set<ModelName>, val cacheStore: String?, val tokenCapacity: Long? = null)

/**
 * A workspace and its limits.
 *
 * @property keys the API keys of the workspace.
 * @property priority the priority of the workspace's requests, 0 being the most urgent; null to use the route's
 *    priority.
 * @property rate the units per second that all instances together may admit; 0 for no limit.
 * @property burst the units that may be admitted at once beyond [rate].
 * @property countsTokens whether a unit is a token; otherwise a unit is a request.
 * @property defaultTokenCost the cost of a request without token counts if tokens are counted.
 * @property isIsolated whether cached pieces are never shared with other workspaces.
 */
public data class WorkspaceDescription(
    val name: WorkspaceId,
    val keys: Set<String>,
    val priority: Int?,
    val rate: Double,
    val burst: Double,
    val countsTokens: Boolean,
    val defaultTokenCost: Int,
    val isIsolated: Boolean,
) {
    /**
     * Returns the cost in units of a request with [promptTokens] and at most [outputTokens]; each is null if the
     * request does not declare it.
     */
    public fun cost(promptTokens: Int?, outputTokens: Int?): Double = when {
        !countsTokens -> 1.0
        promptTokens == null -> defaultTokenCost.toDouble()
        else -> promptTokens.toDouble() + (outputTokens ?: 0)
    }
}

/**
 * The limits for requests of callers.
 *
 * @property headerBytes the largest size of the headers in bytes.
 * @property bodyBytes the largest size of the body in bytes.
 * @property headerTimeout the longest time without new data while a request arrives.
 * @property idleTimeout the longest time that a connection may stay open between requests.
 */
public data class CallerLimits(val headerBytes: Int, val bodyBytes: Int, val headerTimeout: Duration, val idleTimeout: Duration)
