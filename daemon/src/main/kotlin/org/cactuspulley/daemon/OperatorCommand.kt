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

/** Shows and changes the configuration of all instances through the platform's log. */
internal class OperatorCommand : CliktCommand(name = "operator") {
    private val settings by option(help = "Settings file of an instance; gives the addresses of the log and the secret").path()
    private val log by option(help = "Address of the log, host:port; may be repeated").multiple()
    private val instance by option(
        help = "Address of an instance, host:port, that gets key withdrawals directly, also while the log is down; may be repeated",
    ).multiple()
    private val secret by option(help = "Secret that the instances share", envvar = "CACTUSPULLEY_SECRET")
    private val json by option(help = "Print results as JSON").flag()

    init {
        subcommands(
            OperatorCommandGroup("profiles", "Manages profiles: rate limits, bursts and queueing.", ProfileCommands.all()),
            OperatorCommandGroup("workspaces", "Manages workspaces and their permitted profiles.", WorkspaceCommands.all()),
            OperatorCommandGroup("keys", "Manages the keys of workspaces.", KeyCommands.all()),
            OperatorCommandGroup("routes", "Manages routes from path prefixes to pools of services.", RouteCommands.all()),
            OperatorCommandGroup("models", "Manages models, their weights and their adapters.", ModelCommands.all()),
            OperatorCommandGroup("targets", "Manages targets.", TargetCommands.all()),
            OperatorCommandGroup("limits", "Changes the rate and the burst of a profile.", listOf(SetLimitCommand())),
            OperatorCommandGroup("plan", "Manages the settings that apply to all instances.", FleetPlanCommands.all()),
        )
    }

    override fun help(context: Context): String = "Shows and changes the configuration of all instances."

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
        if (texts.isEmpty()) throw UsageError("either --log HOST:PORT or --settings FILE is required")
        return texts
    }

    private fun addresses(option: String, texts: List<String>): List<HostAndPort> =
        texts.map { HostAndPort.parse(it) ?: throw UsageError("$option: $it is not host:port") }
}

/** Groups the subcommands for one kind of value. */
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
