/*
 * The ports of the forwarding instance for HTTP messages. An adapter implements them for the header names and formats of one
 * platform and makes no decisions.
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

/** Parses callers' requests and creates the instance's own responses. */
public interface CallerProtocol {
    /** Parses [request], which arrived at [now]. */
    public fun read(request: HttpRequest, now: MonotonicTime): Result<ForwardedRequest, ForwardingRefusal>

    /** The response to a request that is refused or failed; it tells [retryAfter] to the caller only if the request has not run. */
    public fun refusal(refusal: ForwardingRefusal, request: RequestId?, retryAfter: Duration?): FullHttpResponse

    /** Parses a query of a caller or the platform to the instance itself; returns null if [request] is none. */
    public fun query(request: HttpRequest): InstanceQuery?

    /** The response to [InstanceQuery.Readiness]. */
    public fun readiness(isReady: Boolean): FullHttpResponse

    /** The response to [InstanceQuery.Addresses]; callers may cache the addresses for [lifetime]. */
    public fun addresses(addresses: List<String>, lifetime: Duration): FullHttpResponse
}

/** A query to the instance itself. */
public sealed interface InstanceQuery {
    /** Asks whether the instance serves callers. */
    public data object Readiness : InstanceQuery

    /** Asks for the addresses to which callers in [zone] connect; null if the caller names no zone. */
    public data class Addresses(val zone: ZoneName?) : InstanceQuery

    /** Asks for the metrics of the instance. */
    public data object Metrics : InstanceQuery
}

/**
 * The request of one send attempt, as it is sent to a target.
 *
 * @property caller the head of the caller's request; its end-to-end headers are passed on.
 * @property request the parsed request.
 * @property grant what the configuration grants the request.
 * @property target the registry entry of the target.
 * @property bodyBytes the size of the body in bytes.
 * @property remaining the time that the target has to respond; null for no limit.
 * @property cache where the target finds and keeps the request's cached pieces; null for requests without a prompt.
 * @property lastEventId the id of the last event that the caller has received; null if there is none.
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
 * The parsed head of a target's response.
 *
 * @property status the HTTP status code.
 * @property request the id of the request that the response belongs to; null if the response names none or several.
 * @property notRun whether the target guarantees that the request did not run.
 * @property meansNotRun whether callers take the status for a promise that the request did not run, whatever the headers say.
 * @property isOtherTarget whether the response came from another target than expected, or from one with other weights.
 * @property target the id that the responding target gives itself; null if it gives none.
 * @property load the load of the target; null if the response does not say.
 * @property weights the version of the weights that the target holds; null if the response does not say.
 * @property isLeaving whether the responding target says that it is shutting down.
 * @property retryAfter for how long the responding target, which turned the request away, wants no requests from this instance;
 *    null if the response does not say.
 * @property requestsPerSecond the requests per second that the responding target takes from all instances together; null if the response
 *    names no limit that can be read.
 * @property isRateLimitUnreadable whether the response names a limit that can't be read, so that it does not show that there is none.
 * @property idleTimeout how long the target keeps an idle connection open; null if the response does not say.
 * @property isSigned whether the response carries the target's signature; a success without it is treated as broken.
 */
public data class TargetResponseHead(
    val status: Int,
    val request: RequestId?,
    val notRun: Boolean,
    val meansNotRun: Boolean,
    val isOtherTarget: Boolean,
    val target: String?,
    val load: ServerLoad?,
    val weights: Long?,
    val isLeaving: Boolean,
    val retryAfter: Duration?,
    val requestsPerSecond: Double?,
    val isRateLimitUnreadable: Boolean,
    val idleTimeout: Duration?,
    val isSigned: Boolean,
)

/**
 * The load that a target reports.
 *
 * @property running the number of requests that run.
 * @property waiting the number of requests that are queued.
 * @property slots the number of requests that the target can run concurrently.
 * @property slowdown how long work takes now, as a multiple of the usual time; null if the target does not say.
 */
public data class ServerLoad(val running: Int, val waiting: Int, val slots: Int, val slowdown: Double? = null)

/** Creates requests to targets and parses their responses. */
public interface TargetProtocol {
    /** Creates the head of the HTTP request for the attempt [send]. */
    public fun request(send: TargetRequest): HttpRequest

    /** Parses the head of a target's response. */
    public fun responseHead(response: HttpResponse): TargetResponseHead

    /** The head of [response] that is passed on to the caller, without its length and connection headers. */
    public fun callerHead(response: HttpResponse): HttpResponse
}
