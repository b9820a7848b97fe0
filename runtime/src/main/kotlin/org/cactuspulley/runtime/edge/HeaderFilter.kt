/*
 * Which headers pass between callers and targets.
 */
package org.cactuspulley.runtime.edge

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.cactuspulley.core.platform.TargetHeaders

/** Headers between a caller and this instance. */
internal object CallerHeaders {
    const val DEADLINE_MILLIS = "X-Deadline-Ms"
    const val PROFILE = "X-Profile"
}

private val HOP_BY_HOP = setOf(
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade", "content-length", "host", "expect",
)

/** Headers that only instances and targets may set; from anyone else they are forged. */
private val INTERNAL = setOf(
    TargetHeaders.REQUEST_ID, TargetHeaders.CACHE_SCOPE, TargetHeaders.PRIORITY, TargetHeaders.WEIGHTS_VERSION,
    TargetHeaders.RESUME_FROM, TargetHeaders.CALLER_DEADLINE_MILLIS, TargetHeaders.CHAIN, TargetHeaders.TOKENS,
    TargetHeaders.SCOPE, TargetHeaders.IDEMPOTENCY_KEY, CallerHeaders.DEADLINE_MILLIS, CallerHeaders.PROFILE,
).map { it.lowercase() }.toSet()

private val CREDENTIALS = setOf("authorization", "x-api-key", "api-key", "x-auth-token", "cookie")

private val ENGINE_HEADERS = setOf("content-type", "accept")

/** The headers of a caller's request that a plain service may see. */
internal fun headersForService(headers: HttpHeaders, key: CallerKey?): HttpHeaders =
    filtered(headers) { name, value -> name !in CREDENTIALS && key?.isIn(value) != true && key?.isIn(name) != true }

/** The headers of a caller's request that an engine may see. */
internal fun headersForEngine(headers: HttpHeaders, key: CallerKey?): HttpHeaders =
    filtered(headers) { name, value -> name in ENGINE_HEADERS && key?.isIn(value) != true }

/** The headers of a target's answer that a caller may see. */
internal fun headersForCaller(headers: HttpHeaders): HttpHeaders = filtered(headers) { _, _ -> true }

private fun filtered(headers: HttpHeaders, passes: (name: String, value: String) -> Boolean): HttpHeaders =
    endToEndHeaders(headers) { name, value -> name !in INTERNAL && passes(name, value) }

/** The headers that concern more than one connection and that [passes] lets through; it gets names in lower case. */
public fun endToEndHeaders(headers: HttpHeaders, passes: (name: String, value: String) -> Boolean): HttpHeaders {
    val connectionNames = headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }
    val kept = DefaultHttpHeaders()
    for ((name, value) in headers) {
        val lowerCase = name.lowercase()
        if (lowerCase !in HOP_BY_HOP && lowerCase !in connectionNames && passes(lowerCase, value)) kept.add(name, value)
    }
    return kept
}
