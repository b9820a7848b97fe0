package org.cactuspulley.runtime.edge

import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.ZoneName
import java.util.concurrent.CompletionStage

/** A response that this instance creates without a target. */
public class LocalResponse(
    public val status: Int,
    public val body: ByteArray,
    public val contentType: String = "application/json",
)

/**
 * A query for the instance addresses that a caller should use.
 *
 * @property key the digest of the caller's key, or null if it sent none.
 * @property zone the caller's zone from the query parameter `zone`, or null if it sent none.
 */
public data class EntryQuery(val key: KeyDigest?, val zone: ZoneName?)

/**
 * A request to the operator API.
 *
 * @property method the HTTP method.
 * @property path the path after `/operator/`.
 * @property secret the bearer token of the `Authorization` header, or null if there is none.
 * @property body the request body, which may be empty.
 */
public class OperatorRequest(public val method: String, public val path: String, public val secret: String?, public val body: ByteArray)

/** Handles paths that no target serves. Its functions are called on event loops and must not block. */
public interface LocalEndpoints {
    /** Handles `GET /v1/entry`. */
    public fun entry(query: EntryQuery): CompletionStage<LocalResponse>

    /** Handles `GET /v1/models`. [key] is the digest of the caller's key, or null if it sent none. */
    public fun models(key: KeyDigest?): CompletionStage<LocalResponse>

    /** Handles `GET /healthz`. */
    public fun health(): CompletionStage<LocalResponse>

    /** Handles `GET /readyz`. */
    public fun readiness(): CompletionStage<LocalResponse>

    /** Handles `GET /metrics`. */
    public fun metrics(): CompletionStage<LocalResponse>

    /** Handles all methods on paths below `/operator/`. */
    public fun operator(request: OperatorRequest): CompletionStage<LocalResponse>
}
