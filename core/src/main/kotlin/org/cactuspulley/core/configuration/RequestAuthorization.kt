/*
 * The rules by which a configuration authorizes a request. They are pure functions of the configuration;
 * ConfigurationPart checks separately whether the configuration is fresh enough.
 */
package org.cactuspulley.core.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.requests.RequestDescription

private val SAFE_METHODS = setOf("GET", "HEAD")
private val AMBIGUOUS_PATH = Regex("""(^|/)\.{1,2}(/|$)|//|\\|%2[eEfF]|%5[cC]|%25""")

/** Returns the grant that [request] runs under in this configuration, or the reason why it is refused. */
internal fun Configuration.grantFor(request: RequestDescription): Result<Grant, AuthorizationFailure> {
    val path = pathOf(request)
    val route = routeFor(path)
    if (request.model == null && route?.openToAll == true) {
        return Ok(Grant(workspace = null, profile = null, pool = route.pool, repeatable = request.method in SAFE_METHODS))
    }
    return workspaceOf(request.key)
        .andThen { workspace -> profileOf(workspace, request.profile).map { workspace to it } }
        .andThen { (workspace, profile) ->
            poolFor(request, route).map { Grant(workspace.id, profile, it, isRepeatable(request, path, profile)) }
        }
}

/** Returns whether a queued request that was authorized with [key] may still start. */
internal fun Configuration.permitsStart(key: KeyDigest?): Boolean = key == null || workspaceOf(key).isOk

/**
 * Returns the route whose prefix is the longest that matches [path] at a segment boundary. Returns null if
 * no route matches, or if the path is ambiguous. A target could read a path with dot segments, empty segments,
 * backslashes, or encoded dots, separators or percent signs as another path than the router does.
 */
internal fun Configuration.routeFor(path: String): Route? {
    if (AMBIGUOUS_PATH.containsMatchIn(path)) return null
    return routes.values.map { it.value }
        .filter { isPrefix(it.pathPrefix, path) }
        .maxByOrNull { it.pathPrefix.length }
}

private fun isPrefix(prefix: String, path: String): Boolean {
    if (!path.startsWith(prefix)) return false
    return prefix.endsWith("/") || path.length == prefix.length || path[prefix.length] == '/'
}

private fun pathOf(request: RequestDescription): String = request.path.substringBefore('?').substringBefore('#')

private fun Configuration.workspaceOf(key: KeyDigest?): Result<Workspace, AuthorizationFailure> {
    if (key == null) return Err(AuthorizationFailure.KeyMissing)
    if (key in withdrawnKeys) return Err(AuthorizationFailure.KeyWithdrawn)
    val workspace = keys[key]?.let { workspaces[it.workspace] }?.value
    return if (workspace == null) Err(AuthorizationFailure.KeyUnknown) else Ok(workspace)
}

private fun Configuration.profileOf(workspace: Workspace, requested: ProfileName?): Result<Profile, AuthorizationFailure> {
    val name = requested ?: workspace.profiles.firstOrNull()
    val profile = name?.takeIf { it in workspace.profiles }?.let { profiles[it] }?.value
    return if (profile == null) Err(AuthorizationFailure.ProfileNotPermitted) else Ok(profile)
}

private fun Configuration.poolFor(request: RequestDescription, route: Route?): Result<PoolName, AuthorizationFailure> {
    val name = request.model
    if (name == null) return if (route == null) Err(AuthorizationFailure.RouteUnknown) else Ok(route.pool)
    val model = models[name]?.value ?: return Err(AuthorizationFailure.ModelUnknown)
    val hasAdapter = request.adapter == null || request.adapter in model.adapters
    return if (hasAdapter) Ok(model.pool) else Err(AuthorizationFailure.ModelUnknown)
}

/**
 * Returns whether [request] may run more than once. GET and HEAD requests are always repeatable, as are
 * requests that match a pattern of the profile. Any other request to a model is repeatable unless it has an
 * idempotency key, by which its caller declares that it has side effects. Any other request to a plain
 * service is not repeatable.
 */
private fun isRepeatable(request: RequestDescription, path: String, profile: Profile): Boolean = when {
    request.method in SAFE_METHODS -> true
    profile.repeatable.any { it.matches(request.method, path) } -> true
    else -> request.model != null && request.idempotencyKey == null
}
