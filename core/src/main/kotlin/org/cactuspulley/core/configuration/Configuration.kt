package org.cactuspulley.core.configuration

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId

/**
 * A value together with its version: the offset of the record that set it. An operator who changes
 * the value names the version that he saw, and the change is refused when another one came first.
 */
@Serializable
public data class Versioned<T>(val value: T, val version: LogOffset)

/**
 * The operators' configuration at one offset of the log: a pure fold of all records before [next].
 *
 * @property next the offset of the first record that is not part of this state.
 * @property withdrawnKeys every key that was ever withdrawn; the set only grows.
 */
@Serializable
public data class Configuration(
    val next: LogOffset = LogOffset.FIRST,
    val profiles: Map<ProfileName, Versioned<Profile>> = emptyMap(),
    val workspaces: Map<WorkspaceId, Versioned<Workspace>> = emptyMap(),
    val keys: Map<KeyDigest, KeyGrant> = emptyMap(),
    val withdrawnKeys: Set<KeyDigest> = emptySet(),
    val routes: Map<RouteName, Versioned<Route>> = emptyMap(),
    val models: Map<ModelName, Versioned<Model>> = emptyMap(),
    val targets: Map<TargetId, Versioned<Target>> = emptyMap(),
    val plan: Versioned<FleetPlan> = Versioned(FleetPlan(), UNSET_VERSION),
)

/** The version of a value that no record has set yet; lower than every offset. */
public val UNSET_VERSION: LogOffset = LogOffset(-1)
