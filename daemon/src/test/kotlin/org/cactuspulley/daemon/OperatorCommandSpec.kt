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
    describe("an operator") {
        it("gives a key that is printed once and kept as a digest only") {
            withLog { log ->
                setUpWorkspace(log)
                val given = Json.decodeFromString<IssuedKey>(operator(log, "--json", "keys", "give", "puget", "--label", "tablet").stdout)
                given.digest shouldBe keyDigestOf(given.plainKey)
                val listed = operator(log, "--json", "keys", "list").stdout
                listed shouldContain given.digest.hexadecimal
                listed shouldNotContain given.plainKey
            }
        }

        it("withdraws a key by the first characters of its digest") {
            withLog { log ->
                setUpWorkspace(log)
                val given = Json.decodeFromString<IssuedKey>(operator(log, "--json", "keys", "give", "puget").stdout)
                operator(log, "keys", "withdraw", given.digest.hexadecimal.take(10)).statusCode shouldBe ExitStatus.DONE
                operator(log, "--json", "keys", "list").stdout.trim() shouldBe "[]"
            }
        }

        it("raises a limit and leaves the rest of the profile") {
            withLog { log ->
                setUpWorkspace(log)
                operator(log, "limits", "set", "desk", "--rate", "900").statusCode shouldBe ExitStatus.DONE
                val listed = operator(log, "profiles", "list").stdout
                listed shouldContain "\"tokensPerSecond\":900"
                listed shouldContain "\"burstTokens\":500"
            }
        }

        it("is told that there is nothing to change") {
            withLog { log ->
                val result = operator(log, "targets", "leave", "engine-9")
                result.statusCode shouldBe ExitStatus.FAILED
                result.stderr shouldContain "there is no target engine-9"
            }
        }

        it("is told which address is wrong") {
            OperatorCommand().test(listOf("--log", "nowhere", "profiles", "list")).stderr shouldContain "nowhere is not host:port"
        }
    }

    describe("an operator's change") {
        val desk = Profile(ProfileName("desk"), 100, 500)

        it("is accepted though the answer to its append was lost") {
            withLog { log ->
                log.faults = LogFaults(loseAppendAnswers = 1)
                client(log).use { it.change { Ok(PutProfile(desk)) }.isOk shouldBe true }
                operator(log, "profiles", "list").stdout shouldContain "desk"
            }
        }

        it("loses to one that came first") {
            withLog { log ->
                client(log).use { slow ->
                    val outcome = slow.change {
                        client(log).use { quick -> quick.change { Ok(PutProfile(desk)) } }
                        Ok(PutProfile(desk.copy(weight = 3)))
                    }
                    outcome.getError().shouldBeInstanceOf<OperatorFailure.Conflict>()
                    slow.read().getOrThrow { AssertionError(it.message) }.profiles.getValue(desk.name).value shouldBe desk
                }
            }
        }

        it("fails as not made while the log is down") {
            withLog { log ->
                log.faults = LogFaults(down = true)
                OperatorClient(addressesOf(log), timeout = 300.milliseconds).use { client ->
                    client.change { Ok(PutProfile(desk)) }.getError().shouldBeInstanceOf<OperatorFailure.LogUnavailable>()
                }
            }
        }
    }
})

private fun withLog(block: (LogStandin) -> Unit) = LogStandin("127.0.0.1", 0).use(block)

private fun addressesOf(log: LogStandin) = listOf(checkNotNull(HostAndPort.parse(log.address)))

private fun client(log: LogStandin) = OperatorClient(addressesOf(log))

private fun operator(log: LogStandin, vararg arguments: String): CliktCommandTestResult =
    OperatorCommand().test(listOf("--log", log.address) + arguments)

private fun setUpWorkspace(log: LogStandin) {
    operator(log, "profiles", "put", "desk", "--rate", "100", "--burst", "500").stderr shouldBe ""
    operator(log, "workspaces", "put", "puget", "--profile", "desk").stderr shouldBe ""
}
