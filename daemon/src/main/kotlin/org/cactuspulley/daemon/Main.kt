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

/** The root of the command line. */
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

/** The status with which the process ends. */
internal object ExitStatus {
    /** The work was done. */
    const val SUCCESS = 0

    /** The work was tried and failed. */
    const val FAILURE = 1

    /** The arguments or the settings are wrong; nothing was tried. */
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

/** Starts the command line. */
public fun main(arguments: Array<String>) {
    System.setProperty("kotlin-logging.logStartupMessage", "false")
    configureLogging(LogFormat.TEXT, Level.WARN)
    exitProcess(runCommandLine(arguments.toList()))
}
