package org.cactuspulley.core.configuration

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WorkspaceId

/**
 * A workspace and the profiles that its requests may name.
 *
 * @property profiles the permitted profiles; a request that names no profile runs under the first one.
 */
@Serializable
public data class Workspace(val id: WorkspaceId, val profiles: List<ProfileName>)

/**
 * A key that belongs to a workspace.
 *
 * @property digest the digest of the key; the key itself is never stored.
 * @property workspace the workspace that the key belongs to.
 * @property label the operator's name for the key.
 */
@Serializable
public data class KeyGrant(val digest: KeyDigest, val workspace: WorkspaceId, val label: String)
