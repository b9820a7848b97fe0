package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.fold
import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.trace.FaultSet
import org.cactuspulley.standins.trace.TraceFile
import org.cactuspulley.standins.trace.TraceGenerator

/** Writes a generated trace of a deployment's traffic; equal options give an identical file. */
public class GenerateTraceCommand : CliktCommand(name = "generate-trace") {
    private val deployment by option(help = "Deployment whose traffic is generated").choice(
        DeploymentPlan.all.associateBy {
            it.name
        },
    ).required()
    private val seed by option(help = "Seed of the random generator").long().default(1)
    private val seconds by option(help = "Duration of the trace, in seconds").int().restrictTo(min = 1).default(60)
    private val faults by option(help = "Incidents to include").choice(FaultSet.entries.associateBy { it.text }).default(FaultSet.NONE)
    private val out by option(help = "File to write").path().required()

    override fun help(context: Context): String = "Generates a trace of a deployment's traffic."

    override fun run() {
        val trace = TraceGenerator(deployment, seed, seconds).generate(faults)
        TraceFile.write(out, trace).fold(
            success = { echo("$out: ${trace.arrivals.size} requests, ${trace.incidents.size} incidents") },
            failure = {
                echo(it.message, err = true)
                throw ProgramResult(1)
            },
        )
    }
}
