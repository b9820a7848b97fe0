/*
 * The targets of a deployment with their zones, and the keys of its callers. All of them are derived
 * from the deployment plan.
 */
package org.cactuspulley.standins.deployment

import org.cactuspulley.core.configuration.Route
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName

/**
 * A target of a deployment before it has an address.
 *
 * @property checksFencing whether the target refuses orders with an outdated fencing number.
 */
public data class PlannedTarget(
    val id: TargetId,
    val kind: TargetKind,
    val pool: PoolName,
    val zone: ZoneName,
    val checksFencing: Boolean = true,
)

/** The engine targets. All of them check fencing numbers except the last one. */
public val DeploymentPlan.engineTargets: List<PlannedTarget>
    get() = List(engines) { index ->
        val id = TargetId("${enginePool.text}-${index + 1}")
        PlannedTarget(id, TargetKind.ENGINE, enginePool, zoneOf(index), checksFencing = index < engines - 1)
    }

/** The targets of the plain service, which serves calls instead of completions. */
public val DeploymentPlan.serviceTargets: List<PlannedTarget>
    get() = List(services) { index ->
        PlannedTarget(TargetId("${servicePool.text}-${index + 1}"), TargetKind.SERVICE, servicePool, zoneOf(index))
    }

/** The cache store target, in the first zone. */
public val DeploymentPlan.cacheStoreTarget: PlannedTarget
    get() = PlannedTarget(TargetId(cacheStore), TargetKind.CACHE_STORE, enginePool, zoneOf(0))

/** The route to the plain service. */
public val DeploymentPlan.serviceRoute: Route
    get() = Route(RouteName(servicePool.text), servicePath, servicePool)

/** The plain key that callers of [workspace] send. */
public fun DeploymentPlan.keyOf(workspace: WorkspaceId): String = "key-$name-${workspace.text}-7f3a9c51"

/** The second plain key of [workspace]; a trace may withdraw it during a run. */
public fun DeploymentPlan.oldKeyOf(workspace: WorkspaceId): String = "key-$name-${workspace.text}-old-2be84d06"
