package org.cactuspulley.standins.service

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.platform.TargetLoad
import org.cactuspulley.core.platform.TargetStatus
import org.cactuspulley.standins.server.CallOutcome
import org.cactuspulley.standins.server.CallRecorder
import org.cactuspulley.standins.server.FaultControl
import org.cactuspulley.standins.server.HttpExchange
import org.cactuspulley.standins.server.HttpServer
import org.cactuspulley.standins.server.ObservedCall
import org.cactuspulley.standins.server.StandinThreads
import org.cactuspulley.standins.server.standinJson
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/**
 * The faults of a plain HTTP service.
 *
 * @property down whether the connection of every call is closed without a response; such calls do not run.
 * @property loseAnswers the number of next calls that run and whose connection is closed without a response.
 * @property foreignAnswers the number of next calls that get the response to the previous call.
 * @property delayMillis the additional duration of every call in milliseconds.
 */
@Serializable
public data class ServiceFaults(
    val down: Boolean = false,
    @SerialName("lose_answers") val loseAnswers: Int = 0,
    @SerialName("foreign_answers") val foreignAnswers: Int = 0,
    @SerialName("delay_ms") val delayMillis: Long = 0,
)

/**
 * The response of a plain HTTP service.
 *
 * @property id the attempt id of the call.
 * @property digest the content digest of the call.
 * @property number the number of calls that the service has completed, including this one.
 */
@Serializable
public data class ServiceResponse(val id: String, val digest: String, val number: Int)

/** Returns the digest by which callers and services identify the content of a call. */
public fun contentDigest(method: String, path: String, body: ByteArray): String =
    Hashing.xxh3_64().hashStream().putString(method).putString(path).putBytes(body).asLong.toULong().toString(radix = 16)

/** A stand-in for a plain HTTP service. It runs every call that reaches it and does not detect duplicates. */
public class ServiceStandin(
    private val id: TargetId,
    host: String = "127.0.0.1",
    port: Int = 0,
    private val callMillis: Long = 5,
    private val incarnation: Long = 1,
) : AutoCloseable {
    private val recorder = CallRecorder()
    private val control = FaultControl(ServiceFaults(), ServiceFaults.serializer())
    private val runningCalls = AtomicInteger()
    private val completedCalls = AtomicInteger()

    @Volatile private var previousResponse = ServiceResponse("none", "none", 0)
    private val server = HttpServer(host, port, ::handle)

    /** The address of this stand-in as `host:port`. */
    public val address: String get() = server.address

    /** The TCP port of this stand-in. */
    public val port: Int get() = server.port

    /** The injected faults; a new value applies at once. */
    public var faults: ServiceFaults by control::faults

    /** The calls that the service ran, in order of arrival. */
    public val calls: List<ObservedCall> get() = recorder.snapshot()

    override fun close(): Unit = server.close()

    private fun handle(exchange: HttpExchange) {
        if (control.handle(exchange)) return
        if (faults.down) return exchange.disconnect()
        if (exchange.path == "/status") return exchange.respondJson(200, TargetStatus.serializer(), status())
        runCall(exchange)
    }

    private fun status() = TargetStatus(incarnation, load = TargetLoad(running = runningCalls.get()))

    private fun runCall(exchange: HttpExchange) {
        val attempt = exchange.header(TargetHeaders.REQUEST_ID).orEmpty()
        val digest = contentDigest(exchange.method, exchange.path, exchange.body)
        val callIndex = recorder.begin(
            ObservedCall(
                target = id,
                incarnation = incarnation,
                attempt = attempt,
                method = exchange.method,
                path = exchange.path,
                contentDigest = digest,
                idempotencyKey = exchange.header(TargetHeaders.IDEMPOTENCY_KEY),
                headers = exchange.headers,
                startNanoseconds = System.nanoTime(),
            ),
        )
        runningCalls.incrementAndGet()
        StandinThreads.schedule((callMillis + faults.delayMillis).milliseconds) {
            runningCalls.decrementAndGet()
            recorder.end(callIndex, CallOutcome.COMPLETED)
            respond(exchange, ServiceResponse(attempt, digest, completedCalls.incrementAndGet()))
        }
    }

    private fun respond(exchange: HttpExchange, own: ServiceResponse) {
        if (consumeLostResponse()) return exchange.disconnect()
        val response = if (consumeForeignResponse()) previousResponse else own
        previousResponse = own
        val body = standinJson.encodeToString(ServiceResponse.serializer(), response).encodeToByteArray()
        exchange.respond(200, body, headers = mapOf(TargetHeaders.REQUEST_ID to response.id))
    }

    private fun consumeLostResponse(): Boolean = synchronized(control) {
        val remaining = faults.loseAnswers
        if (remaining > 0) faults = faults.copy(loseAnswers = remaining - 1)
        remaining > 0
    }

    private fun consumeForeignResponse(): Boolean = synchronized(control) {
        val remaining = faults.foreignAnswers
        if (remaining > 0) faults = faults.copy(foreignAnswers = remaining - 1)
        remaining > 0
    }
}
