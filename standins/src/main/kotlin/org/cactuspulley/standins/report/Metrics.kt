/*
 * The metrics of a replay and of its runs, one run per routing policy. They are computed from what callers, targets and
 * operators observed.
 */
package org.cactuspulley.standins.report

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.routing.PIECE_TOKENS
import org.cactuspulley.standins.checker.LimitHistory
import org.cactuspulley.standins.checker.Promise
import org.cactuspulley.standins.checker.RunRecord
import org.cactuspulley.standins.checker.Violation
import org.cactuspulley.standins.load.ObservedRequest
import org.cactuspulley.standins.load.RequestOutcome
import org.cactuspulley.standins.load.SendOutcome
import org.cactuspulley.standins.server.CallOutcome
import org.cactuspulley.standins.server.ObservedCall

/** Percentiles of a duration, in milliseconds. */
@Serializable
public data class Percentiles(val p50: Double, val p95: Double, val p99: Double)

/**
 * The metrics of one workspace in one run, over its interactive completions (those that may not wait) without those
 * refused with `over_rate`.
 *
 * @property id the id of the workspace.
 * @property timeToFirstTokenP99Millis the 99th percentile of the time to first token, in milliseconds.
 * @property completedRatio the share of these completions that got a whole answer, from 0 to 1.
 */
@Serializable
public data class WorkspaceMetrics(
    val id: WorkspaceId,
    @SerialName("ttft_p99_ms") val timeToFirstTokenP99Millis: Double,
    @SerialName("completed_ratio") val completedRatio: Double,
)

/**
 * A request with a send that was refused with `over_rate` or `no_grant` although one central token bucket for its
 * workspace and profile would have held enough tokens.
 *
 * @property request the id of the request.
 * @property atMillis when the request started at its caller, in milliseconds since the start of the run.
 * @property charged the tokens that the request is charged before it runs.
 * @property held the tokens that the central bucket would have held at [atMillis].
 */
@Serializable
public data class RefusalWithinRate(
    val request: String,
    val workspace: WorkspaceId,
    val profile: ProfileName,
    @SerialName("at_ms") val atMillis: Long,
    val charged: Long,
    val held: Long,
)

/**
 * The metrics of the run under one routing policy.
 *
 * @property policy the name of the routing policy.
 * @property requests the number of requests.
 * @property completedWhole the number of requests that got a whole answer.
 * @property refusedOverRate the number of refused requests whose last send was refused with `over_rate`.
 * @property refusedWithinRate the number of requests that [RefusalWithinRate] describes, including those that a later send
 *   completed.
 * @property refusedWithinRateDetails the first 40 of these requests, in the order of their start.
 * @property refusedOtherwise the number of refused requests that [refusedOverRate] does not count, by the error type of
 *   their last send.
 * @property failed the number of requests that were neither completed nor refused.
 * @property prefixHitRate the share of the prompt tokens of completed engine calls that came from the engine's prefix cache,
 *   from 0 to 1.
 * @property oracleHitRate the hit rate if every call had reached the engine with the longest cached prefix, from 0 to 1.
 * @property timeToFirstTokenMillis the time to first token of interactive completions (those that may not wait), in
 *   milliseconds.
 * @property timeToFirstTokenMayWaitMillis the time to first token of completions that may wait, in milliseconds.
 * @property wastedRecomputeTokens the prompt tokens of pieces that an engine computed although it or another
 *   engine had computed them in an earlier call.
 * @property worstWorkspace the workspace with the highest 99th percentile of the time to first token.
 * @property medianWorkspaceTimeToFirstTokenP99Millis the median of the 99th percentiles of [workspaces], in milliseconds;
 *   the upper one for an even number, 0 without workspaces.
 * @property workspaces the metrics of each workspace, in the order of their ids.
 * @property violations the number of violations by the name of the promise; every promise has an entry.
 * @property violationDetails the first 40 violations, each with its promise and the observation that proves it.
 * @property incidentsNotCarriedOut the incidents that could not be carried out, each with the reason.
 */
