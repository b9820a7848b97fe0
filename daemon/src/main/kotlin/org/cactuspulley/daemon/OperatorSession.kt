package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.record.OperatorRecord
import org.cactuspulley.runtime.operator.OperatorClient
import org.cactuspulley.runtime.operator.OperatorFailure

/** Holds what all operator subcommands share: the client and whether results are printed as JSON. */
internal class OperatorSession(val client: OperatorClient, val printsJson: Boolean)

/** The base class of subcommands that show or change the configuration. */
internal abstract class OperatorSubcommand(name: String, private val helpText: String) : CliktCommand(name = name) {
    protected val session: OperatorSession by requireObject()

    override fun help(context: Context): String = helpText

    /** Appends the record that [build] derives from the current configuration and prints the version at which it was accepted. */
    protected fun change(build: (Configuration) -> Result<OperatorRecord, OperatorFailure>) {
        val offset = getOrFail(session.client.change(build))
        echo(if (session.printsJson) "{\"accepted\":true,\"version\":${offset.number}}" else "accepted as version ${offset.number}")
    }

    protected fun readConfiguration(): Configuration = getOrFail(session.client.read())

    /** Returns the value of [result]; on a failure, prints its message and ends the command. */
    protected fun <T> getOrFail(result: Result<T, OperatorFailure>): T = result.getOrElse { failure ->
        echo(failure.message, err = true)
        throw ProgramResult(ExitStatus.FAILURE)
    }

    /** Prints [values] as one JSON object per line, or as a single JSON array with `--json`. */
    protected fun <T> printValues(values: Collection<T>, serializer: KSerializer<T>) {
        val lines = values.map { json.encodeToString(serializer, it) }
        if (session.printsJson) echo(lines.joinToString(",", "[", "]")) else lines.forEach { echo(it) }
    }

    protected companion object {
        val json = Json { encodeDefaults = true }
    }
}

/** Lists all values of one kind. */
internal class ListCommand<T>(
    helpText: String,
    private val serializer: KSerializer<T>,
    private val valuesOf: (Configuration) -> Collection<T>,
) : OperatorSubcommand("list", helpText) {
    override fun run() = printValues(valuesOf(readConfiguration()), serializer)
}

/** Returns the version of the value called [name], or a failure if it does not exist. */
internal fun <K, V> Map<K, Versioned<V>>.versionOf(name: K, kind: String): Result<LogOffset, OperatorFailure> {
    val version = this[name]?.version
    return if (version == null) Err(OperatorFailure.ValueUnknown(kind, "$name")) else Ok(version)
}
