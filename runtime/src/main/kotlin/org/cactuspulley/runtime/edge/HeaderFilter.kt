/*
 * This file decides which headers are forwarded between callers and targets.
 */
package org.cactuspulley.runtime.edge

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.cactuspulley.core.platform.TargetHeaders

/** Names of headers that a caller sends to this instance. */
internal object CallerHeaders {
    const val DEADLINE_MILLIS = "X-Deadline-Ms"
    const val PROFILE = "X-Profile"
}

private val HOP_BY_HOP_HEADERS = setOf(
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade", "content-length", "host", "expect",
)

/** Headers that are never forwarded. An instance sets or evaluates them itself, and a caller or target could forge them. */
private val INTERNAL_HEADERS = setOf(
    TargetHeaders.REQUEST_ID, TargetHeaders.CACHE_SCOPE, TargetHeaders.PRIORITY, TargetHeaders.WEIGHTS_VERSION,
    TargetHeaders.RESUME_FROM, TargetHeaders.CALLER_DEADLINE_MILLIS, TargetHeaders.CHAIN, TargetHeaders.TOKENS,
    TargetHeaders.SCOPE, TargetHeaders.IDEMPOTENCY_KEY, CallerHeaders.DEADLINE_MILLIS, CallerHeaders.PROFILE,
).map { it.lowercase() }.toSet()

private val CREDENTIAL_HEADERS = setOf("authorization", "x-api-key", "api-key", "x-auth-token", "cookie")

private val HEADERS_FORWARDED_TO_ENGINES = setOf("content-type", "accept")

/** Returns the headers of a caller's request that are forwarded to a plain service. */
internal fun requestHeadersForService(headers: HttpHeaders, key: CallerKey?): HttpHeaders =
    filterHeaders(headers) { name, value -> name !in CREDENTIAL_HEADERS && key?.occursIn(value) != true && key?.occursIn(name) != true }

/** Returns the headers of a caller's request that are forwarded to an engine. */
internal fun requestHeadersForEngine(headers: HttpHeaders, key: CallerKey?): HttpHeaders =
    filterHeaders(headers) { name, value -> name in HEADERS_FORWARDED_TO_ENGINES && key?.occursIn(value) != true }

/** Returns the headers of a target's response that are forwarded to the caller. */
internal fun responseHeadersForCaller(headers: HttpHeaders): HttpHeaders = filterHeaders(headers) { _, _ -> true }

private fun filterHeaders(headers: HttpHeaders, predicate: (name: String, value: String) -> Boolean): HttpHeaders =
    endToEndHeaders(headers) { name, value -> name !in INTERNAL_HEADERS && predicate(name, value) }

/** Returns the end-to-end headers that match [predicate], which receives each name in lower case. Hop-by-hop headers are removed. */
public fun endToEndHeaders(headers: HttpHeaders, predicate: (name: String, value: String) -> Boolean): HttpHeaders {
    val namesInConnectionHeader = headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }
    val result = DefaultHttpHeaders()
    for ((name, value) in headers) {
        val lowerCaseName = name.lowercase()
        if (lowerCaseName !in HOP_BY_HOP_HEADERS && lowerCaseName !in namesInConnectionHeader &&
            predicate(lowerCaseName, value)
        ) {
            result.add(name, value)
        }
    }
    return result
}
