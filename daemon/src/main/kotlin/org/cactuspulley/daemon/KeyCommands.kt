/*
 * Operator commands that list, give and withdraw keys. The plain key is printed only once, when it is
 * given; the log and all other output contain only its SHA-256 digest.
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
import org.cactuspulley.runtime.operator.IssuedKey
import org.cactuspulley.runtime.operator.WithdrawalReport
import com.github.ajalt.clikt.parameters.arguments.default as defaultArgument

/** Creates the subcommands of `operator keys`. */
internal object KeyCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Lists all keys by their digests.", KeyGrant.serializer()) { it.keys.values },
        GiveKeyCommand(),
        WithdrawKeyCommand(),
    )
}

/** Gives a new key to a workspace. */
internal class GiveKeyCommand : OperatorSubcommand("give", "Gives a new key to a workspace and prints it; the key cannot be shown again.") {
    private val workspace by argument()
    private val label by option(help = "Label of the key, such as its purpose").default("")

    override fun run() {
        val givenKey = getOrFail(session.client.issueKey(WorkspaceId(workspace), label))
        echo(
            if (session.printsJson) {
                json.encodeToString(
                    IssuedKey.serializer(),
                    givenKey,
                )
            } else {
                "${givenKey.plainKey}\ndigest ${givenKey.digest.hexadecimal}"
            },
        )
    }
}

/** Withdraws a key; fails unless the withdrawal is in the log or every serving instance refuses the key. */
internal class WithdrawKeyCommand : OperatorSubcommand(
    "withdraw",
    "Withdraws a key; also works while the log is down if --instance is given.",
) {
    private val digest by argument(help = "Digest of the key in hexadecimal, or a prefix of it").defaultArgument("")
    private val key by option(help = "Plain key, instead of its digest")

    override fun run() {
        val report = getOrFail(session.client.withdrawKey(resolveDigest()))
        echo(if (session.printsJson) json.encodeToString(WithdrawalReport.serializer(), report) else formatReport(report))
        val isInForce = report.isKept || report.state == WithdrawalState.IN_FORCE_NOT_KEPT
        if (!isInForce) throw ProgramResult(ExitStatus.FAILURE)
    }

    private fun resolveDigest(): KeyDigest {
        val plainKey = key
        return when {
            plainKey != null -> keyDigestOf(plainKey)
            digest.length == DIGEST_CHARACTERS -> KeyDigest(digest)
            digest.isEmpty() -> throw UsageError("either a digest or --key is required")
            else -> findDigestByPrefix()
        }
    }

    private fun findDigestByPrefix(): KeyDigest {
        val matching = readConfiguration().keys.keys.filter { it.hexadecimal.startsWith(digest) }
        return matching.singleOrNull() ?: throw UsageError("digest prefix $digest matches ${matching.size} keys, expected exactly one")
    }

    private fun formatReport(report: WithdrawalReport): String = when {
        report.isKept -> "withdrawn"
        report.state == WithdrawalState.IN_FORCE_NOT_KEPT -> "in force at every serving instance, but not yet stored in the log"
        else -> "in force only at the instance that was asked: it reaches neither the log nor a majority of the instances"
    }

    private companion object {
        const val DIGEST_CHARACTERS = 64
    }
}
