package org.cactuspulley.standins.checker

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.routing.cacheScope
import org.cactuspulley.standins.deployment.CASCADIA
import org.cactuspulley.standins.load.ObservedRequest
import org.cactuspulley.standins.load.ObservedSend
import org.cactuspulley.standins.load.RequestOutcome
import org.cactuspulley.standins.load.SendOutcome
import org.cactuspulley.standins.server.CallOutcome
import org.cactuspulley.standins.server.ObservedCall
import org.cactuspulley.standins.trace.InstanceCrash
import org.cactuspulley.standins.trace.LogOutage
import java.util.Base64

/** Each test alters a valid run record so that it violates one promise, and expects only that promise to be reported. */
class PromiseCheckerSpec : DescribeSpec({
    fun seconds(time: Double) = (time * 1e9).toLong()
    val workspace = WorkspaceId("puget-radiant")

    fun request(number: Int, time: Double, repeatable: Boolean = true) = ObservedRequest(
        id = "r$number",
        workspace = workspace,
        profile = ProfileName(if (repeatable) "slab-question" else "filing"),
        key = "secret-key",
        contentDigest = "digest$number",
        repeatable = repeatable,
        idempotencyKey = if (repeatable) null else "r$number",
        chargedTokens = 20_000,
        usedTokens = 20_000,
        startNanoseconds = seconds(time),
        endNanoseconds = seconds(time + 1),
        outcome = RequestOutcome.COMPLETED,
        sends = listOf(ObservedSend("i1", seconds(time), seconds(time + 1), SendOutcome.WHOLE, 200)),
    )

    fun call(number: Int, time: Double) = ObservedCall(
        target = TargetId("layout-llm-1"),
        incarnation = 1,
        attempt = "a$number",
        method = "POST",
        path = "/v1/chat/completions",
        contentDigest = "digest$number",
        headers = mapOf(
            "x-cache-scope" to
                Base64.getEncoder().encodeToString(cacheScope(workspace, CASCADIA.model, CASCADIA.weights, null).encodeToByteArray()),
        ),
        startNanoseconds = seconds(time + 0.1),
        endNanoseconds = seconds(time + 0.9),
        outcome = CallOutcome.COMPLETED,
    )

    val validRun = RunRecord(
        plan = CASCADIA,
        policy = "prefix-aware",
        startNanoseconds = 0,
        endNanoseconds = seconds(60.0),
        requests = (0 until 20).map { request(it, it.toDouble(), repeatable = it % 5 != 0) },
        calls = (0 until 20).map { call(it, it.toDouble()) },
        changes = listOf(AcceptedChange.MarkerModelAddition(seconds(10.0), ModelName("marker"))),
        probes = (0 until 60).map {
            val models = if (it > 11) setOf(CASCADIA.model, ModelName("marker")) else setOf(CASCADIA.model)
            ConfigurationProbe(instance = it % 8, incarnation = 0, seconds(it.toDouble()), seconds(it + 0.1), models)
        },
    )

    fun RunRecord.withRequest(number: Int, change: (ObservedRequest) -> ObservedRequest) =
        copy(requests = requests.map { if (it.id == "r$number") change(it) else it })

    fun RunRecord.withSend(number: Int, change: (ObservedSend) -> ObservedSend) =
        withRequest(number) { it.copy(sends = it.sends.map(change)) }

    fun brokenPromises(run: RunRecord) = PromiseChecker().check(run).map { it.promise }.distinct()

    describe("the promise checker") {
        it("reports no violation in a valid run record") {
            PromiseChecker().check(validRun).shouldBeEmpty()
        }

        it("reports a workspace that used more tokens than its rate and burst allow") {
            val run = (0 until 20).filter { it % 5 != 0 }.fold(validRun) { run, number ->
                run.withRequest(number) { it.copy(usedTokens = 700_000) }
            }
            brokenPromises(run) shouldContainExactly listOf(Promise.WITHIN_RATE)
        }

        it("reports a non-repeatable request that ran twice") {
            val secondCall = call(5, 5.2).copy(attempt = "a5-again", target = TargetId("member-desk-2"))
            brokenPromises(validRun.copy(calls = validRun.calls + secondCall)) shouldContainExactly listOf(Promise.AT_MOST_ONCE)
        }

        it("reports an answer to another request, an incomplete answer and an answer that broke off") {
            for (outcome in listOf(SendOutcome.FOREIGN, SendOutcome.INCOMPLETE, SendOutcome.BROKEN)) {
                brokenPromises(validRun.withSend(3) { it.copy(outcome = outcome) }) shouldContainExactly listOf(Promise.OWN_WHOLE_ANSWER)
            }
        }

        it("accepts an answer that broke off only if the instance that served it crashed") {
            val brokenAnswer = validRun.withSend(3) { it.copy(outcome = SendOutcome.BROKEN) }
            fun withCrashAt(address: String) = brokenAnswer.copy(
                incidents = listOf(ExecutedIncident(InstanceCrash(3500, listOf(0), 5000), seconds(3.5), seconds(5.0), setOf(address))),
            )
            brokenPromises(withCrashAt("i1")).shouldBeEmpty()
            brokenPromises(withCrashAt("i2")) shouldContainExactly listOf(Promise.OWN_WHOLE_ANSWER)
        }

        it("reports a refusal marked as not run although a target ran the request") {
            val run = validRun.withSend(4) { it.copy(outcome = SendOutcome.REFUSED, status = 503, notRun = true) }
            brokenPromises(run) shouldContainExactly listOf(Promise.TRUTHFUL_NOT_RUN)
        }

        it("accepts a refusal marked as not run if a later send of the request ran") {
            val run = validRun.withRequest(4) {
                val refused = ObservedSend("i2", seconds(3.2), seconds(3.4), SendOutcome.REFUSED, 503, "queue_full", notRun = true)
                it.copy(sends = listOf(refused) + it.sends)
            }
            brokenPromises(run).shouldBeEmpty()
        }

        it("reports a call that a leaving target received after the bound") {
            val run = validRun.copy(changes = validRun.changes + AcceptedChange.Leaving(seconds(5.0), TargetId("layout-llm-1")))
            brokenPromises(run) shouldContainExactly listOf(Promise.NO_WORK_ON_LEAVING)
        }

        it("reports a caller's key that a target received") {
            val callsWithKey = validRun.calls.map {
                if (it.attempt == "a2") it.copy(headers = it.headers + ("x-note" to "Bearer secret-key")) else it
            }
            brokenPromises(validRun.copy(calls = callsWithKey)) shouldContainExactly listOf(Promise.KEY_HIDDEN)
        }

        it("reports a withdrawn key that is still accepted after the bound") {
            val run = validRun.copy(changes = validRun.changes + AcceptedChange.KeyWithdrawal(seconds(5.0), workspace, "secret-key"))
            brokenPromises(run) shouldContainExactly listOf(Promise.WITHDRAWAL_IN_TIME)
        }

        it("reports an instance whose configuration reverted") {
            val revertedProbes = validRun.probes.map {
                if (it.startNanoseconds == seconds(30.0)) it.copy(models = setOf(CASCADIA.model)) else it
            }
            brokenPromises(validRun.copy(probes = revertedProbes)) shouldContainExactly listOf(Promise.CONFIGURATION_STAYS)
        }

        it("reports an instance that applies a change after the bound, unless the log was down") {
            val lateProbes = validRun.probes.map {
                if (it.startNanoseconds < seconds(20.0)) it.copy(models = setOf(CASCADIA.model)) else it
            }
            val outage = ExecutedIncident(LogOutage(9000, 19000), seconds(10.5), seconds(19.0))
            brokenPromises(validRun.copy(probes = lateProbes)) shouldContainExactly listOf(Promise.CONFIGURATION_STAYS)
            brokenPromises(validRun.copy(probes = lateProbes, incidents = listOf(outage))).shouldBeEmpty()
        }

        it("reports a request that ran in the scope of another workspace") {
            val scope = cacheScope(WorkspaceId("rogue-heating"), CASCADIA.model, CASCADIA.weights, null)
            val header = Base64.getEncoder().encodeToString(scope.encodeToByteArray())
            val calls = validRun.calls.map { if (it.attempt == "a7") it.copy(headers = mapOf("x-cache-scope" to header)) else it }
            brokenPromises(validRun.copy(calls = calls)) shouldContainExactly listOf(Promise.OWN_WORKSPACE)
        }
    }
})
