package org.cactuspulley.standins.deployment

import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.runtime.instance.Router
import org.cactuspulley.runtime.settings.RouterSettings
import org.cactuspulley.runtime.settings.RoutingPolicyName
import org.cactuspulley.runtime.settings.RoutingPolicySettings
import org.cactuspulley.standins.engine.EngineSettings
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

/** One instance of a fixture. Its settings stay the same across restarts; each start creates a new router. */
public class FixtureInstance internal constructor(private val settings: RouterSettings) {
    /** The number of starts so far. */
    @Volatile public var incarnation: Int = 0
        private set

    /** The running router; null while the instance is stopped. */
    @Volatile public var router: Router? = null
        private set

    /** The host and port for callers. They stay the same across restarts and are empty before the first start. */
    @Volatile public var address: String = ""
        private set

    private val endedTimelines = ArrayList<List<TimelineEntry>>()

    /** The recent time line entries of each router that ran, including those that have ended. */
    public val timelines: List<List<TimelineEntry>>
        @Synchronized get() = endedTimelines + listOfNotNull(router?.timelineEntries())

    /** Starts a router, on the port of the previous router if there was one. */
    public fun start() {
        val port = address.substringAfterLast(':', "0").toInt()
        val newRouter = Router(settings.copy(listen = settings.listen.copy(port = port)))
        newRouter.start()
        address = newRouter.address
        incarnation++
        router = newRouter
    }

    /** Terminates the router immediately to simulate a crash. */
    @Synchronized
    public fun crash() {
        router?.close()
        router?.let { endedTimelines += it.timelineEntries() }
        router = null
    }

    /** Stops the router gracefully; blocks until it has stopped. */
    public fun stop() {
        router?.stop()?.toCompletableFuture()?.join()
        crash()
    }
}

/**
 * Runs a deployment in one process: the stand-ins, the configuration written to the log, and the
 * instances in their zones.
 *
 * @param policy the routing policy of all instances.
 * @param customizeEngine maps the settings of an engine to those that it starts with.
 */
public class DeploymentFixture(
    public val plan: DeploymentPlan,
    policy: RoutingPolicyName = RoutingPolicyName.PREFIX_AWARE,
    customizeEngine: (EngineSettings) -> EngineSettings = { it },
) : AutoCloseable {
    /** The platform services and the targets. */
    public val standins: StandinDeployment = StandinDeployment(plan, customizeEngine)

    /** The instances, including those that are stopped. */
    public val instances: List<FixtureInstance> = List(plan.instances) { FixtureInstance(settingsOf(it, policy)) }
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** The caller addresses of the running instances. */
    public val addresses: List<String> get() = instances.filter { it.router != null }.map { it.address }

    private fun settingsOf(index: Int, policy: RoutingPolicyName) =
        RouterFleet(standins).settingsOf(index).copy(routing = RoutingPolicySettings(policy.text))

    /**
     * Writes the configuration and starts all instances. Returns true once all instances are ready and
     * the slot stream of the log has at least as many records as there are slots, or false after [timeout].
     */
    public fun start(timeout: Duration = Duration.ofSeconds(15)): Boolean {
        standins.writeConfiguration()
        instances.forEach { it.start() }
        val deadline = System.nanoTime() + timeout.toNanos()
        while (!instances.all(::isReady) || standins.log.tail(SLOTS_STREAM) < plan.fleet.slotCount) {
            if (System.nanoTime() > deadline) return false
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
        return true
    }

    /** Whether [instance] answers its readiness check with status 200. */
    public fun isReady(instance: FixtureInstance): Boolean = try {
        val request = HttpRequest.newBuilder(URI("http://${instance.address}/readyz")).timeout(READINESS_TIMEOUT).build()
        client.send(request, BodyHandlers.discarding()).statusCode() == 200
    } catch (_: IOException) {
        false
    }

    override fun close() {
        instances.forEach { it.crash() }
        standins.close()
    }

    private companion object {
        const val SLOTS_STREAM = "slots"
        const val POLL_INTERVAL_MILLIS = 50L
        val READINESS_TIMEOUT: Duration = Duration.ofSeconds(1)
    }
}
