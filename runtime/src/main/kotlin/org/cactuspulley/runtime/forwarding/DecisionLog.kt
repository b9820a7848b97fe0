package org.cactuspulley.runtime.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.channel.Channel
import org.cactuspulley.core.forwarding.ForwardedRequest
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.ForwardingRefusal
import org.cactuspulley.core.forwarding.SendFailure
import org.cactuspulley.core.forwarding.WorkspaceDescription
import org.cactuspulley.core.forwarding.ZoneShareChange
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.quarantine.RequestTrait
import kotlin.time.Duration

private val logger = KotlinLogging.logger("decisions")

/** Logs each decision about a request and each state change of the instance as one structured line, and counts them in the metrics. */
internal class DecisionLog(private val metrics: ForwardingMetrics) {
    /** Records that the response to [attempt] was passed on completely, after [sentAttempts] attempts and a total time of [duration]. */
    fun delivered(
        request: ForwardedRequest,
        attempt: SendAttempt,
        grant: ForwardingGrant,
        status: Int,
        sentAttempts: Int,
        duration: Duration,
        timing: StreamTiming,
    ) {
        metrics.delivered(grant.pool.text, duration, timing)
        write(
            "delivered",
            "request" to request.id.text,
            "target" to attempt.target.id.text,
            "weights" to attempt.expectedWeights,
            "route" to grant.route.name.text,
            "workspace" to grant.workspace?.name?.text,
            "status" to status,
            "sends" to sentAttempts,
            "millis" to duration.inWholeMilliseconds,
            "objectiveMillis" to grant.route.latencyObjective.inWholeMilliseconds,
            "firstMillis" to timing.timeToFirstEvent?.inWholeMilliseconds,
            "pauseMillis" to timing.longestPause.takeIf { timing.timeToFirstEvent != null }?.inWholeMilliseconds,
            "configuration" to grant.configurationVersion,
        )
    }

    /** Records a refusal after [sentAttempts] attempts; [configuration] is the version of the current one, or null. */
    fun refused(request: ForwardedRequest, refusal: ForwardingRefusal, configuration: Long?, sentAttempts: Int, waited: Duration) {
        metrics.refused(refusal.name)
        write(
            "refused",
            "request" to request.id.text,
            "cause" to refusal.name,
            "path" to request.path,
            "sends" to sentAttempts,
            "millis" to waited.inWholeMilliseconds,
            "configuration" to configuration,
        )
    }

    /** Records that a request waits because of the rate limit of [target]. */
    fun heldForRateLimit(request: ForwardedRequest, target: TargetId) {
        metrics.heldForRateLimit()
        write("held_for_rate_limit", "request" to request.id.text, "target" to target.text)
    }

    /** Records that a request is refused because of the rate limits of targets; its caller may return after [returnDelay]. */
    fun refusedForRateLimit(request: ForwardedRequest, returnDelay: Duration?) {
        metrics.refusedForRateLimit()
        write("refused_for_rate_limit", "request" to request.id.text, "returnMillis" to returnDelay?.inWholeMilliseconds)
    }

    /** Records that a request found a target in [pool] after it had [waited] for one. */
    fun startedAfterWaiting(pool: PoolName, waited: Duration) = metrics.startedAfterWaiting(pool.text, waited)

    /**
     * Records that a request is refused because the targets of [pool] are full or too small, or because the requests before it take too
     * long; its caller may return after [returnDelay].
     */
    fun refusedAsFull(request: ForwardedRequest, pool: PoolName, cause: String, returnDelay: Duration?) {
        metrics.refusedAsFull(pool.text, cause)
        write(
            "refused_as_full",
            "request" to request.id.text,
            "pool" to pool.text,
            "cause" to cause,
            "returnMillis" to returnDelay?.inWholeMilliseconds,
        )
    }

    /** Records that a request's [cost] exceeded the units [available] to the workspace. */
    fun overRate(request: ForwardedRequest, workspace: WorkspaceDescription, cost: Double, available: Double) {
        write(
            "over_rate",
            "request" to request.id.text,
            "workspace" to workspace.name.text,
            "cost" to cost,
            "available" to available.toLong(),
            "rate" to workspace.rate,
            "burst" to workspace.burst,
        )
    }

