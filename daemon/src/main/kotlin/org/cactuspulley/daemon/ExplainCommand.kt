package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import org.cactuspulley.runtime.logging.LoggedDecision
import org.cactuspulley.runtime.logging.parseDecision
import org.cactuspulley.runtime.logging.requestHistory
import java.nio.file.Path
import java.time.Instant
import kotlin.io.path.name
import kotlin.io.path.useLines

/** Prints what all processes decided on one request, and why. */
internal class ExplainCommand : CliktCommand(name = "explain") {
    private val request by option("--request", metavar = "ID", help = "The request's id").required()
    private val logs by argument(
        "LOG",
        help = "Logs of processes, one file each",
    ).path(mustExist = true, canBeDir = false).multiple(required = true)

    override fun help(context: Context): String = "Prints what all processes decided on one request and had learnt shortly before."

    override fun run() {
        val story = requestHistory(request, logs.flatMap(::decisionsIn))
        if (story.none { it.request == request }) {
            echo("no log names request $request", err = true)
            throw ProgramResult(ExitStatus.FAILED)
        }
        story.forEach { echo(lineOf(it)) }
    }

    private fun decisionsIn(log: Path): List<LoggedDecision> =
        log.useLines { lines -> lines.mapNotNull { parseDecision(log.name, it) }.toList() }

    private fun lineOf(decision: LoggedDecision): String {
        val details = decision.details.entries.joinToString(" ") { (name, value) -> "$name=$value" }
        return "${Instant.ofEpochMilli(decision.atMillis)} ${decision.process} ${decision.event} $details".trimEnd()
    }
}
