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
import org.cactuspulley.standins.trace.PromptText
import org.cactuspulley.standins.trace.TraceArrival
import java.net.http.HttpClient
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** Hears how many requests were sent and how many have ended. */
public fun interface LoadProgress {
    /** Takes the present numbers. */
    public fun update(sent: Int, ended: Int)
}

/**
 * The callers of a deployment: they ask for addresses, connect themselves, stream answers, judge
 * whether each is whole and their own, and send again what may be sent again.
 *
 * @param bootstrapAddresses addresses of instances to ask first.
 * @param timeout how long a caller waits for its whole answer.
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
    private val promptText = PromptText()
    private val sent = AtomicInteger()
    private val ended = AtomicInteger()

    /** Sends every arrival at its time divided by [speed] and returns all of them once each has ended. */
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

    /** Sends one request until it ends. */
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
