package org.cactuspulley.runtime.targets

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.ReadCacheEvents
import org.cactuspulley.core.effect.ReadStatus
import org.cactuspulley.core.effect.SendOrder
import org.cactuspulley.core.event.CacheEventsFailed
import org.cactuspulley.core.event.CacheEventsRead
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.OrderAnswered
import org.cactuspulley.core.event.OrderOutcome
import org.cactuspulley.core.event.StatusFailed
import org.cactuspulley.core.event.StatusRead
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.platform.CacheEventPage
import org.cactuspulley.core.platform.TargetOrder
import org.cactuspulley.core.platform.TargetStatus
import org.cactuspulley.runtime.control.EffectExecutor
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.platform.PlatformHttpClient
import org.cactuspulley.runtime.platform.PlatformRequest
import org.cactuspulley.runtime.platform.PlatformRequestFailure
import org.cactuspulley.runtime.platform.PlatformResponse
import kotlin.time.Duration

/** Reads the status and the cache events of targets and sends them orders, without blocking. */
public class TargetControlClient(
    group: EventLoopGroup,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val submit: (CoreEvent) -> Unit,
) : EffectExecutor, AutoCloseable {
    private val client = PlatformHttpClient(group)

    /** Executes [effect] if it concerns targets; ignores it otherwise. */
    override fun execute(effect: CoreEffect) {
        when (effect) {
            is ReadStatus -> readStatus(effect)
            is ReadCacheEvents -> readCacheEvents(effect)
            is SendOrder -> sendOrder(effect)
            else -> Unit
        }
    }

    private fun readStatus(effect: ReadStatus) {
        val askedAt = clock.now()
        val request = PlatformRequest(HttpMethod.GET, "/status", timeout = effect.deadline - askedAt)
        client.send(effect.target.address, request) { result ->
            val status = bodyOf(result, TargetStatus.serializer())
            submit(if (status == null) StatusFailed(effect.target.id, askedAt) else StatusRead(effect.target.id, status, askedAt))
        }
    }

    private fun readCacheEvents(effect: ReadCacheEvents) {
        val now = clock.now()
        val wait = (effect.waitUntil - now).coerceAtLeast(Duration.ZERO)
        val path = "/events?from=${effect.from}&wait_ms=${wait.inWholeMilliseconds}"
        client.send(effect.target.address, PlatformRequest(HttpMethod.GET, path, timeout = effect.deadline - now)) { result ->
            val page = bodyOf(result, CacheEventPage.serializer())
            submit(if (page == null) CacheEventsFailed(effect.target.id) else CacheEventsRead(effect.target.id, page))
        }
    }

    /**
     * Sends an order unless its deadline has passed, for example because the process was paused: by then another instance
     * may have sent a later order. The order uses its own connection, so that its response cannot be a repetition of an earlier one.
     */
    private fun sendOrder(effect: SendOrder) {
        if (clock.now() >= effect.deadline) {
            return submit(OrderAnswered(effect.target.id, LogOffset(effect.order.fencing), OrderOutcome.REFUSED))
        }
        val body = json.encodeToString(TargetOrder.serializer(), effect.order).encodeToByteArray()
        val headers = mapOf("Content-Type" to "application/json")
        val request = PlatformRequest(HttpMethod.POST, "/orders", body, headers, effect.deadline - clock.now(), usesOwnConnection = true)
        client.send(effect.target.address, request) { result ->
            submit(OrderAnswered(effect.target.id, LogOffset(effect.order.fencing), outcomeOf(result)))
        }
    }

    private fun outcomeOf(result: Result<PlatformResponse, PlatformRequestFailure>): OrderOutcome = result.fold(
        success = { response ->
            when (response.status) {
                in SUCCESS_STATUSES -> OrderOutcome.DONE
                STALE_FENCING_STATUS -> OrderOutcome.STALE
                in CLIENT_ERROR_STATUSES -> OrderOutcome.REFUSED
                else -> OrderOutcome.UNKNOWN
            }
        },
        failure = { failure ->
            when (failure) {
                is PlatformRequestFailure.NotSent -> OrderOutcome.REFUSED
                is PlatformRequestFailure.Unanswered -> OrderOutcome.UNKNOWN
            }
        },
    )

    private fun <T> bodyOf(result: Result<PlatformResponse, PlatformRequestFailure>, serializer: KSerializer<T>): T? {
        val response = result.get()?.takeIf { it.status in SUCCESS_STATUSES } ?: return null
        return try {
            json.decodeFromString(serializer, response.body.decodeToString())
        } catch (_: SerializationException) {
            null
        }
    }

    override fun close() {
        client.close()
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        val SUCCESS_STATUSES = 200..299
        val CLIENT_ERROR_STATUSES = 400..499
        const val STALE_FENCING_STATUS = 409
    }
}

private val Target.address: HostAndPort get() = HostAndPort(host, port)
