package org.cactuspulley.runtime.platform

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.DeregisterInstance
import org.cactuspulley.core.effect.PollInstanceList
import org.cactuspulley.core.effect.RegisterInstance
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.InstanceListUnavailable
import org.cactuspulley.core.event.InstancesListed
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.platform.InstanceListPage
import org.cactuspulley.core.platform.ListedInstance
import org.cactuspulley.runtime.control.EffectExecutor
import org.cactuspulley.runtime.control.MonotonicClock
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Executes the effects of the core on the platform's instance list. A failed registration is not retried, because the
 * next renewal registers the instance again. After a request without a response, the client uses the next of
 * [endpoints].
 */
public class InstanceListClient(
    private val endpoints: List<HostAndPort>,
    group: EventLoopGroup,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val requestTimeout: Duration = 1_000.milliseconds,
    private val submit: (CoreEvent) -> Unit,
) : EffectExecutor, AutoCloseable {
    private val client = PlatformHttpClient(group)
    private val endpointIndex = AtomicInteger()
    private val isPolling = AtomicBoolean()

    /** Executes [effect] if it concerns the instance list; ignores it otherwise. */
    override fun execute(effect: CoreEffect) {
        when (effect) {
            is RegisterInstance -> register(effect)

            is DeregisterInstance ->
                send(
                    PlatformRequest(
                        HttpMethod.DELETE,
                        "/instances/${effect.id.text}?incarnation=${effect.incarnation.number}",
                        timeout = requestTimeout,
                    ),
                )

            is PollInstanceList -> poll()

            else -> Unit
        }
    }

    private fun register(effect: RegisterInstance) {
        val registration = ListedInstance(effect.instance, effect.timeToLiveMillis)
        val body = platformJson.encodeToString(ListedInstance.serializer(), registration).encodeToByteArray()
        val headers = mapOf("Content-Type" to "application/json")
        send(PlatformRequest(HttpMethod.PUT, "/instances/${effect.instance.id.text}", body, headers, requestTimeout))
    }

    private fun send(request: PlatformRequest, onResult: (Result<PlatformResponse, PlatformRequestFailure>) -> Unit = {}) {
        val endpoint = endpoints[Math.floorMod(endpointIndex.get(), endpoints.size)]
        client.send(endpoint, request) { result ->
            if (result.isErr) endpointIndex.incrementAndGet()
            onResult(result)
        }
    }

    /** Reads the list once; does nothing while an earlier read waits for its response. */
    private fun poll() {
        if (!isPolling.compareAndSet(false, true)) return
        val askedAt = clock.now()
        send(PlatformRequest(HttpMethod.GET, "/instances", timeout = requestTimeout)) { result ->
            isPolling.set(false)
            submit(eventOf(result, askedAt))
        }
    }

    private fun eventOf(result: Result<PlatformResponse, PlatformRequestFailure>, askedAt: MonotonicTime): CoreEvent {
        val response = result.get()?.takeIf { it.status == HttpResponseStatus.OK.code() } ?: return InstanceListUnavailable
        return try {
            val page = platformJson.decodeFromString(InstanceListPage.serializer(), response.body.decodeToString())
            InstancesListed(page.instances, page.asOfMillis, askedAt)
        } catch (_: SerializationException) {
            InstanceListUnavailable
        }
    }

    override fun close() {
        client.close()
    }
}