@Serializable
public data class PolicyMetrics(
    val policy: String,
    val requests: Int,
    @SerialName("completed_whole") val completedWhole: Int,
    @SerialName("refused_over_rate") val refusedOverRate: Int,
    @SerialName("refused_within_rate") val refusedWithinRate: Int,
    @SerialName("refused_within_rate_details") val refusedWithinRateDetails: List<RefusalWithinRate>,
    @SerialName("refused_otherwise") val refusedOtherwise: Map<String, Int>,
    val failed: Int,
    @SerialName("prefix_hit_rate") val prefixHitRate: Double,
    @SerialName("oracle_hit_rate") val oracleHitRate: Double,
    @SerialName("ttft_ms") val timeToFirstTokenMillis: Percentiles,
    @SerialName("ttft_may_wait_ms") val timeToFirstTokenMayWaitMillis: Percentiles,
    @SerialName("wasted_recompute_tokens") val wastedRecomputeTokens: Long,
    @SerialName("worst_workspace") val worstWorkspace: WorkspaceMetrics?,
    @SerialName("median_workspace_ttft_p99_ms") val medianWorkspaceTimeToFirstTokenP99Millis: Double,
    val workspaces: List<WorkspaceMetrics>,
    val violations: Map<String, Int>,
    @SerialName("violation_details") val violationDetails: List<String>,
    @SerialName("incidents_not_carried_out") val incidentsNotCarriedOut: List<String>,
)

/**
 * The metrics of a whole replay, one entry per routing policy.
 *
 * @property deployment the name of the deployment.
 * @property seed the seed that the trace was generated from.
 * @property seconds the length of the trace, in seconds of trace time.
 * @property faults the name of the fault set that the trace was generated with.
 * @property speed the factor by which the replay was faster than the trace.
 * @property policies the metrics of each run.
 */
@Serializable
public data class ReplayReport(
    val deployment: String,
    val seed: Long,
    val seconds: Int,
    val faults: String,
    val speed: Double,
    val policies: List<PolicyMetrics>,
) {
    /** Whether a promise was violated under any policy. */
    val hasViolations: Boolean get() = policies.any { metrics -> metrics.violations.values.any { it > 0 } }
}

private const val NANOSECONDS_PER_MILLISECOND = 1e6
private const val NANOSECONDS_PER_SECOND = 1e9
private const val MICROSECONDS_PER_MILLISECOND = 1000.0
private const val HISTOGRAM_SIGNIFICANT_DIGITS = 3
private const val MAX_DETAILS = 40

/** Computes the metrics of [run], in which [violations] were found. */
public fun computeMetrics(run: RunRecord, violations: List<Violation>): PolicyMetrics {
    val engineCalls = run.calls.filter { it.promptTokens > 0 && it.outcome == CallOutcome.COMPLETED }
    val completions = run.requests.filter { it.promptTokens > 0 && !it.isRefusedOverRate }
    val workspaces = workspaceMetrics(completions)
    val otherRefusals = run.requests.filter { it.outcome == RequestOutcome.REFUSED && !it.isRefusedOverRate }
    val refusalsWithinRate = refusalsWithinRate(run)
    return PolicyMetrics(
        policy = run.policy,
        requests = run.requests.size,
        completedWhole = run.requests.count { it.outcome == RequestOutcome.COMPLETED },
        refusedOverRate = run.requests.count { it.isRefusedOverRate },
        refusedWithinRate = refusalsWithinRate.size,
        refusedWithinRateDetails = refusalsWithinRate.sortedBy { it.atMillis }.take(MAX_DETAILS),
        refusedOtherwise = otherRefusals.groupingBy { it.sends.last().errorType ?: "untyped" }.eachCount().toSortedMap(),
        failed = run.requests.count { it.outcome == RequestOutcome.FAILED },
        prefixHitRate = ratio(engineCalls.sumOf { it.cachedTokens.toLong() }, engineCalls.sumOf { it.promptTokens.toLong() }),
        oracleHitRate = ratio(
            engineCalls.sumOf {
                maxOf(it.oracleTokens, it.cachedTokens).toLong()
            },
            engineCalls.sumOf { it.promptTokens.toLong() },
        ),
        timeToFirstTokenMillis = percentiles(completions.filter { !it.mayWait }),
        timeToFirstTokenMayWaitMillis = percentiles(completions.filter { it.mayWait }),
        wastedRecomputeTokens = wastedRecomputeTokens(engineCalls),
        worstWorkspace = workspaces.maxByOrNull { it.timeToFirstTokenP99Millis },
        medianWorkspaceTimeToFirstTokenP99Millis = workspaces.map { it.timeToFirstTokenP99Millis }.sorted()
            .let { it.getOrElse(it.size / 2) { 0.0 } },
        workspaces = workspaces,
        violations = Promise.entries.associate { promise -> promise.text to violations.count { it.promise == promise } },
        violationDetails = violations.take(MAX_DETAILS).map { "${it.promise.text}: ${it.detail}" },
        incidentsNotCarriedOut = run.incidents.mapNotNull { executed -> executed.failure?.let { "${executed.incident}: $it" } },
    )
}

