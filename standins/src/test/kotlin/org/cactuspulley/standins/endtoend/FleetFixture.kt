package org.cactuspulley.standins.endtoend

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.runtime.settings.RouterSettings
import org.cactuspulley.standins.checker.PromiseChecker
import org.cactuspulley.standins.checker.RunRecord
import org.cactuspulley.standins.deployment.CASCADIA
import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.deployment.RouterFleet
import org.cactuspulley.standins.deployment.StandinDeployment
import org.cactuspulley.standins.deployment.keyOf
import org.cactuspulley.standins.engine.EngineSettings
import org.cactuspulley.standins.load.CallerFleet
import org.cactuspulley.standins.load.ObservedRequest
import org.cactuspulley.standins.trace.PromptLevel
import org.cactuspulley.standins.trace.TraceCall
import org.cactuspulley.standins.trace.TraceCompletion
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The Cascadia deployment with fewer engines and services, and all eight instances on real sockets. */
internal class FleetFixture(
    customizeEngine: (EngineSettings) -> EngineSettings = { it },
    customizeRouter: (RouterSettings) -> RouterSettings = { it },
) : AutoCloseable {
    val plan: DeploymentPlan = CASCADIA.copy(engines = 3, services = 2)
    val deployment = StandinDeployment(plan, customizeEngine)
    val fleet = RouterFleet(deployment, customizeRouter)
    val callers = CallerFleet(plan, { fleet.addresses }, TIMEOUT)
    val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val startNanoseconds = System.nanoTime()
    private var requestCount = 0
    private var warmUpDigests = emptySet<String>()

    /** Starts all instances and waits until each of them completes requests. */
    suspend fun start() {
        deployment.writeConfiguration()
        fleet.start()
        awaitServing()
        warmUpDigests = deployment.observedCalls.map { it.contentDigest }.toSet()
    }

    /** Waits until each running instance completes a request of each workspace. */
    suspend fun awaitServing() = eventually(TIMEOUT) {
        fleet.addresses.forEach { address ->
            plan.workspaces.forEach { workspace ->
                val answer = post(address, plan.keyOf(workspace.id), "/v1/chat/completions", completionBody("warm up"))
                withClue("${answer.body()} of ${workspace.id} at $address") { answer.statusCode() shouldBe 200 }
            }
        }
    }

    /** The JSON body of a completion that is not streamed, with [text] as its only message. */
    fun completionBody(text: String, outputTokens: Int = 2): String =
        """{"model":"${plan.model.text}","max_tokens":$outputTokens,"messages":[{"role":"user","content":"$text"}]}"""

    fun post(
        address: String,
        key: String,
        path: String,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> = client.send(request(address, key, path, body, headers), BodyHandlers.ofString())

    fun request(address: String, key: String, path: String, body: String, headers: Map<String, String> = emptyMap()): HttpRequest {
        val builder = HttpRequest.newBuilder(URI("http://$address$path"))
            .header("Authorization", "Bearer $key")
            .header("Content-Type", "application/json")
            .POST(BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.build()
    }

    /** [count] requests at [rate] per second, of the workspaces in turn. Each fifth is a service call, the others are completions. */
    fun traffic(count: Int, rate: Double): List<org.cactuspulley.standins.trace.TraceArrival> = List(count) { index ->
        val id = "request-${requestCount++}"
        val workspace = plan.workspaces[index % plan.workspaces.size].id
        val at = (index / rate * MILLIS_PER_SECOND).toLong()
        if (index % 5 == 4) {
            TraceCall(at, id, workspace, ProfileName("filing"), "${plan.servicePath}stamps")
        } else {
            val levels = listOf(PromptLevel("spec-${index % 2}", 4_000), PromptLevel(id, 50))
            TraceCompletion(at, id, workspace, plan.workspaces[index % plan.workspaces.size].profiles.first(), plan.model, levels, 40)
        }
    }

    /**
     * Checks that [requests] and the calls that targets received so far violate no promise. Ignores
     * calls with the content of a warm-up request.
     */
    fun shouldHaveNoViolations(requests: List<ObservedRequest>) {
        val calls = deployment.observedCalls.filter { it.contentDigest !in warmUpDigests }
        val run = RunRecord(plan, "prefix-aware", startNanoseconds, System.nanoTime(), requests, calls)
        PromiseChecker().check(run).shouldBeEmpty()
    }

    override fun close() {
        callers.close()
        fleet.close()
        deployment.close()
    }

    companion object {
        val TIMEOUT: Duration = 30.seconds
        private const val MILLIS_PER_SECOND = 1_000
    }
}
