/*
 * The configuration of instances that forward requests unchanged, as one document with a version.
 * Whoever reads it from outside decodes it into these types; the instance replaces it as a whole
 * and never by an older version.
 */
package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.WorkspaceId
import kotlin.time.Duration

/** One version of the whole configuration. */
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

    /** Whether callers need a key on routes that are not anonymous. */
    public val requiresKeys: Boolean get() = workspaces.isNotEmpty()

    /** The route with the longest prefix of [path] (without its query) at [host], or null. */
    public fun route(host: String, path: String): ForwardingRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The workspace that holds [key], or null. */
    public fun workspaceOf(key: String): WorkspaceDescription? = workspacesByKey[key]
}

/** What may be repeated after a send whose fate is unknown. */
public enum class Repeatability {
    /** Runs at most once for each attempt of a caller. */
    AT_MOST_ONCE,

    /** May run again from its beginning. */
    FROM_START,

    /** A stream that another target may continue after the last event that the caller has. */
    RESUMABLE,
}

/**
 * Leads requests to pools.
 *
 * @property latencyObjective the time within which an answer, or a stream's first event, is on time.
 * @property timeout the longest time that a request may be kept waiting for its end.
 * @property maximumSends the largest number of targets on which one caller attempt may run.
 * @property priority the rank of the route's requests; 0 is the most urgent.
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
    val maximumSends: Int,
    val priority: Int,
    val split: List<WeightedPool>,
)

/** One pool's part of a route's requests. */
public data class WeightedPool(val pool: PoolName, val weight: Double)

/**
 * What all targets of a pool have in common.
 *
 * @property cacheStore host and port of the store of cached prompt pieces that the pool is, instead of targets; or null.
 */
public data class PoolDescription(val name: PoolName, val models: Set<ModelName>, val cacheStore: String?)

/**
 * A customer.
 *
 * @property rate units a second that all instances together may admit; 0 for no limit.
 * @property burst units that may be admitted at once beyond [rate].
 * @property countsTokens whether a unit is a token; otherwise a request.
 * @property defaultTokenCost what a request without token counts costs where tokens are counted.
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
    /** The units that a request with [promptTokens] and at most [outputTokens] costs; null where it declares none. */
    public fun cost(promptTokens: Int?, outputTokens: Int?): Double = when {
        !countsTokens -> 1.0
        promptTokens == null -> defaultTokenCost.toDouble()
        else -> promptTokens.toDouble() + (outputTokens ?: 0)
    }
}

/** What callers may send and how long they may take. */
public data class CallerLimits(val headerBytes: Int, val bodyBytes: Int, val headerTimeout: Duration, val idleTimeout: Duration)
