package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.getOrElse
import org.cactuspulley.runtime.logging.configureLogging
import org.cactuspulley.runtime.settings.LogFormat
import org.cactuspulley.runtime.settings.RoutingPolicyName
import org.cactuspulley.standins.checker.PromiseChecker
import org.cactuspulley.standins.checker.RunRecord
import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.load.LoadProgress
import org.cactuspulley.standins.replay.Replay
import org.cactuspulley.standins.report.PolicyMetrics
import org.cactuspulley.standins.report.ReplayReport
import org.cactuspulley.standins.report.ReportFiles
import org.cactuspulley.standins.report.computeMetrics
import org.cactuspulley.standins.trace.Trace
import org.cactuspulley.standins.trace.TraceFile

/** Replays a trace under each policy in turn and writes the report; fails if a run violated a promise. */
public class ReplayCommand : CliktCommand(name = "replay") {
    private val traceFile by option("--trace", help = "Trace to replay").path().required()
    private val policies by option("--policy", help = "Target selection policy; may be repeated")
        .choice(RoutingPolicyName.entries.associateBy { it.text })
        .multiple(default = listOf(RoutingPolicyName.PREFIX_AWARE))
    private val speed by option(help = "Replay speed as a multiple of the recorded speed").double().restrictTo(min = 0.01).default(1.0)
    private val report by option("--report", help = "Directory for report.json and report.html").path().required()

    override fun help(context: Context): String = "Replays a trace against stand-ins over loopback and measures each policy."

    override fun run() {
        configureLogging(LogFormat.TEXT)
        val trace = TraceFile.read(traceFile).getOrElse { exitWith("$traceFile: ${it.message}", ExitStatus.USAGE_ERROR) }
        val deploymentName = trace.start.deployment
        val plan = DeploymentPlan.named(deploymentName)
            ?: exitWith(
                "unknown deployment $deploymentName; allowed: ${DeploymentPlan.all.joinToString {
                    it.name
                }}",
                ExitStatus.USAGE_ERROR,
            )
        val runs = policies.map { replay(plan, trace, it) }
        val figures = runs.map { computeMetrics(it, PromiseChecker().check(it)) }
        val start = trace.start
        val replayReport = ReplayReport(start.deployment, start.seed, start.seconds, start.faults, speed, figures)
        ReportFiles.write(report, replayReport, runs)
        figures.forEach(::printFigures)
        echo("report: ${report.resolve("report.html")}")
        if (replayReport.hasViolations) throw ProgramResult(ExitStatus.FAILURE)
    }

    private fun replay(plan: DeploymentPlan, trace: Trace, policy: RoutingPolicyName): RunRecord {
        val total = trace.arrivals.size
        val progress = LoadProgress { sent, ended ->
            val line = "\r${policy.text}: $sent of $total sent, $ended ended"
            if (System.console() != null) echo(line, trailingNewline = false)
        }
        val run =
            Replay(plan, trace, speed).run(policy, progress)
                ?: exitWith("${policy.text}: the instances did not become ready", ExitStatus.FAILURE)
        echo("")
        return run
    }

    private fun printFigures(figures: PolicyMetrics) {
        val ttft = figures.timeToFirstTokenMillis
        echo(
            "${figures.policy}: ${figures.completedWhole} of ${figures.requests} whole, " +
                "${figures.refusedOverRate} over rate, ${figures.failed} failed",
        )
        echo(
            "  hit rate %.3f (oracle %.3f), wasted %,d tokens".format(
                figures.prefixHitRate,
                figures.oracleHitRate,
                figures.wastedRecomputeTokens,
            ),
        )
        echo("  first token p50 %.0f ms, p95 %.0f ms, p99 %.0f ms".format(ttft.p50, ttft.p95, ttft.p99))
        echo("  violations: ${figures.violations.filterValues { it > 0 }.ifEmpty { "none" }}")
    }

    private fun exitWith(message: String, status: Int): Nothing {
        echo(message, err = true)
        throw ProgramResult(status)
    }
}
