/*
 * Records by which operators change the configuration. A change states the version that its author
 * expects: the offset of the record that set the value, or null if the value must not exist yet. The
 * fold in org.cactuspulley.core.configuration decides which of two concurrent changes is accepted.
 */
package org.cactuspulley.core.record

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.configuration.KeyGrant
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.Route
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId

/** A change of the configuration by an operator. */
@Serializable
public sealed interface OperatorRecord : LogRecord

/** Creates a profile, or replaces the one at [expectedVersion]. */
@Serializable
@SerialName("put_profile")
public data class PutProfile(val profile: Profile, val expectedVersion: LogOffset? = null) : OperatorRecord

/** Removes a profile. No workspace may list it. */
@Serializable
@SerialName("remove_profile")
public data class RemoveProfile(val name: ProfileName, val expectedVersion: LogOffset) : OperatorRecord

/** Creates a workspace, or replaces the one at [expectedVersion]. */
@Serializable
@SerialName("put_workspace")
public data class PutWorkspace(val workspace: Workspace, val expectedVersion: LogOffset? = null) : OperatorRecord

/** Removes a workspace. Its keys become invalid. */
@Serializable
@SerialName("remove_workspace")
public data class RemoveWorkspace(val id: WorkspaceId, val expectedVersion: LogOffset) : OperatorRecord

/** Grants a key to a workspace. */
@Serializable
@SerialName("give_key")
public data class GiveKey(val key: KeyGrant) : OperatorRecord

/** Withdraws a key permanently. An unknown key can be withdrawn too; it can then no longer be granted. */
@Serializable
@SerialName("withdraw_key")
public data class WithdrawKey(val digest: KeyDigest) : OperatorRecord

/** Creates a route, or replaces the one at [expectedVersion]. */
@Serializable
@SerialName("put_route")
public data class PutRoute(val route: Route, val expectedVersion: LogOffset? = null) : OperatorRecord

/** Removes a route. */
@Serializable
@SerialName("remove_route")
public data class RemoveRoute(val name: RouteName, val expectedVersion: LogOffset) : OperatorRecord

/** Creates a model, or replaces the one at [expectedVersion]. */
@Serializable
@SerialName("put_model")
public data class PutModel(val model: Model, val expectedVersion: LogOffset? = null) : OperatorRecord

/** Removes a model. */
@Serializable
@SerialName("remove_model")
public data class RemoveModel(val name: ModelName, val expectedVersion: LogOffset) : OperatorRecord

/** Creates a target, or replaces the one at [expectedVersion]. */
@Serializable
@SerialName("put_target")
public data class PutTarget(val target: Target, val expectedVersion: LogOffset? = null) : OperatorRecord

/** Removes a target. */
@Serializable
@SerialName("remove_target")
public data class RemoveTarget(val id: TargetId, val expectedVersion: LogOffset) : OperatorRecord

/** Replaces the fleet plan at [expectedVersion]. */
@Serializable
@SerialName("put_fleet_plan")
public data class PutFleetPlan(val plan: FleetPlan, val expectedVersion: LogOffset) : OperatorRecord

/** Contains the whole configuration, so that the log can drop the records before the offset `next` of the configuration. */
@Serializable
@SerialName("configuration_snapshot")
public data class ConfigurationSnapshot(val configuration: Configuration) : OperatorRecord
