package org.cactuspulley.core.journal

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.WorkspaceId

/**
 * Identifies one non-idempotent request.
 *
 * @property workspace the workspace that sent the request, or null on a route that is open to all.
 * @property key the idempotency key, which is unique within the workspace.
 */
@Serializable
public data class JournalKey(val workspace: WorkspaceId?, val key: IdempotencyKey)
