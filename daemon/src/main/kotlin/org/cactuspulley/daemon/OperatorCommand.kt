package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import org.cactuspulley.runtime.operator.OperatorClient
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.settings.RouterSettings
import org.cactuspulley.runtime.settings.loadRouterSettings

/** Changes and shows the configuration of the fleet through the platform's log. */
internal class OperatorCommand : CliktCommand(name = "operator") {
    private val settings by option(help = "Settings file of an instance, for the log's addresses and the secret").path()
    private val log by option(help = "Address of the log, host:port; may be given several times").multiple()
    private val instance by option(help = "Address of an instance, host:port, for withdrawals while the log is down").multiple()
    private val secret by option(help = "Secret that the instances share", envvar = "CACTUSPULLEY_SECRET")
    private val json by option(help = "Answer in JSON").flag()

    init {
        subcommands(
            OperatorCommandGroup("profiles", "Rates, bursts and treatment of traffic.", ProfileCommands.all()),
            OperatorCommandGroup("workspaces", "Customers and the profiles that they may use.", WorkspaceCommands.all()),
            OperatorCommandGroup("keys", "Keys of workspaces.", KeyCommands.all()),
            OperatorCommandGroup("routes", "Paths that lead to plain services.", RouteCommands.all()),
            OperatorCommandGroup("models", "Models and their weights.", ModelCommands.all()),
            OperatorCommandGroup("targets", "Back ends.", TargetCommands.all()),
            OperatorCommandGroup("limits", "Rate and burst of a profile.", listOf(SetLimitCommand())),
            OperatorCommandGroup("plan", "Settings of the whole fleet.", FleetPlanCommands.all()),
        )
    }

    override fun help(context: Context): String = "Changes and shows the configuration of the fleet."

    override fun run() {
        val routerSettings = settings?.let { file ->
            loadRouterSettings(file).getOrElse { error ->
                echo(error.message, err = true)
                throw ProgramResult(ExitStatus.USAGE_ERROR)
            }
        }
        val client = OperatorClient(
            log = addresses("--log", logAddresses(routerSettings)),
            instances = addresses("--instance", instance),
            secret = secret ?: routerSettings?.peers?.secret,
        )
        currentContext.callOnClose(client::close)
        currentContext.obj = OperatorSession(client, json)
    }

    private fun logAddresses(routerSettings: RouterSettings?): List<String> {
        val texts = log.ifEmpty { routerSettings?.platform?.log.orEmpty() }
        if (texts.isEmpty()) throw UsageError("give --log HOST:PORT or --settings FILE")
        return texts
    }

    private fun addresses(option: String, texts: List<String>): List<HostAndPort> =
        texts.map { HostAndPort.parse(it) ?: throw UsageError("$option: $it is not host:port") }
}

/** A group of commands on one kind of value. */
internal class OperatorCommandGroup(
    name: String,
    private val helpText: String,
    actions: List<OperatorSubcommand>,
) : CliktCommand(name = name) {
    init {
        subcommands(actions)
    }

    override fun help(context: Context): String = helpText

    override fun run() = Unit
}
