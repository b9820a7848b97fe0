/*
 * What the forwarding instance needs translated. An adapter implements these ports for one platform's
 * names and formats and decides nothing.
 */
package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.cactuspulley.core.forwarding.CachePlan
import org.cactuspulley.core.forwarding.ForwardedRequest
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.ForwardingRefusal
import org.cactuspulley.core.forwarding.TargetEntry
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.ZoneName
import kotlin.time.Duration

/** Reads callers' requests and writes the instance's own answers. */
public interface CallerProtocol {
    /** What [request], which arrived at [now], asks for. */
    public fun read(request: HttpRequest, now: MonotonicTime): Result<ForwardedRequest, ForwardingRefusal>

    /** The answer to a request that is not forwarded or has no answer; [retryAfter] is told where the request has not run. */
    public fun refusal(refusal: ForwardingRefusal, request: RequestId?, retryAfter: Duration?): FullHttpResponse

    /** What a caller or the platform asks the instance itself, or null if it is no such question. */
    public fun query(request: HttpRequest): InstanceQuery?

    /** The answer to [InstanceQuery.Readiness]. */
    public fun readiness(isReady: Boolean): FullHttpResponse

    /** The answer to [InstanceQuery.Addresses]; the addresses may be kept for [lifetime]. */
    public fun addresses(addresses: List<String>, lifetime: Duration): FullHttpResponse
}

/** A question to the instance itself. */
public sealed interface InstanceQuery {
    /** Whether it serves. */
    public data object Readiness : InstanceQuery

    /** Where callers in [zone] connect. */
    public data class Addresses(val zone: ZoneName?) : InstanceQuery

    /** Its metrics. */
    public data object Metrics : InstanceQuery
}

/**
 * One send of a request to a target.
 *
 * @property caller the caller's own message, whose other headers pass.
 * @property remaining the time that the target has; null for no limit.
 * @property cache where the request's cached pieces are; null for requests without a prompt.
 * @property lastEventId the last event that the caller has.
 */
public data class TargetRequest(
    val caller: HttpRequest,
    val request: ForwardedRequest,
    val grant: ForwardingGrant,
    val target: TargetEntry,
    val bodyBytes: Int,
    val remaining: Duration?,
    val cache: CachePlan?,
    val lastEventId: Long?,
)

/**
 * The head of a target's answer.
 *
 * @property request the request that it says it answers; null if it says nothing.
 * @property notRun whether the target promises that the request did not run.
 * @property isOtherTarget whether another target than the expected one, or one with other weights, answered.
 * @property target the name that the answering target gives itself; null if it gives none.
 * @property idleTimeout how long the target keeps an idle connection; null if it does not say.
 * @property isSigned whether the answer bears the target's signature, without which a success counts for nothing.
 */
public data class TargetResponseHead(
    val status: Int,
    val request: RequestId?,
    val notRun: Boolean,
    val isOtherTarget: Boolean,
    val target: String?,
    val load: ServerLoad?,
    val weights: Long?,
    val idleTimeout: Duration?,
    val isSigned: Boolean,
)

/** Requests that run and wait at a target, and how many it runs at once. */
public data class ServerLoad(val running: Int, val waiting: Int, val slots: Int)

/** Writes requests to targets and reads their answers. */
public interface TargetProtocol {
    /** The head of the message for [send]. */
    public fun request(send: TargetRequest): HttpRequest

    /** What the head of an answer says. */
    public fun responseHead(response: HttpResponse): TargetResponseHead

    /** The head of [response] as the caller gets it; length and connection headers are left out. */
    public fun callerHead(response: HttpResponse): HttpResponse
}
