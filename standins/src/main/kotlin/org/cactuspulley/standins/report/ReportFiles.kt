package org.cactuspulley.standins.report

import kotlinx.serialization.json.Json
import org.cactuspulley.runtime.timeline.TimelineJsonLines
import org.cactuspulley.standins.checker.RunRecord
import java.nio.file.Files
import java.nio.file.Path

/** Encodes the report of a replay and writes its files. */
public object ReportFiles {
    private val json = Json { prettyPrint = true }

    /** Encodes [report] as JSON. */
    public fun json(report: ReplayReport): String = json.encodeToString(ReplayReport.serializer(), report)

    /**
     * Writes `report.json`, `report.html` and, for each of [runs], `timeline-POLICY.jsonl` with the merged time line of all
     * instances to [directory]. Creates [directory] if it does not exist.
     */
    public fun write(directory: Path, report: ReplayReport, runs: List<RunRecord>) {
        // The charts are drawn with AWT, which needs no display in headless mode.
        System.setProperty("java.awt.headless", "true")
        Files.createDirectories(directory)
        Files.writeString(directory.resolve("report.json"), json(report) + "\n")
        Files.writeString(directory.resolve("report.html"), ReportPage(report, runs).html())
        runs.forEach { Files.write(directory.resolve("timeline-${it.policy}.jsonl"), it.timeline.map(TimelineJsonLines::encode)) }
    }
}
