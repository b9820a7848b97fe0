package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.cactuspulley.runtime.timeline.TimelineJsonLines
import org.cactuspulley.standins.demo.Demo
import org.cactuspulley.standins.demo.DemoNotReadyException
import org.cactuspulley.standins.demo.DemoSummary
import org.cactuspulley.standins.deployment.CASCADIA
import org.cactuspulley.standins.deployment.QUEENSLAND
import org.cactuspulley.standins.load.LoadProgress
import kotlin.io.path.writeLines

/** Shows the main job in one process. */
internal class DemoCommand : CliktCommand(name = "demo") {
    private val deployment by option("--deployment", help = "Which deployment is shown")
        .choice(listOf(CASCADIA, QUEENSLAND).associateBy { it.name })
        .default(CASCADIA)
    private val seconds by option("--seconds", help = "Seconds of traffic").int().restrictTo(1..60).default(12)
    private val seed by option("--seed", help = "Decides the traffic").long().default(1)
    private val timeline by option("--timeline", metavar = "FILE", help = "Write the merged time line as JSON lines").path()
    private val asJson by option("--json", help = "Print the summary as one JSON object").flag()

    override fun help(context: Context): String =
        "Runs stand-ins, the instances of a deployment and callers in one process, and sums up what the callers got."

    override fun run() {
        val demo = Demo(deployment, seed, seconds)
        val summary = try {
            runBlocking { demo.run(progress()) }
        } catch (failure: DemoNotReadyException) {
            echo(failure.message, err = true)
            throw ProgramResult(ExitStatus.FAILED)
        }
        timeline?.writeLines(demo.timeline.map(TimelineJsonLines::encode))
        echo(if (asJson) Json.encodeToString(DemoSummary.serializer(), summary) else textOf(summary))
        if (!summary.succeeded) throw ProgramResult(ExitStatus.FAILED)
    }

    private fun progress(): LoadProgress {
        if (asJson || System.console() == null) return LoadProgress { _, _ -> }
        return LoadProgress { sent, ended -> echo("\rsent $sent, answered $ended", trailingNewline = false, err = true) }
    }

    private fun textOf(summary: DemoSummary): String = buildString {
        appendLine("deployment ${summary.deployment}: ${summary.instances} instances, ${summary.requests} requests")
        appendLine("whole answers:        ${summary.completedWhole} of ${summary.requests}")
        if (summary.notCompleted.isNotEmpty()) appendLine("not completed:        ${summary.notCompleted}")
        appendLine("prefix hit rate:      ${"%.3f".format(summary.prefixHitRate)}")
        val times = summary.timeToFirstToken
        appendLine("time to first token:  p50 ${times.p50} ms, p95 ${times.p95} ms, p99 ${times.p99} ms")
        append("violated promises:    ${if (summary.violations.isEmpty()) "none" else summary.violations.joinToString("\n  ", "\n  ")}")
    }
}
