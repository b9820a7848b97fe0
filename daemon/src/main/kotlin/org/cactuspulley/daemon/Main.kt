package org.cactuspulley.daemon

import ch.qos.logback.classic.Level
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption
import org.cactuspulley.runtime.logging.configureLogging
import org.cactuspulley.runtime.settings.LogFormat
import kotlin.system.exitProcess

/** The root command; it only holds the subcommands. */
internal class CactuspulleyCommand : NoOpCliktCommand(name = "cactuspulley") {
    init {
        versionOption(VERSION)
        subcommands(
            DemoCommand(),
            RouterCommand(),
            CheckSettingsCommand(),
            OperatorCommand(),
            StandinCommand(),
            GenerateTraceCommand(),
            ReplayCommand(),
            TimelineCommand(),
            ExplainCommand(),
            MeasureCapacityCommand(),
        )
    }
}

/** The version that `--version` prints. */
internal const val VERSION = "0.1.0"

/** The exit statuses of the process. */
internal object ExitStatus {
    /** The command succeeded. */
    const val SUCCESS = 0

    /** The command was started and failed. */
    const val FAILURE = 1

    /** The arguments, the settings or the trace are invalid; the command took no effect. */
    const val USAGE_ERROR = 2
}

/** Runs the command line [arguments] and returns the exit status. */
internal fun runCommandLine(arguments: List<String>): Int {
    val command = CactuspulleyCommand()
    return try {
        command.parse(arguments)
        ExitStatus.SUCCESS
    } catch (error: UsageError) {
        command.echoFormattedHelp(error)
        ExitStatus.USAGE_ERROR
    } catch (error: CliktError) {
        command.echoFormattedHelp(error)
        error.statusCode
    }
}

/** Configures logging, runs the command line and exits with its status. */
public fun main(arguments: Array<String>) {
    System.setProperty("kotlin-logging.logStartupMessage", "false")
    configureLogging(LogFormat.TEXT, Level.WARN)
    exitProcess(runCommandLine(arguments.toList()))
}
