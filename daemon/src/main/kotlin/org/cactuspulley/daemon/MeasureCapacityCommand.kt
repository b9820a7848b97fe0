package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import org.cactuspulley.standins.capacity.CapacityMeasurement
import org.cactuspulley.standins.capacity.CapacityReport
import org.cactuspulley.standins.capacity.CapacitySample
import kotlin.io.path.writeText

/** Measures how the control traffic, processor time and heap of one instance grow with the size of the deployment. */
public class MeasureCapacityCommand : CliktCommand(name = "measure-capacity") {
    private val out by option(help = "File to write the report to, in JSON").path()

    override fun help(context: Context): String = "Measures control traffic, processor time and heap per instance at several sizes."

    override fun run() {
        val report = CapacityMeasurement(::printSample).run()
        report.slopes.forEach { echo("%-26s per %-36s %14.6f, from %14.4f".format(it.quantity, it.size, it.slope, it.intercept)) }
        out?.writeText(REPORT_JSON.encodeToString(CapacityReport.serializer(), report))
    }

    private fun printSample(sample: CapacitySample) {
        val load = sample.load
        val fleetSize = "%4d instances %5d workspaces %4d targets %4d events/s".format(
            load.instances,
            load.workspaces,
            load.targets,
            load.cacheEventsPerSecond,
        )
        val resourceUse = "%9.0f bytes/s %7.1f calls/s %7.3f %% of a core %9.0f KB heap".format(
            sample.bytesPerSecond,
            sample.callsPerSecond,
            sample.processorShare * PERCENT,
            sample.heapBytes / BYTES_PER_KILOBYTE,
        )
        echo("$fleetSize: $resourceUse")
    }

    private companion object {
        const val PERCENT = 100
        const val BYTES_PER_KILOBYTE = 1024.0
        val REPORT_JSON = Json { prettyPrint = true }
    }
}
