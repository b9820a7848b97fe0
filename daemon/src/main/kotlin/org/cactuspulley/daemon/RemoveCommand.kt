package org.cactuspulley.daemon

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.michaelbull.result.Result
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.record.OperatorRecord
import org.cactuspulley.runtime.operator.OperatorFailure

/**
 * Removes one value.
 *
 * @property recordFor builds the removal record from the name of the value and the current configuration.
 */
internal class RemoveCommand(
    helpText: String,
    private val recordFor: (String, Configuration) -> Result<OperatorRecord, OperatorFailure>,
) : OperatorSubcommand("remove", helpText) {
    private val name by argument()

    override fun run() = change { recordFor(name, it) }
}
