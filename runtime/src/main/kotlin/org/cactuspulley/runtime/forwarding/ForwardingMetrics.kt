package org.cactuspulley.runtime.forwarding

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cactuspulley.core.forwarding.Occupancy
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
    private val fullRefusals = counter("cactuspulley_full_refusals_total", "Requests refused because targets are full", "pool", "cause")
    private val queueTimes = histogram("cactuspulley_queue_seconds", "Time for which a request that got a target had waited for it")
    private val occupiedRequests = gauge("cactuspulley_occupied_requests", "Requests in flight at a pool's targets, of all instances")
    private val occupiedTokens = gauge("cactuspulley_occupied_tokens", "Token memory in use at a pool's targets, by all instances")
    private val waitingRequests = Gauge.builder().name("cactuspulley_waiting_requests").help("Requests that wait for a target")
        .register(registry)
    private val events = counter("cactuspulley_beliefs_total", "Changes of what the instance believes", "event")

    private val excessConnections =
        counter("cactuspulley_excess_connections_total", "Connections of clients that exceeded the limit", "clients")
    private val sent = counter("cactuspulley_sent_requests_total", "Requests sent to targets", "pool", "zone")
    private val zoneShares = Gauge.builder().name("cactuspulley_zone_share")
        .help("The share of a route's requests to a pool that leave the instance's zone").labelNames("pool", "route").register(registry)
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

    private val slowTargets = Gauge.builder().name("cactuspulley_slow_targets")
        .help("Targets at which work takes longer than usual").labelNames("pool").register(registry)

    private val configurationVersion = Gauge.builder().name("cactuspulley_configuration_version")
        .help("The version of the configuration in force; 0 before the first").register(registry)

    private val fleetInstances = Gauge.builder().name("cactuspulley_fleet_instances")
        .help("The instances that have announced themselves, this one included; 0 before its own announcement was read").register(registry)

    fun delivered(pool: String, duration: Duration, timing: StreamTiming) {
        responses.labelValues(pool).observe(duration.toDouble(DurationUnit.SECONDS))
        val timeToFirstEvent = timing.timeToFirstEvent ?: return
        firstEvents.labelValues(pool).observe(timeToFirstEvent.toDouble(DurationUnit.SECONDS))
        pauses.labelValues(pool).observe(timing.longestPause.toDouble(DurationUnit.SECONDS))
    }

    fun loopDelay(delay: Duration) = loopDelays.observe(delay.toDouble(DurationUnit.SECONDS))

    /** Counts [count] connections of [clients] beyond the limit. */
    fun excessConnections(clients: String, count: Int) = excessConnections.labelValues(clients).inc(count.toLong())

    fun refused(cause: String) = refusals.labelValues(cause).inc()

    fun attemptFailed(cause: String) = failedAttempts.labelValues(cause).inc()

    /** Counts a request that waits for the rate limit of a target. */
    fun heldForRateLimit() = rateLimited.labelValues("held").inc()

    /** Counts a request that is refused because of the rate limits of targets. */
    fun refusedForRateLimit() = rateLimited.labelValues("refused").inc()

    /** Counts a request that is sent to a target of [pool] in [zone]. */
    fun sent(pool: String, zone: String) = sent.labelValues(pool, zone).inc()

    /** Sets the [share] of the requests of [route] to [pool] that leave the zone of this instance. */
    fun zoneShare(pool: String, route: String, share: Double) = zoneShares.labelValues(pool, route).set(share)

    /** Counts a request that is refused because targets are full, or too small for it. */
    fun refusedAsFull(pool: String, cause: String) = fullRefusals.labelValues(pool, cause).inc()

    fun startedAfterWaiting(pool: String, waited: Duration) = queueTimes.labelValues(pool).observe(waited.toDouble(DurationUnit.SECONDS))

    fun waiting(requests: Int) = waitingRequests.set(requests.toDouble())

    fun occupied(pool: String, occupancy: Occupancy) {
        occupiedRequests.labelValues(pool).set(occupancy.requests.toDouble())
        occupiedTokens.labelValues(pool).set(occupancy.tokens.toDouble())
    }

    /** Sets the number of targets of [pool] that are slower than usual. */
    fun slowTargets(pool: String, count: Int) = slowTargets.labelValues(pool).set(count.toDouble())

    fun configured(version: Long) = configurationVersion.set(version.toDouble())

    fun fleetKnown(instances: Int) = fleetInstances.set(instances.toDouble())

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

    private fun gauge(name: String, help: String): Gauge = Gauge.builder().name(name).help(help).labelNames("pool").register(registry)

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).withoutExemplars().register(registry)
}
