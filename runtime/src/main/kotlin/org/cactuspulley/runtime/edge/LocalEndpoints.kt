package org.cactuspulley.runtime.edge

import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.ZoneName
import java.util.concurrent.CompletionStage

/** An answer that this instance gives by itself. */
public class LocalResponse(
    public val status: Int,
    public val body: ByteArray,
    public val contentType: String = "application/json",
)

/**
 * A question for addresses to use.
 *
 * @property zone the zone that the caller says it is in, from the query parameter `zone`.
 */
public data class EntryQuery(val key: KeyDigest?, val zone: ZoneName?)

/**
 * A call of an operator.
 *
 * @property path the path after `/operator/`.
 * @property secret what came as `Authorization: Bearer`, or null.
 */
public class OperatorRequest(public val method: String, public val path: String, public val secret: String?, public val body: ByteArray)

/** What answers paths that no target serves. Called on event loops, so it must not block. */
public interface LocalEndpoints {
    /** Answers `GET /v1/entry`. */
    public fun entry(query: EntryQuery): CompletionStage<LocalResponse>

    /** Answers `GET /v1/models`. */
    public fun models(key: KeyDigest?): CompletionStage<LocalResponse>

    /** Answers `GET /healthz`. */
    public fun health(): CompletionStage<LocalResponse>

    /** Answers `GET /readyz`. */
    public fun readiness(): CompletionStage<LocalResponse>

    /** Answers `GET /metrics`. */
    public fun metrics(): CompletionStage<LocalResponse>

    /** Answers any method on paths below `/operator/`. */
    public fun operator(request: OperatorRequest): CompletionStage<LocalResponse>
}
