package org.cactuspulley.runtime.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cactuspulley.core.timeline.TimelineEvent
import java.io.ByteArrayOutputStream

/** The metrics of one instance. */
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

    /** Counts one decision. */
    public fun count(event: TimelineEvent): Unit = events.labelValues(event::class.simpleName.orEmpty()).inc()

    /** Shows a value that [read] gives whenever the metrics are read. */
    public fun registerGauge(name: String, help: String, read: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(read()) }.register(registry)
    }

    /** All metrics in Prometheus's text format. */
    public fun text(): ByteArray = registry.text()

    public companion object {
        /** The media type of [text]. */
        public const val CONTENT_TYPE: String = PrometheusTextFormatWriter.CONTENT_TYPE
    }
}

/** All metrics of this registry in Prometheus's text format. */
internal fun PrometheusRegistry.text(): ByteArray {
    val output = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(output, scrape())
    return output.toByteArray()
}
