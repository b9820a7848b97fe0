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

/** Runs a whole deployment with its callers in one process and prints a summary. */
internal class DemoCommand : CliktCommand(name = "demo") {
    private val deployment by option("--deployment", help = "Deployment to run")
        .choice(listOf(CASCADIA, QUEENSLAND).associateBy { it.name })
        .default(CASCADIA)
    private val seconds by option("--seconds", help = "Duration of the traffic, in seconds").int().restrictTo(1..60).default(12)
    private val seed by option("--seed", help = "Seed of the generated traffic").long().default(1)
    private val timeline by option("--timeline", metavar = "FILE", help = "Write the merged timeline to this file as JSON lines").path()
    private val asJson by option("--json", help = "Print the summary as one JSON object").flag()

    override fun help(context: Context): String =
        "Runs stand-ins, the instances of a deployment and callers in one process, and prints a summary of the answers."

    override fun run() {
        val demo = Demo(deployment, seed, seconds)
        val summary = try {
            runBlocking { demo.run(progressReporter()) }
        } catch (failure: DemoNotReadyException) {
            echo(failure.message, err = true)
            throw ProgramResult(ExitStatus.FAILURE)
        }
        timeline?.writeLines(demo.timeline.map(TimelineJsonLines::encode))
        echo(if (asJson) Json.encodeToString(DemoSummary.serializer(), summary) else formatSummary(summary))
        if (!summary.succeeded) throw ProgramResult(ExitStatus.FAILURE)
    }

    private fun progressReporter(): LoadProgress {
        if (asJson || System.console() == null) return LoadProgress { _, _ -> }
        return LoadProgress { sent, ended -> echo("\rsent $sent, answered $ended", trailingNewline = false, err = true) }
    }

    private fun formatSummary(summary: DemoSummary): String = buildString {
        appendLine("deployment ${summary.deployment}: ${summary.instances} instances, ${summary.requests} requests")
        appendLine("whole answers:        ${summary.completedWhole} of ${summary.requests}")
        if (summary.notCompleted.isNotEmpty()) appendLine("not completed:        ${summary.notCompleted}")
        appendLine("prefix hit rate:      ${"%.3f".format(summary.prefixHitRate)}")
        val timeToFirstToken = summary.timeToFirstToken
        appendLine("time to first token:  p50 ${timeToFirstToken.p50} ms, p95 ${timeToFirstToken.p95} ms, p99 ${timeToFirstToken.p99} ms")
        append("violated promises:    ${if (summary.violations.isEmpty()) "none" else summary.violations.joinToString("\n  ", "\n  ")}")
    }
}