    /** Records that a request is refused or withdrawn because it has the quarantined [traits]. */
    fun quarantined(request: ForwardedRequest, traits: Set<RequestTrait>) =
        write("quarantined", "request" to request.id.text, "traits" to CrashQuarantineExchange.text(traits))

    /**
     * Records an attempt that ended without a usable response. How far the response got and the traits of the request show which
     * requests may have crashed the target; the connection shows whether the response may have been due to an earlier request there.
     */
    fun attemptFailed(request: ForwardedRequest, attempt: SendAttempt, failure: SendFailure, reason: String) {
        metrics.attemptFailed(failure.name)
        write(
            "send_failed",
            "request" to request.id.text,
            "target" to attempt.target.id.text,
            "weights" to attempt.expectedWeights,
            "cause" to failure.name,
            "reason" to reason,
            "response" to attempt.hasResponse,
            "events" to attempt.hasEvents,
            "connection" to attempt.connection,
            "requestsOnConnection" to attempt.requestsOnConnection,
            "traits" to CrashQuarantineExchange.text(attempt.traits),
        )
    }

    /** Records a response to another request, [otherRequest], which was discarded. */
    fun foreignResponse(request: ForwardedRequest, attempt: SendAttempt, otherRequest: RequestId) {
        write(
            "foreign_answer",
            "request" to request.id.text,
            "target" to attempt.target.id.text,
            "answered" to otherRequest.text,
            "connection" to attempt.connection,
        )
    }

    /** Records that a connection to a target delivered bytes that belong to no request, such as a second response. */
    fun unexpectedBytes(connection: Channel) {
        event("unexpected_bytes", "connection" to connection.id().asShortText(), "address" to "${connection.remoteAddress()}")
    }

    /** Records a changed share of requests that leave the zone of this instance. */
    fun zoneShare(change: ZoneShareChange) {
        metrics.zoneShare(change.flow.pool.text, change.flow.route.text, change.share)
        event("zone_share", "pool" to change.flow.pool.text, "route" to change.flow.route.text, "share" to change.share)
    }

    /** Records that [count] new connections of [clients] exceeded the limit since the last call. */
    fun excessConnections(clients: String, count: Int) {
        if (count == 0) return
        metrics.excessConnections(clients, count)
        event("connection_limit_exceeded", "clients" to clients, "connections" to count)
    }

    /** Counts a request that is sent to a target of [pool] in [zone]. */
    fun sent(pool: PoolName, zone: ZoneName) = metrics.sent(pool.text, zone.text)

    /** Records that the caller disconnected before the response was complete. */
    fun abandoned(request: ForwardedRequest, sentAttempts: Int, waited: Duration) {
        metrics.refused("CALLER_GONE")
        write("caller_gone", "request" to request.id.text, "sends" to sentAttempts, "millis" to waited.inWholeMilliseconds)
    }

    /** Counts a response or a failure of a target with [version] of [service], which is being released. */
    fun releaseAnswer(service: PoolName, version: String) = metrics.releaseAnswer(service.text, version)

    /** Counts a failure of a target with [version] of [service], which is being released. */
    fun releaseFailure(service: PoolName, version: String) = metrics.releaseFailure(service.text, version)

    /** Sets the [stage] of the release of [service] in the metrics; null if it has not been started. */
    fun releaseStage(service: PoolName, stage: EncodedStage?) = metrics.releaseStage(service.text, stage?.number ?: 0)

    /** Sets the [share] of the requests to [service] that this instance has sent to the released version, in the metrics. */
    fun releaseShare(service: PoolName, share: Double) = metrics.releaseShare(service.text, share)

    /** Records a change of the instance's state, such as a new configuration or an unresponsive target. */
    fun event(name: String, vararg details: Pair<String, Any?>) {
        metrics.event(name)
        write(name, *details)
    }

    private fun write(event: String, vararg details: Pair<String, Any?>) {
        logger.at(Level.INFO) {
            message = event
            payload = details.filter { it.second != null }.associate { (name, value) -> name to shortened(value) }
        }
    }

    /** Callers choose ids and paths, and lines wait in a queue while the output is slow. */
    private fun shortened(value: Any?): Any? =
        if (value is String && value.length > MAX_TEXT_CHARACTERS) value.take(MAX_TEXT_CHARACTERS) + "..." else value

    private companion object {
        /** Longer than the ids and paths of ordinary requests. */
        const val MAX_TEXT_CHARACTERS = 512
    }
}
