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
 * The instances of one deployment within this process, on loopback, before the stand-ins of
 * [deployment].
 *
 * @param customizeSettings changes the settings of each instance.
 */
public class RouterFleet(
    private val deployment: StandinDeployment,
    private val customizeSettings: (RouterSettings) -> RouterSettings = { it },
) : AutoCloseable {
    private val routers = ConcurrentHashMap<Int, Router>()

    /** The addresses of the running instances, in the order of their numbers. */
    public val addresses: List<String> get() = routers.toSortedMap().values.map { it.address }

    /** The recent events of every running instance. */
    public val timelines: List<List<TimelineEntry>> get() = routers.values.map { it.timelineEntries() }

    /** The running instance with [index], which counts from 0. */
    public fun router(index: Int): Router = routers.getValue(index)

    /** Starts every instance of the plan. */
    public fun start(): Unit = repeat(deployment.plan.instances, ::start)

    /** Starts the instance with [index] with empty memory. */
    public fun start(index: Int) {
        val router = Router(customizeSettings(settingsOf(index)))
        router.start()
        routers[index] = router
    }

    /** Ends the instance with [index] at once, as a crash would. */
    public fun crash(index: Int) {
        routers.remove(index)?.close()
    }

    /** Stops the instance with [index] gracefully and returns when it has ended. */
    public fun stop(index: Int) {
        val router = routers.getValue(index)
        router.stop().toCompletableFuture().join()
        routers.remove(index)
        router.close()
    }

    /** The settings of the instance with [index]. */
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
        /** The secret that the instances of a stand-in deployment share. */
        public const val SECRET: String = "stand-in-secret-0123456789"
        private const val LOOPBACK = "127.0.0.1"
    }
}
