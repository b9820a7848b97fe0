package org.cactuspulley.standins.report

import org.cactuspulley.standins.checker.RunRecord
import org.cactuspulley.standins.load.RequestOutcome
import org.cactuspulley.standins.server.CallOutcome
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChart
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.internal.chartpart.Chart
import org.knowm.xchart.style.markers.SeriesMarkers
import java.util.Base64

/**
 * Renders a replay as one self-contained HTML page with metrics, charts, incidents and violations.
 *
 * @param report the metrics of the replay.
 * @param runs the runs that [report] was computed from.
 */
public class ReportPage(private val report: ReplayReport, private val runs: List<RunRecord>) {
    /** Returns the page as HTML text, with the charts embedded as PNG images. */
    public fun html(): String = buildString {
        append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Replay ${report.deployment}</title>")
        append("<style>body{font:14px sans-serif;max-width:1000px;margin:2em auto}td,th{padding:2px 10px;text-align:right}")
        append("td:first-child,th:first-child{text-align:left}img{max-width:100%}</style></head><body>")
        append("<h1>${report.deployment}, ${report.seconds} s, faults ${report.faults}, seed ${report.seed}</h1>")
        append(metricsTable())
        append(chartSection("Time to first token of interactive requests", timeToFirstTokenChart()))
        append(chartSection("Prefix hit rate over time", hitRateChart()))
        append(chartSection("99th percentile of time to first token by workspace", workspaceChart()))
        append(incidentTable())
        append(violationList())
        append("</body></html>\n")
    }

    private fun metricsTable() = table(
        listOf(
            "policy", "requests", "whole", "over rate", "within rate", "failed",
            "hit rate", "oracle", "p50 ms", "p95 ms", "p99 ms", "wasted tokens",
        ),
        report.policies.map {
            listOf(
                it.policy, it.requests, it.completedWhole, it.refusedOverRate, it.refusedWithinRate, it.failed,
                formatDecimal(it.prefixHitRate), formatDecimal(it.oracleHitRate), it.timeToFirstTokenMillis.p50.toLong(),
                it.timeToFirstTokenMillis.p95.toLong(), it.timeToFirstTokenMillis.p99.toLong(), it.wastedRecomputeTokens,
            )
        },
    )

    private fun formatDecimal(value: Double) = "%.3f".format(java.util.Locale.ROOT, value)

    /**
     * Draws, for each run, the cumulative distribution of the time to first token of completed interactive requests. Times
     * below 1 ms count as 1 ms because the axis is logarithmic.
     */
    private fun timeToFirstTokenChart(): XYChart = xyChart("milliseconds, logarithmic", "share of requests").also { chart ->
        chart.styler.isXAxisLogarithmic = true
        runs.forEach { run ->
            val times = run.requests.filter { it.promptTokens > 0 && !it.mayWait && it.outcome == RequestOutcome.COMPLETED }
                .map { it.timeToFirstTokenMillis.coerceAtLeast(1.0) }.sorted()
            if (times.isNotEmpty()) addSeries(chart, run.policy, times, times.indices.map { (it + 1.0) / times.size })
        }
    }

    /** Draws the prefix hit rate of the completed engine calls that started in each window of [HIT_RATE_WINDOW_SECONDS]. */
    private fun hitRateChart(): XYChart = xyChart("seconds", "hit rate").also { chart ->
        runs.forEach { run ->
            val callsByWindow = run.calls.filter { it.promptTokens > 0 && it.outcome == CallOutcome.COMPLETED }
                .groupBy { (it.startNanoseconds - run.startNanoseconds) / HIT_RATE_WINDOW_NANOSECONDS }
                .toSortedMap()
            if (callsByWindow.isNotEmpty()) {
                val rates = callsByWindow.values.map { calls ->
                    calls.sumOf { it.cachedTokens }.toDouble() / calls.sumOf { it.promptTokens }
                }
                addSeries(chart, run.policy, callsByWindow.keys.map { it * HIT_RATE_WINDOW_SECONDS }, rates)
            }
        }
    }

    private fun workspaceChart(): CategoryChart {
        val chart = CategoryChartBuilder().width(CHART_WIDTH_PIXELS).height(CHART_HEIGHT_PIXELS).yAxisTitle("milliseconds").build()
        report.policies.filter { it.workspaces.isNotEmpty() }.forEach { metrics ->
            chart.addSeries(metrics.policy, metrics.workspaces.map { it.id.text }, metrics.workspaces.map { it.timeToFirstTokenP99Millis })
        }
        return chart
    }

    private fun xyChart(xTitle: String, yTitle: String): XYChart =
        XYChartBuilder().width(CHART_WIDTH_PIXELS).height(CHART_HEIGHT_PIXELS).xAxisTitle(xTitle).yAxisTitle(yTitle).build()

    private fun addSeries(chart: XYChart, name: String, x: List<Number>, y: List<Number>) {
        chart.addSeries(name, x, y).marker = SeriesMarkers.NONE
    }

    private fun chartSection(title: String, chart: Chart<*, *>): String {
        val image = Base64.getEncoder().encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
        return "<h2>$title</h2><img alt=\"$title\" src=\"data:image/png;base64,$image\">"
    }

    /** Lists the incidents of the first run only, with their times in seconds since its start. */
    private fun incidentTable(): String {
        val rows = runs.firstOrNull()?.incidents.orEmpty().sortedBy { it.startNanoseconds }.map { executed ->
            val startSeconds = (executed.startNanoseconds - runs.first().startNanoseconds) / NANOSECONDS_PER_SECOND
            val endSeconds = (executed.endNanoseconds - runs.first().startNanoseconds) / NANOSECONDS_PER_SECOND
            listOf(
                executed.incident::class.simpleName.orEmpty(),
                formatDecimal(startSeconds),
                formatDecimal(endSeconds),
                escapeHtml(executed.failure ?: "carried out"),
            )
        }
        return "<h2>Incidents</h2>" + table(listOf("incident", "from s", "to s", ""), rows)
    }

    private fun violationList(): String = report.policies.joinToString("", "<h2>Violations</h2>") { metrics ->
        val items = metrics.violationDetails.joinToString("") { "<li>${escapeHtml(it)}</li>" }
        "<h3>${metrics.policy}: ${metrics.violations.values.sum()}</h3><ul>$items</ul>"
    }

    private fun table(headers: List<String>, rows: List<List<Any>>): String {
        val headerRow = headers.joinToString("", "<tr>", "</tr>") { "<th>$it</th>" }
        return rows.joinToString("", "<table>$headerRow", "</table>") { row -> row.joinToString("", "<tr>", "</tr>") { "<td>$it</td>" } }
    }

    private fun escapeHtml(text: String) = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

    private companion object {
        const val CHART_WIDTH_PIXELS = 900
        const val CHART_HEIGHT_PIXELS = 380
        const val HIT_RATE_WINDOW_SECONDS = 2L
        const val HIT_RATE_WINDOW_NANOSECONDS = HIT_RATE_WINDOW_SECONDS * 1_000_000_000L
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
