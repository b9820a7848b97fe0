package org.cactuspulley.standins.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.deployment.keyOf
import org.cactuspulley.standins.deployment.oldKeyOf
import org.cactuspulley.standins.trace.PromptTextGenerator
import org.cactuspulley.standins.trace.TraceArrival
import java.net.http.HttpClient
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** Receives the numbers of requests sent and ended while a load runs. */
public fun interface LoadProgress {
    /** Reports the current totals; called from several threads. */
    public fun update(sent: Int, ended: Int)
}

/**
 * Simulates the callers of a deployment. Each caller looks up instance addresses, connects to an
 * instance, reads the streamed answer, checks that it is whole and belongs to the request, and
 * retries where a retry is allowed.
 *
 * @param bootstrapAddresses supplies the addresses of the instances that answer address lookups.
 * @param timeout the time that a caller allows for its whole answer, over all sends.
 */
public class CallerFleet(
    private val plan: DeploymentPlan,
    bootstrapAddresses: () -> List<String>,
    private val timeout: Duration = 30.seconds,
) : AutoCloseable {
    private val executor: ExecutorService = Executors.newFixedThreadPool(CLIENT_THREADS) { Thread(it, "caller").apply { isDaemon = true } }
    private val client: HttpClient = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(java.time.Duration.ofSeconds(CONNECT_SECONDS))
        .executor(executor)
        .build()
    private val entryAddresses = EntryAddressCache(client, bootstrapAddresses)
    private val promptText = PromptTextGenerator()
    private val sent = AtomicInteger()
    private val ended = AtomicInteger()

    /** Sends each arrival at its time divided by [speed]; returns the observed requests after all of them have ended. */
    public suspend fun replay(
        arrivals: List<TraceArrival>,
        speed: Double = 1.0,
        progress: LoadProgress = LoadProgress { _, _ -> },
    ): List<ObservedRequest> = coroutineScope {
        val start = System.nanoTime()
        arrivals.map { arrival ->
            val dueNanoseconds = (arrival.atMillis * NANOSECONDS_PER_MILLISECOND / speed).toLong()
            delay((start + dueNanoseconds - System.nanoTime()).nanoseconds)
            launchCaller(arrival, progress)
        }.awaitAll()
    }

    private fun CoroutineScope.launchCaller(arrival: TraceArrival, progress: LoadProgress) = async(Dispatchers.Default) {
        progress.update(sent.incrementAndGet(), ended.get())
        val request = send(arrival)
        progress.update(sent.get(), ended.incrementAndGet())
        request
    }

    /** Sends one request, with retries, and returns what its caller observed. */
    public suspend fun send(arrival: TraceArrival): ObservedRequest {
        val key = if (arrival.oldKey) plan.oldKeyOf(arrival.workspace) else plan.keyOf(arrival.workspace)
        val prepared = PreparedRequest.of(arrival, promptText)
        return Caller(arrival, prepared, key, zoneOf(arrival), client, entryAddresses, timeout).run()
    }

    private fun zoneOf(arrival: TraceArrival): ZoneName = plan.zones[arrival.workspace.text.hashCode().mod(plan.zones.size)]

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        const val CLIENT_THREADS = 4
        const val CONNECT_SECONDS = 2L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0
    }
}