/** The time from the start of the request to its first token, or to its end if it got none, in milliseconds. */
internal val ObservedRequest.timeToFirstTokenMillis: Double
    get() = ((firstTokenNanoseconds ?: endNanoseconds) - startNanoseconds) / NANOSECONDS_PER_MILLISECOND

private val ObservedRequest.isRefusedOverRate: Boolean
    get() = outcome == RequestOutcome.REFUSED && sends.lastOrNull()?.errorType == "over_rate"

private fun ratio(part: Long, total: Long) = if (total == 0L) 0.0 else part.toDouble() / total

/**
 * Returns the percentiles of the time to first token over [requests]. A request that got no token counts with the time
 * until its end; refused requests don't count.
 */
internal fun percentiles(requests: List<ObservedRequest>): Percentiles {
    val histogram = Histogram(HISTOGRAM_SIGNIFICANT_DIGITS)
    requests.filter { it.outcome != RequestOutcome.REFUSED }.forEach {
        histogram.recordValue((it.timeToFirstTokenMillis * MICROSECONDS_PER_MILLISECOND).toLong().coerceAtLeast(0))
    }
    fun valueAt(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
    return Percentiles(valueAt(50.0), valueAt(95.0), valueAt(99.0))
}

private fun workspaceMetrics(completions: List<ObservedRequest>): List<WorkspaceMetrics> =
    completions.filter { !it.mayWait }.groupBy { it.workspace }.toSortedMap(compareBy { it.text }).map { (id, requests) ->
        val completed = requests.count { it.outcome == RequestOutcome.COMPLETED }
        WorkspaceMetrics(id, percentiles(requests).p99, completed.toDouble() / requests.size)
    }

/** Counts the tokens of pieces that were not taken from a cache although an engine had computed them in an earlier call. */
private fun wastedRecomputeTokens(calls: List<ObservedCall>): Long {
    val knownPieces = HashSet<Long>()
    return calls.sumOf { call ->
        val computedPieces = call.pieces.drop(call.cachedTokens / PIECE_TOKENS)
        computedPieces.count { !knownPieces.add(it) }.toLong() * PIECE_TOKENS
    }
}

/**
 * Replays the requests against one central token bucket for each workspace and profile, in the order of their start.
 * Returns the requests that had a send refused for their rate although that bucket would have admitted them.
 */
private fun refusalsWithinRate(run: RunRecord): List<RefusalWithinRate> =
    run.requests.groupBy { it.workspace to it.profile }.flatMap { (bucket, requests) -> refusalsWithinRate(run, bucket.second, requests) }

private fun refusalsWithinRate(run: RunRecord, profile: ProfileName, requests: List<ObservedRequest>): List<RefusalWithinRate> {
    val limit = LimitHistory(run.plan.profiles.first { it.name == profile }, run)
    val rateRefusalTypes = setOf("over_rate", "no_grant")
    var heldTokens = limit.burstAt(run.startNanoseconds).toDouble()
    var lastRefillNanoseconds = run.startNanoseconds
    val refusals = ArrayList<RefusalWithinRate>()
    for (request in requests.sortedBy { it.startNanoseconds }) {
        val now = request.startNanoseconds
        heldTokens =
            minOf(limit.burstAt(now).toDouble(), heldTokens + (now - lastRefillNanoseconds) / NANOSECONDS_PER_SECOND * limit.rateAt(now))
        lastRefillNanoseconds = now
        val hasRateRefusal = request.sends.any { it.outcome == SendOutcome.REFUSED && it.errorType in rateRefusalTypes }
        if (hasRateRefusal && heldTokens >= request.chargedTokens) {
            val atMillis = ((now - run.startNanoseconds) / NANOSECONDS_PER_MILLISECOND).toLong()
            refusals += RefusalWithinRate(request.id, request.workspace, profile, atMillis, request.chargedTokens, heldTokens.toLong())
        }
        if (request.outcome == RequestOutcome.COMPLETED) heldTokens -= request.usedTokens
    }
    return refusals
}
