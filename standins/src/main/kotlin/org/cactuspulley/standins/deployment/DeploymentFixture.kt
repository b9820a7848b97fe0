package org.cactuspulley.standins.deployment

import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.runtime.instance.Router
import org.cactuspulley.runtime.settings.RouterSettings
import org.cactuspulley.runtime.settings.RoutingPolicyName
import org.cactuspulley.runtime.settings.RoutingSettings
import org.cactuspulley.standins.engine.EngineSettings
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

/** One instance of a fixture: its settings stay, its router comes and goes. */
public class FixtureInstance internal constructor(private val settings: RouterSettings) {
    /** Counts the starts. */
    @Volatile public var incarnation: Int = 0
        private set

    /** The router that runs now, or null. */
    @Volatile public var router: Router? = null
        private set

    /** Host and port for callers; stays the same over restarts. */
    @Volatile public var address: String = ""
        private set

    private val endedTimelines = ArrayList<List<TimelineEntry>>()

    /** The recent events of every router that ran, an ended one's too. */
    public val timelines: List<List<TimelineEntry>>
        @Synchronized get() = endedTimelines + listOfNotNull(router?.timelineEntries())

    /** Starts a router, at the former port if there was one. */
    public fun start() {
        val port = address.substringAfterLast(':', "0").toInt()
        val newRouter = Router(settings.copy(listen = settings.listen.copy(port = port)))
        newRouter.start()
        address = newRouter.address
        incarnation++
        router = newRouter
    }

    /** Ends the router at once, as a crash would. */
    @Synchronized
    public fun crash() {
        router?.close()
        router?.let { endedTimelines += it.timelineEntries() }
        router = null
    }

    /** Stops the router without cutting a request; returns when it has ended. */
    public fun stop() {
        router?.stop()?.toCompletableFuture()?.join()
        crash()
    }
}

/**
 * A whole deployment in one process: stand-ins, the configuration written through the log, and the
 * instances in their zones.
 */
public class DeploymentFixture(
    public val plan: DeploymentPlan,
    policy: RoutingPolicyName = RoutingPolicyName.PREFIX_AWARE,
    customizeEngine: (EngineSettings) -> EngineSettings = { it },
) : AutoCloseable {
    /** The platform and the targets. */
    public val standins: StandinDeployment = StandinDeployment(plan, customizeEngine)

    /** The instances, also those that do not run now. */
    public val instances: List<FixtureInstance> = List(plan.instances) { FixtureInstance(settingsOf(it, policy)) }
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** The addresses of the instances that run. */
    public val addresses: List<String> get() = instances.filter { it.router != null }.map { it.address }

    private fun settingsOf(index: Int, policy: RoutingPolicyName) =
        RouterFleet(standins).settingsOf(index).copy(routing = RoutingSettings(policy.text))

    /** Writes the configuration, starts every instance and returns when all of them serve, or false after [timeout]. */
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

    /** Whether [instance] says that it serves. */
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
