package org.cactuspulley.core.configuration

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.ProfileName

/**
 * Defines the rate limit, the priority and the retry rules of requests that run under this profile.
 *
 * Each workspace that lists the profile has its own token bucket for it.
 *
 * @property tokensPerSecond the refill rate of the bucket across all instances, in tokens per second.
 * @property burstTokens the capacity of the bucket across all instances, in tokens.
 * @property repeatable patterns of requests that may run more than once, in addition to those that are always repeatable.
 * @property mayWait whether requests yield to interactive requests.
 * @property weight the weight in fair queueing, relative to other profiles.
 * @property chargeCachedTokens whether prompt tokens that an engine served from its cache count against the rate.
 */
@Serializable
public data class Profile(
    val name: ProfileName,
    val tokensPerSecond: Long,
    val burstTokens: Long,
    val repeatable: List<RequestPattern> = emptyList(),
    val mayWait: Boolean = false,
    val weight: Int = 1,
    val chargeCachedTokens: Boolean = true,
)

/** Matches requests by [method] (null matches every method) and by a prefix of the path. */
@Serializable
public data class RequestPattern(val method: String? = null, val pathPrefix: String = "/") {
    /** Returns whether the pattern matches a request with this [method] and [path]. */
    public fun matches(method: String, path: String): Boolean =
        (this.method == null || this.method == method) && path.startsWith(pathPrefix)
}
