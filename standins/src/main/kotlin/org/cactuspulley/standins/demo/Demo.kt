/*
 * A demo of the whole system in one process: stand-ins, the instances of a deployment in their zones,
 * a configuration that an operator writes to the log, and callers that look up an instance and get
 * streamed answers from engines with a prefix cache.
 */
package org.cactuspulley.standins.demo

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.core.timeline.mergeTimelines
import org.cactuspulley.standins.checker.PromiseChecker
import org.cactuspulley.standins.checker.RunRecord
import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.deployment.RouterFleet
import org.cactuspulley.standins.deployment.StandinDeployment
import org.cactuspulley.standins.load.CallerFleet
import org.cactuspulley.standins.load.LoadProgress
import org.cactuspulley.standins.load.ObservedRequest
import org.cactuspulley.standins.load.RequestOutcome
import org.cactuspulley.standins.trace.FaultSet
import org.cactuspulley.standins.trace.TraceGenerator
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The results of a demo run.
 *
 * @property deployment the name of the deployment.
 * @property instances the number of instances.
 * @property requests the number of requests.
 * @property completedWhole the number of requests whose callers got their whole answer.
 * @property prefixHitRate the share of the prompt tokens of completed requests that engines reused from their caches.
 * @property timeToFirstToken the percentiles of the time to first token of completed completions.
 * @property violations the promises that the records of callers and targets show as broken, with details.
 * @property notCompleted the number of the other requests by the error type or outcome of their last send.
 */
@Serializable
public data class DemoSummary(
    val deployment: String,
    val instances: Int,
    val requests: Int,
    @SerialName("completed_whole") val completedWhole: Int,
    @SerialName("prefix_hit_rate") val prefixHitRate: Double,
    @SerialName("ttft_ms") val timeToFirstToken: Percentiles,
    val violations: List<String>,
    @SerialName("not_completed") val notCompleted: Map<String, Int> = emptyMap(),
) {
    /** Whether every caller got its whole answer and every promise held. */
    val succeeded: Boolean get() = completedWhole == requests && violations.isEmpty()
}

/** Percentiles of a duration in milliseconds. */
@Serializable
public data class Percentiles(val p50: Double, val p95: Double, val p99: Double)

/** The instances at [unreadyAddresses] were not ready within the startup timeout, so the demo did not begin. */
public data class DemoNotReadyException(
    val unreadyAddresses: List<String>,
) : Exception("instances not ready before the startup timeout: ${unreadyAddresses.joinToString()}")

/**
 * Runs a deployment with [seconds] of generated traffic. The rates of its profiles are multiplied by
 * [HEADROOM_FACTOR] so that no caller exceeds its rate.
 */
public class Demo(plan: DeploymentPlan, private val seed: Long, private val seconds: Int) {
    private val plan = plan.copy(profiles = plan.profiles.map(::withHeadroom))
    private val client = HttpClient.newHttpClient()

    /** The merged time line of all instances in the latest run. */
    public var timeline: List<TimelineEntry> = emptyList()
        private set

    /** Runs the demo; throws [DemoNotReadyException] if an instance is not ready in time. */
    public suspend fun run(progress: LoadProgress): DemoSummary = StandinDeployment(plan).use { deployment ->
        deployment.writeConfiguration()
        RouterFleet(deployment).use { fleet ->
            fleet.start()
            awaitReady(fleet)
            replayTraffic(deployment, fleet, progress)
        }
    }

    private suspend fun replayTraffic(deployment: StandinDeployment, fleet: RouterFleet, progress: LoadProgress): DemoSummary {
        val start = System.nanoTime()
        val requests = CallerFleet(plan, { fleet.addresses }).use { callers ->
            callers.replay(TraceGenerator(plan, seed, seconds).generate(FaultSet.NONE).arrivals, progress = progress)
        }
        timeline = mergeTimelines(fleet.timelines)
        val run = RunRecord(plan, "prefix-aware", start, System.nanoTime(), requests, deployment.observedCalls)
        return summarize(requests, PromiseChecker().check(run).map { "${it.promise.text}: ${it.detail}" })
    }

    private fun summarize(requests: List<ObservedRequest>, violations: List<String>): DemoSummary {
        val completed = requests.filter { it.outcome == RequestOutcome.COMPLETED }
        val promptTokens = completed.sumOf { it.promptTokens.toLong() }
        val cachedTokens = completed.sumOf { it.cachedTokens.toLong() }
        return DemoSummary(
            deployment = plan.name,
            instances = plan.instances,
            requests = requests.size,
            completedWhole = completed.size,
            prefixHitRate = if (promptTokens == 0L) 0.0 else cachedTokens.toDouble() / promptTokens,
            timeToFirstToken = percentilesOf(completed.filter { it.promptTokens > 0 }.mapNotNull(::timeToFirstToken)),
            violations = violations,
            notCompleted = requests.filter { it.outcome != RequestOutcome.COMPLETED }.groupingBy(::lastSendResult).eachCount(),
        )
    }

    private fun lastSendResult(request: ObservedRequest): String {
        val last = request.sends.lastOrNull() ?: return "NOT_SENT"
        return last.errorType ?: last.outcome.name
    }

    private fun timeToFirstToken(request: ObservedRequest): Long? = request.firstTokenNanoseconds?.let { it - request.startNanoseconds }

    private fun percentilesOf(nanoseconds: List<Long>): Percentiles {
        val histogram = Histogram(HISTOGRAM_DIGITS)
        nanoseconds.forEach { histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(it).coerceAtLeast(0)) }
        fun millis(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
        return Percentiles(millis(50.0), millis(95.0), millis(99.0))
    }

    private fun withHeadroom(profile: Profile): Profile =
        profile.copy(tokensPerSecond = profile.tokensPerSecond * HEADROOM_FACTOR, burstTokens = profile.burstTokens * HEADROOM_FACTOR)

    private suspend fun awaitReady(fleet: RouterFleet) {
        val ready = withTimeoutOrNull(READY_TIMEOUT) {
            while (unreadyAddresses(fleet).isNotEmpty()) delay(POLL_INTERVAL)
        }
        if (ready == null) throw DemoNotReadyException(unreadyAddresses(fleet))
    }

    private fun unreadyAddresses(fleet: RouterFleet): List<String> = fleet.addresses.filterNot { address ->
        try {
            val request = HttpRequest.newBuilder(URI("http://$address/readyz")).build()
            client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == STATUS_OK
        } catch (_: IOException) {
            false
        }
    }

    private companion object {
        const val HISTOGRAM_DIGITS = 3
        const val HEADROOM_FACTOR = 4L
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
        const val STATUS_OK = 200
        val READY_TIMEOUT = 10.seconds
        val POLL_INTERVAL = 50.milliseconds
    }
}
