/*
 * The names of what a deployment consists of: its targets with their zones, and its callers' keys.
 */
package org.cactuspulley.standins.deployment

import org.cactuspulley.core.configuration.Route
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName

/** A back end of a deployment before it has an address. */
public data class PlannedTarget(
    val id: TargetId,
    val kind: TargetKind,
    val pool: PoolName,
    val zone: ZoneName,
    val checksFencing: Boolean = true,
)

/** The engines. The last one does not check fencing numbers. */
public val DeploymentPlan.engineTargets: List<PlannedTarget>
    get() = List(engines) { index ->
        val id = TargetId("${enginePool.text}-${index + 1}")
        PlannedTarget(id, TargetKind.ENGINE, enginePool, zoneOf(index), checksFencing = index < engines - 1)
    }

/** The targets of the plain service. */
public val DeploymentPlan.serviceTargets: List<PlannedTarget>
    get() = List(services) { index ->
        PlannedTarget(TargetId("${servicePool.text}-${index + 1}"), TargetKind.SERVICE, servicePool, zoneOf(index))
    }

/** The cache store. */
public val DeploymentPlan.cacheStoreTarget: PlannedTarget
    get() = PlannedTarget(TargetId(cacheStore), TargetKind.CACHE_STORE, enginePool, zoneOf(0))

/** The route to the plain service. */
public val DeploymentPlan.serviceRoute: Route
    get() = Route(RouteName(servicePool.text), servicePath, servicePool)

/** The plain key that the callers of [workspace] show. */
public fun DeploymentPlan.keyOf(workspace: WorkspaceId): String = "key-$name-${workspace.text}-7f3a9c51"

/** A second plain key of [workspace], which an operator may withdraw during a run. */
public fun DeploymentPlan.oldKeyOf(workspace: WorkspaceId): String = "key-$name-${workspace.text}-old-2be84d06"
