package org.cactuspulley.standins.deployment

import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.runtime.instance.Router
import org.cactuspulley.runtime.settings.InstanceSettings
import org.cactuspulley.runtime.settings.ListenSettings
import org.cactuspulley.runtime.settings.PeerSettings
import org.cactuspulley.runtime.settings.PlatformSettings
import org.cactuspulley.runtime.settings.RouterSettings
import java.util.concurrent.ConcurrentHashMap

/**
 * Runs the instances of one deployment in this process, on loopback. They use the platform and the
 * targets of [deployment].
 *
 * @param customizeSettings maps the settings of an instance to those that it starts with.
 */
public class RouterFleet(
    private val deployment: StandinDeployment,
    private val customizeSettings: (RouterSettings) -> RouterSettings = { it },
) : AutoCloseable {
    private val routers = ConcurrentHashMap<Int, Router>()

    /** The caller addresses of the running instances, in the order of their indices. */
    public val addresses: List<String> get() = routers.toSortedMap().values.map { it.address }

    /** The recent time line entries of each running instance. */
    public val timelines: List<List<TimelineEntry>> get() = routers.values.map { it.timelineEntries() }

    /** The running instance at [index], which counts from 0. */
    public fun router(index: Int): Router = routers.getValue(index)

    /** Starts all instances of the plan. */
    public fun start(): Unit = repeat(deployment.plan.instances, ::start)

    /** Starts the instance at [index] without state from an earlier run. */
    public fun start(index: Int) {
        val router = Router(customizeSettings(settingsOf(index)))
        router.start()
        routers[index] = router
    }

    /** Terminates the instance at [index] immediately to simulate a crash. */
    public fun crash(index: Int) {
        routers.remove(index)?.close()
    }

    /** Stops the instance at [index] gracefully; blocks until it has stopped. */
    public fun stop(index: Int) {
        val router = routers.getValue(index)
        router.stop().toCompletableFuture().join()
        routers.remove(index)
        router.close()
    }

    /** The settings of the instance at [index], before they are customized. */
    public fun settingsOf(index: Int): RouterSettings = RouterSettings(
        instance = InstanceSettings("${deployment.plan.name}-${index + 1}", deployment.plan.zoneOf(index).text),
        listen = ListenSettings(LOOPBACK, port = 0),
        peers = PeerSettings(LOOPBACK, port = 0, secret = SECRET),
        platform = PlatformSettings(
            log = listOf(deployment.log.address),
            list = listOf(deployment.instanceList.address),
            weights = listOf(deployment.weightStore.address),
        ),
    )

    override fun close() {
        routers.keys.toList().forEach(::crash)
    }

    public companion object {
        /** The secret that the instances of a stand-in deployment share for messages between peers. */
        public const val SECRET: String = "stand-in-secret-0123456789"
        private const val LOOPBACK = "127.0.0.1"
    }
}
