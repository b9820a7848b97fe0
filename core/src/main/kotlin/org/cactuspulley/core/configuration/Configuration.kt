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
 * A value and its version, which is the offset of the record that set it. A change names the version
 * that it is based on and is rejected if the value has changed since (optimistic concurrency control).
 */
@Serializable
public data class Versioned<T>(val value: T, val version: LogOffset)

/**
 * The operators' configuration at one offset of the log. It is a pure fold of all records before [next].
 *
 * @property next the offset of the first record that this state does not include.
 * @property withdrawnKeys the digests of all keys that were ever withdrawn; the set only grows.
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

/** The version of a value that no record has set yet. It is lower than every offset in the log. */
public val UNSET_VERSION: LogOffset = LogOffset(-1)
