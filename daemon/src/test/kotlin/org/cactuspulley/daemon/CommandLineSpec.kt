package org.cactuspulley.daemon

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

class CommandLineSpec : FunSpec({
    context("exit status") {
        withData(
            nameFn = { (arguments, status) -> "'${arguments.joinToString(" ")}' exits with $status" },
            listOf("--version") to ExitStatus.SUCCESS,
            listOf("--help") to ExitStatus.SUCCESS,
            listOf("timeline", "--help") to ExitStatus.SUCCESS,
            listOf("no-such-command") to ExitStatus.USAGE_ERROR,
            listOf("timeline") to ExitStatus.USAGE_ERROR,
            listOf("timeline", "--from", "127.0.0.1:1", "--secret", "s", "--format", "xml") to ExitStatus.USAGE_ERROR,
            listOf("timeline", "--from", "127.0.0.1:1", "--secret", "s") to ExitStatus.FAILURE,
        ) { (arguments, status) -> runCommandLine(arguments) shouldBe status }
    }
})
