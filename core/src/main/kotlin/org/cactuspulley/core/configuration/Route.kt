package org.cactuspulley.core.configuration

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.ZoneName

/**
 * Routes requests to a pool of plain services by a prefix of their path.
 *
 * @property pathPrefix the prefix, which matches only whole path segments.
 * @property pool the pool of targets that serves the requests.
 * @property openToAll whether the route serves requests without a key.
 */
@Serializable
public data class Route(val name: RouteName, val pathPrefix: String, val pool: PoolName, val openToAll: Boolean = false)

/**
 * A model that requests can name.
 *
 * @property pool the pool of engines that serves the model.
 * @property weights the version of the weights that is in force.
 * @property adapters the adapters that requests may name with this model.
 */
@Serializable
public data class Model(
    val name: ModelName,
    val pool: PoolName,
    val weights: WeightsVersion,
    val adapters: List<AdapterName> = emptyList(),
)

/** The kind of server that a target is. */
@Serializable
public enum class TargetKind { ENGINE, CACHE_STORE, SERVICE }

/**
 * A server that the router sends requests to.
 *
 * @property pool the pool that the target belongs to.
 * @property host the IP address of the target.
 * @property port the TCP port of the target.
 * @property zone the zone that the target runs in.
 * @property checksFencing whether the target refuses orders with an outdated fencing number.
 * @property leaving whether the target is leaving the deployment and must get no new work.
 */
@Serializable
public data class Target(
    val id: TargetId,
    val kind: TargetKind,
    val pool: PoolName,
    val host: String,
    val port: Int,
    val zone: ZoneName,
    val checksFencing: Boolean = true,
    val leaving: Boolean = false,
)

/**
 * Settings that apply to all instances.
 *
 * @property slotCount the number of rate-limit slots that the buckets of workspaces are divided into.
 * @property homesPerWorkspace the number of slots that share the bucket of one workspace.
 * @property intentPartitions the number of log streams that intents are partitioned over.
 * @property concurrentWeightLoads the maximum number of concurrent weight loads across all targets.
 */
@Serializable
public data class FleetPlan(
    val slotCount: Int = 8,
    val homesPerWorkspace: Int = 2,
    val intentPartitions: Int = 8,
    val concurrentWeightLoads: Int = 2,
)
