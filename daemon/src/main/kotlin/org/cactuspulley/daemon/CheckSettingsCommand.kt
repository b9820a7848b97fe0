package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.fold
import org.cactuspulley.runtime.settings.loadRouterSettings

/** Validates a settings file; the error names the invalid key and its allowed values. */
internal class CheckSettingsCommand : CliktCommand(name = "check-settings") {
    private val file by argument(help = "Settings file in TOML").path()

    override fun help(context: Context): String = "Validates a settings file without starting anything."

    override fun run() = loadRouterSettings(file).fold(
        success = { echo("$file: instance ${it.instance.id} in zone ${it.instance.zone}, the settings are valid") },
        failure = { error ->
            echo(error.message, err = true)
            throw ProgramResult(ExitStatus.USAGE_ERROR)
        },
    )
}
