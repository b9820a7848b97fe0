package org.cactuspulley.core.configuration

import com.github.michaelbull.result.Result
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.requests.RequestDescription

/** Resolves the workspace, the profile and the pool of a request, and refuses requests that are not permitted. */
public interface Authorization : CorePart {
    /** Returns the grant that [request] runs under, or the reason why it is refused. */
    public fun authorize(request: RequestDescription, now: MonotonicTime): Result<Grant, AuthorizationFailure>

    /** Returns whether a queued request that was authorized with [key] may start at [now]. */
    public fun mayStart(key: KeyDigest?, now: MonotonicTime): Boolean
}

/**
 * Describes what an authorized request may do.
 *
 * @property workspace the workspace that owns the key; it is null only on a route that is open to all.
 * @property profile the profile that the request runs under; it is null only on a route that is open to all.
 * @property pool the pool of targets that serves the request.
 * @property repeatable whether the request may run more than once.
 */
public data class Grant(
    val workspace: WorkspaceId?,
    val profile: Profile?,
    val pool: PoolName,
    val repeatable: Boolean,
)

/** The reason why a request is refused before any part of it has run. */
public sealed interface AuthorizationFailure {
    public data object KeyMissing : AuthorizationFailure
    public data object KeyUnknown : AuthorizationFailure
    public data object KeyWithdrawn : AuthorizationFailure
    public data object ProfileNotPermitted : AuthorizationFailure
    public data object RouteUnknown : AuthorizationFailure
    public data object ModelUnknown : AuthorizationFailure

    /** This instance may have missed key withdrawals, so it refuses every request. */
    public data object ConfigurationStale : AuthorizationFailure
}
