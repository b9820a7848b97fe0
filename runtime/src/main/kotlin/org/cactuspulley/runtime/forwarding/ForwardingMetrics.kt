package org.cactuspulley.runtime.forwarding

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cactuspulley.runtime.metrics.text
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The counters and histograms of a forwarding instance. They keep no exemplars, whose sampling wakes a thread of its own. */
internal class ForwardingMetrics {
    private val registry = PrometheusRegistry()
    private val responses = histogram("cactuspulley_answer_seconds", "Time from a request's arrival to its whole answer")
    private val firstEvents =
        histogram("cactuspulley_first_event_seconds", "Time from a request's arrival to the first event of its stream")
    private val pauses = histogram("cactuspulley_longest_pause_seconds", "The longest pause between two events of a stream")
    private val loopDelays = Histogram.builder().name("cactuspulley_loop_delay_seconds").help("How late the event loop's timer runs")
        .classicUpperBounds(0.01, 0.05, 0.25, 1.0, 4.0).classicOnly().withoutExemplars().register(registry)
    private val refusals = counter("cactuspulley_refusals_total", "Requests that got no answer of a target", "cause")
    private val failedAttempts = counter("cactuspulley_failed_sends_total", "Sends that ended without a deliverable answer", "cause")
    private val rateLimited = counter("cactuspulley_rate_limited_total", "Requests affected by the rate limits of targets", "outcome")
    private val events = counter("cactuspulley_beliefs_total", "Changes of what the instance believes", "event")

    private val releaseStage = Gauge.builder().name("cactuspulley_release_stage").labelNames("service")
        .help("The stage of a service's release: 0 not started, 1 canary, 2 shifting, 3 completed, 4 rolled back").register(registry)
    private val releaseShare = Gauge.builder().name("cactuspulley_release_share").labelNames("service")
        .help("The share of the instance's requests that went to the released version since the order").register(registry)
    private val releaseAnswers =
        counter(
            "cactuspulley_release_answers_total",
            "Attempts that ended while their service was released, failures included",
            "service",
            "version",
        )
    private val releaseFailures =
        counter("cactuspulley_release_failures_total", "Attempts that failed while their service was released", "service", "version")

    private val configurationVersion = Gauge.builder().name("cactuspulley_configuration_version")
        .help("The version of the configuration in force; 0 before the first").register(registry)

    fun delivered(pool: String, duration: Duration, timing: StreamTiming) {
        responses.labelValues(pool).observe(duration.toDouble(DurationUnit.SECONDS))
        val timeToFirstEvent = timing.timeToFirstEvent ?: return
        firstEvents.labelValues(pool).observe(timeToFirstEvent.toDouble(DurationUnit.SECONDS))
        pauses.labelValues(pool).observe(timing.longestPause.toDouble(DurationUnit.SECONDS))
    }

    fun loopDelay(delay: Duration) = loopDelays.observe(delay.toDouble(DurationUnit.SECONDS))

    fun refused(cause: String) = refusals.labelValues(cause).inc()

    fun attemptFailed(cause: String) = failedAttempts.labelValues(cause).inc()

    /** Counts a request that waits for the rate limit of a target. */
    fun heldForRateLimit() = rateLimited.labelValues("held").inc()

    /** Counts a request that is refused because of the rate limits of targets. */
    fun refusedForRateLimit() = rateLimited.labelValues("refused").inc()

    fun configured(version: Long) = configurationVersion.set(version.toDouble())

    /** Sets the [number] of the stage of the release of [service]. */
    fun releaseStage(service: String, number: Int) = releaseStage.labelValues(service).set(number.toDouble())

    /** Sets the share of the requests to [service] that this instance has sent to the released version. */
    fun releaseShare(service: String, share: Double) = releaseShare.labelValues(service).set(share)

    /** Counts an attempt that ended at a target with [version] of [service]; failures count too. */
    fun releaseAnswer(service: String, version: String) = releaseAnswers.labelValues(service, version).inc()

    /** Counts an attempt that failed at a target with [version] of [service]. */
    fun releaseFailure(service: String, version: String) = releaseFailures.labelValues(service, version).inc()

    fun event(name: String) = events.labelValues(name).inc()

    /** Returns all metrics in the Prometheus text format. */
    fun text(): ByteArray = registry.text()

    private fun histogram(name: String, help: String): Histogram = Histogram.builder().name(name).help(help)
        .labelNames("pool").classicUpperBounds(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4).classicOnly().withoutExemplars()
        .register(registry)

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).withoutExemplars().register(registry)
}
