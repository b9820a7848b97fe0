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

/** What all operator commands share: the client and how answers look. */
internal class OperatorSession(val client: OperatorClient, val printsJson: Boolean)

/** A command that changes or shows the configuration. */
internal abstract class OperatorSubcommand(name: String, private val helpText: String) : CliktCommand(name = name) {
    protected val session: OperatorSession by requireObject()

    override fun help(context: Context): String = helpText

    /** Appends what [build] makes of the present configuration and says at which version it was accepted. */
    protected fun change(build: (Configuration) -> Result<OperatorRecord, OperatorFailure>) {
        val offset = getOrExit(session.client.change(build))
        echo(if (session.printsJson) "{\"accepted\":true,\"version\":${offset.number}}" else "accepted as version ${offset.number}")
    }

    protected fun readConfiguration(): Configuration = getOrExit(session.client.read())

    protected fun <T> getOrExit(result: Result<T, OperatorFailure>): T = result.getOrElse { failure ->
        echo(failure.message, err = true)
        throw ProgramResult(ExitStatus.FAILURE)
    }

    /** Prints each value on a line of its own, or all as one JSON array. */
    protected fun <T> printValues(values: Collection<T>, serializer: KSerializer<T>) {
        val lines = values.map { json.encodeToString(serializer, it) }
        if (session.printsJson) echo(lines.joinToString(",", "[", "]")) else lines.forEach { echo(it) }
    }

    protected companion object {
        val json = Json { encodeDefaults = true }
    }
}

/** A command that shows all values of one kind. */
internal class ListCommand<T>(
    helpText: String,
    private val serializer: KSerializer<T>,
    private val valuesOf: (Configuration) -> Collection<T>,
) : OperatorSubcommand("list", helpText) {
    override fun run() = printValues(valuesOf(readConfiguration()), serializer)
}

/** The version of the value called [name], or the failure that there is none. */
internal fun <K, V> Map<K, Versioned<V>>.versionOf(name: K, kind: String): Result<LogOffset, OperatorFailure> {
    val version = this[name]?.version
    return if (version == null) Err(OperatorFailure.ValueUnknown(kind, "$name")) else Ok(version)
}
