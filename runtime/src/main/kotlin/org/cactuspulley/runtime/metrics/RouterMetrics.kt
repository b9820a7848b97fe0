package org.cactuspulley.runtime.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cactuspulley.core.timeline.TimelineEvent
import java.io.ByteArrayOutputStream

/** Holds the metrics of one instance and renders them for Prometheus. */
public class RouterMetrics {
    private val registry = PrometheusRegistry()

    private val events = Counter.builder()
        .name("cactuspulley_events_total")
        .help("Decisions on the time line, by kind")
        .labelNames("kind")
        .register(registry)

    init {
        JvmMetrics.builder().register(registry)
    }

    /** Increments the counter of timeline events of the kind of [event]. */
    public fun count(event: TimelineEvent): Unit = events.labelValues(event::class.simpleName.orEmpty()).inc()

    /** Registers a gauge whose value is computed by [read] at each scrape. */
    public fun registerGauge(name: String, help: String, read: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(read()) }.register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun text(): ByteArray = registry.text()

    public companion object {
        /** The content type of the result of [text]. */
        public const val CONTENT_TYPE: String = PrometheusTextFormatWriter.CONTENT_TYPE
    }
}

/** Returns all metrics of this registry in the Prometheus text format. */
internal fun PrometheusRegistry.text(): ByteArray {
    val output = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(output, scrape())
    return output.toByteArray()
}
