package org.cactuspulley.standins.weights

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.platform.WeightsDescription
import org.cactuspulley.standins.server.FaultControl
import org.cactuspulley.standins.server.HttpExchange
import org.cactuspulley.standins.server.HttpServer

/**
 * The faults of the weight store.
 *
 * @property down whether the connection of every call is closed without a response.
 * @property missing the versions that the store does not have, as `model/version`.
 */
@Serializable
public data class WeightStoreFaults(val down: Boolean = false, @SerialName("missing") val missing: Set<String> = emptySet())

/** A stand-in for the rate-limited weight store. It has every version except those that its faults list. */
public class WeightStoreStandin(
    host: String = "127.0.0.1",
    port: Int = 0,
    private val requestsPerSecond: Int = 20,
) : AutoCloseable {
    private val control = FaultControl(WeightStoreFaults(), WeightStoreFaults.serializer())
    private var rateWindowSecond = 0L
    private var requestsInWindow = 0
    private val server = HttpServer(host, port, ::handle)

    /** The address of this stand-in as `host:port`. */
    public val address: String get() = server.address

    /** The injected faults; a new value applies at once. */
    public var faults: WeightStoreFaults by control::faults

    override fun close(): Unit = server.close()

    private fun handle(exchange: HttpExchange) {
        if (control.handle(exchange)) return
        if (faults.down) return exchange.disconnect()
        val match = WEIGHTS_PATH.matchEntire(exchange.path)
        when {
            match == null || exchange.method != "GET" -> exchange.respondError(404, "not_found")
            !tryAcquireRequest() -> exchange.respondError(429, "overloaded", headers = mapOf("Retry-After" to "1"))
            else -> respondWithDescription(exchange, match.groupValues[1], match.groupValues[2])
        }
    }

    private fun respondWithDescription(exchange: HttpExchange, model: String, version: String) {
        if ("$model/$version" in faults.missing) return exchange.respondError(404, "weights_unknown")
        val description = WeightsDescription(ModelName(model), WeightsVersion(version), WEIGHTS_BYTES)
        exchange.respondJson(200, WeightsDescription.serializer(), description)
    }

    private fun tryAcquireRequest(): Boolean = synchronized(this) {
        val now = System.nanoTime() / NANOSECONDS_PER_SECOND
        if (now != rateWindowSecond) {
            rateWindowSecond = now
            requestsInWindow = 0
        }
        requestsInWindow++ < requestsPerSecond
    }

    private companion object {
        val WEIGHTS_PATH = Regex("/weights/([^/]+)/([^/]+)")
        const val WEIGHTS_BYTES = 16L * 1024 * 1024 * 1024
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}

/** Counts the weight loads that run at the same time. Above [capacity], a load that starts takes longer; running loads do not slow down. */
public class WeightLoads(private val capacity: Int) {
    private var running = 0

    /** The highest number of loads that ran at the same time. */
    public var maximumRunning: Int = 0
        private set

    /** Records the start of a load and returns the factor by which its duration is multiplied. */
    @Synchronized
    public fun begin(): Int {
        running++
        maximumRunning = maxOf(maximumRunning, running)
        return maxOf(1, (running + capacity - 1) / capacity)
    }

    /** Records the end of a load. */
    @Synchronized
    public fun end() {
        running--
    }
}
