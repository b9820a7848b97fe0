/*
 * The operator commands on keys. The plain key is printed once, when it is given; everywhere else a
 * key is its SHA-256 digest.
 */
package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import org.cactuspulley.core.configuration.KeyGrant
import org.cactuspulley.core.configuration.keyDigestOf
import org.cactuspulley.core.effect.WithdrawalState
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.runtime.operator.GivenKey
import org.cactuspulley.runtime.operator.WithdrawalReport
import com.github.ajalt.clikt.parameters.arguments.default as defaultArgument

internal object KeyCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all keys by their digests.", KeyGrant.serializer()) { it.keys.values },
        GiveKeyCommand(),
        WithdrawKeyCommand(),
    )
}

internal class GiveKeyCommand : OperatorSubcommand("give", "Gives a new key to a workspace and prints it, this once.") {
    private val workspace by argument()
    private val label by option(help = "What the key is for").default("")

    override fun run() {
        val givenKey = getOrExit(session.client.giveKey(WorkspaceId(workspace), label))
        echo(
            if (session.printsJson) {
                json.encodeToString(
                    GivenKey.serializer(),
                    givenKey,
                )
            } else {
                "${givenKey.plainKey}\ndigest ${givenKey.digest.hexadecimal}"
            },
        )
    }
}

internal class WithdrawKeyCommand : OperatorSubcommand("withdraw", "Withdraws a key, also while the log is down if --instance is given.") {
    private val digest by argument(help = "Digest of the key in hexadecimal, or its first characters").defaultArgument("")
    private val key by option(help = "The plain key instead of its digest")

    override fun run() {
        val report = getOrExit(session.client.withdrawKey(resolveDigest()))
        echo(if (session.printsJson) json.encodeToString(WithdrawalReport.serializer(), report) else formatReport(report))
        val isInForce = report.isKept || report.state == WithdrawalState.IN_FORCE_NOT_KEPT
        if (!isInForce) throw ProgramResult(ExitStatus.FAILURE)
    }

    private fun resolveDigest(): KeyDigest {
        val plainKey = key
        return when {
            plainKey != null -> keyDigestOf(plainKey)
            digest.length == DIGEST_CHARACTERS -> KeyDigest(digest)
            digest.isEmpty() -> throw UsageError("give a digest or --key")
            else -> findDigestByPrefix()
        }
    }

    private fun findDigestByPrefix(): KeyDigest {
        val matching = readConfiguration().keys.keys.filter { it.hexadecimal.startsWith(digest) }
        return matching.singleOrNull() ?: throw UsageError("$digest fits ${matching.size} keys")
    }

    private fun formatReport(report: WithdrawalReport): String = when {
        report.isKept -> "withdrawn"
        report.state == WithdrawalState.IN_FORCE_NOT_KEPT -> "in force, but not yet kept: the log has not taken the withdrawal"
        else -> "in force only at the instance that was asked: it reaches neither the log nor a majority"
    }

    private companion object {
        const val DIGEST_CHARACTERS = 64
    }
}
