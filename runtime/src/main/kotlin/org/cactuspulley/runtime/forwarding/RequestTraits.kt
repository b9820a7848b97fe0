package org.cactuspulley.runtime.forwarding

import com.dynatrace.hash4j.hashing.Hashing
import io.netty.handler.codec.http.HttpRequest
import org.cactuspulley.core.forwarding.ForwardedRequest
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.quarantine.RequestTrait

private val HASHER = Hashing.xxh3_64()

/** Returns what [request] of [workspace], with [head] and [body], may have in common with others that crash targets. */
internal fun requestTraits(
    head: HttpRequest,
    request: ForwardedRequest,
    body: ByteArray,
    workspace: WorkspaceId?,
): Set<RequestTrait> = buildSet {
    val caller = workspace?.text.orEmpty()
    val pathAndBody = HASHER.hashStream().putString(
        caller,
    ).putString(head.method().name()).putString(request.path).putByteArray(body).asLong
    add(RequestTrait.PathAndBody(pathAndBody))
    val query = head.uri().substringAfter('?', missingDelimiterValue = "")
    if (query.isNotEmpty()) add(RequestTrait.WholeRequest(HASHER.hashStream().putLong(pathAndBody).putString(query).asLong))
    request.prompt?.sharedHashes?.mapTo(this) { RequestTrait.Piece(it) }
}
