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

/** Prints the logged decisions of all processes about one request and what each was based on. */
internal class ExplainCommand : CliktCommand(name = "explain") {
    private val request by option("--request", metavar = "ID", help = "ID of the request").required()
    private val logs by argument(
        "LOG",
        help = "Log files, one per process",
    ).path(mustExist = true, canBeDir = false).multiple(required = true)

    override fun help(context: Context): String = "Prints all decisions about one request and the state changes shortly before them."

    override fun run() {
        val decisions = requestHistory(request, logs.flatMap(::readDecisions))
        if (decisions.none { it.request == request }) {
            echo("no log contains request $request", err = true)
            throw ProgramResult(ExitStatus.FAILURE)
        }
        decisions.forEach { echo(formatDecision(it)) }
    }

    private fun readDecisions(log: Path): List<LoggedDecision> =
        log.useLines { lines -> lines.mapNotNull { parseDecision(log.name, it) }.toList() }

    private fun formatDecision(decision: LoggedDecision): String {
        val details = decision.details.entries.joinToString(" ") { (name, value) -> "$name=$value" }
        return "${Instant.ofEpochMilli(decision.atMillis)} ${decision.process} ${decision.event} $details".trimEnd()
    }
}
