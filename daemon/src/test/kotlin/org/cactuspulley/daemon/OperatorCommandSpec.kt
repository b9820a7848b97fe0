package org.cactuspulley.daemon

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.Json
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.keyDigestOf
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.runtime.operator.IssuedKey
import org.cactuspulley.runtime.operator.OperatorClient
import org.cactuspulley.runtime.operator.OperatorFailure
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.standins.log.LogFaults
import org.cactuspulley.standins.log.LogStandin
import kotlin.time.Duration.Companion.milliseconds

class OperatorCommandSpec : DescribeSpec({
    describe("operator command") {
        it("prints a given key once and stores only its digest") {
            withLogStandin { log ->
                createWorkspace(log)
                val givenKey = Json.decodeFromString<IssuedKey>(
                    runOperator(log, "--json", "keys", "give", "puget", "--label", "tablet").stdout,
                )
                givenKey.digest shouldBe keyDigestOf(givenKey.plainKey)
                val listing = runOperator(log, "--json", "keys", "list").stdout
                listing shouldContain givenKey.digest.hexadecimal
                listing shouldNotContain givenKey.plainKey
            }
        }

        it("withdraws a key by a prefix of its digest") {
            withLogStandin { log ->
                createWorkspace(log)
                val givenKey = Json.decodeFromString<IssuedKey>(runOperator(log, "--json", "keys", "give", "puget").stdout)
                runOperator(log, "keys", "withdraw", givenKey.digest.hexadecimal.take(10)).statusCode shouldBe ExitStatus.SUCCESS
                runOperator(log, "--json", "keys", "list").stdout.trim() shouldBe "[]"
            }
        }

        it("changes the rate of a profile and keeps its burst") {
            withLogStandin { log ->
                createWorkspace(log)
                runOperator(log, "limits", "set", "desk", "--rate", "900").statusCode shouldBe ExitStatus.SUCCESS
                val listing = runOperator(log, "profiles", "list").stdout
                listing shouldContain "\"tokensPerSecond\":900"
                listing shouldContain "\"burstTokens\":500"
            }
        }

        it("fails when the target to change does not exist") {
            withLogStandin { log ->
                val result = runOperator(log, "targets", "leave", "engine-9")
                result.statusCode shouldBe ExitStatus.FAILURE
                result.stderr shouldContain "there is no target engine-9"
            }
        }

        it("names the address that is invalid") {
            OperatorCommand().test(listOf("--log", "nowhere", "profiles", "list")).stderr shouldContain "nowhere is not host:port"
        }
    }

    describe("operator change") {
        val desk = Profile(ProfileName("desk"), 100, 500)

        it("is accepted although the answer to its append is lost") {
            withLogStandin { log ->
                log.faults = LogFaults(loseAppendAnswers = 1)
                operatorClient(log).use { it.change { Ok(PutProfile(desk)) }.isOk shouldBe true }
                runOperator(log, "profiles", "list").stdout shouldContain "desk"
            }
        }

        it("is rejected with a conflict after a concurrent change to the same value") {
            withLogStandin { log ->
                operatorClient(log).use { slowClient ->
                    val outcome = slowClient.change {
                        operatorClient(log).use { fastClient -> fastClient.change { Ok(PutProfile(desk)) } }
                        Ok(PutProfile(desk.copy(weight = 3)))
                    }
                    outcome.getError().shouldBeInstanceOf<OperatorFailure.Conflict>()
                    slowClient.read().getOrThrow { AssertionError(it.message) }.profiles.getValue(desk.name).value shouldBe desk
                }
            }
        }

        it("fails with LogUnavailable while the log is down") {
            withLogStandin { log ->
                log.faults = LogFaults(down = true)
                OperatorClient(logAddresses(log), timeout = 300.milliseconds).use { client ->
                    client.change { Ok(PutProfile(desk)) }.getError().shouldBeInstanceOf<OperatorFailure.LogUnavailable>()
                }
            }
        }
    }
})

private fun withLogStandin(block: (LogStandin) -> Unit) = LogStandin("127.0.0.1", 0).use(block)

private fun logAddresses(log: LogStandin) = listOf(checkNotNull(HostAndPort.parse(log.address)))

private fun operatorClient(log: LogStandin) = OperatorClient(logAddresses(log))

private fun runOperator(log: LogStandin, vararg arguments: String): CliktCommandTestResult =
    OperatorCommand().test(listOf("--log", log.address) + arguments)

private fun createWorkspace(log: LogStandin) {
    runOperator(log, "profiles", "put", "desk", "--rate", "100", "--burst", "500").stderr shouldBe ""
    runOperator(log, "workspaces", "put", "puget", "--profile", "desk").stderr shouldBe ""
}
