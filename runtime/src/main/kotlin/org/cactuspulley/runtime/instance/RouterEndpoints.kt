package org.cactuspulley.runtime.instance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.effect.AnswerWithdrawal
import org.cactuspulley.core.effect.WithdrawalState
import org.cactuspulley.core.event.WithdrawalRequested
import org.cactuspulley.core.instance.CoreAssembly
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.platform.ErrorBody
import org.cactuspulley.core.platform.ErrorDetail
import org.cactuspulley.runtime.control.ControlLoop
import org.cactuspulley.runtime.edge.EntryQuery
import org.cactuspulley.runtime.edge.LocalEndpoints
import org.cactuspulley.runtime.edge.LocalResponse
import org.cactuspulley.runtime.edge.OperatorRequest
import org.cactuspulley.runtime.metrics.RouterMetrics
import org.cactuspulley.runtime.peer.PeerSecret
import org.cactuspulley.runtime.timeline.TimelineJsonLines
import org.cactuspulley.runtime.timeline.TimelineRecorder
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * The response body of `GET /v1/entry`.
 *
 * @property validForMillis how long the caller may use [addresses], in milliseconds.
 */
@Serializable
public data class EntryResponse(val addresses: List<EntryAddress>, @SerialName("valid_for_ms") val validForMillis: Long)

/**
 * An address that a caller may send requests to.
 *
 * @property address the `host:port` of the instance.
 * @property instance the ID of the instance.
 * @property zone the zone of the instance.
 */
@Serializable
public data class EntryAddress(val address: String, val instance: String, val zone: String)

/** The response body of `GET /v1/models`. */
@Serializable
public data class ModelsResponse(val data: List<ModelEntry>)

/** A model that callers may request. */
@Serializable
public data class ModelEntry(val id: String)

/** The request body of `POST /operator/withdrawals`. The digest of the key is in hexadecimal. */
@Serializable
public data class WithdrawalBody(val digest: String)

/** The response body of `POST /operator/withdrawals`. */
@Serializable
public data class WithdrawalResponse(val state: WithdrawalState)

/**
 * The response body of `GET /operator/state`.
 *
 * @property instance the ID of the instance.
 * @property configurationNext the log offset after the last record in the effective configuration.
 * @property standing how fresh the configuration is.
 * @property instances the IDs of all live instances that this instance knows.
 * @property activeRequests the number of requests that have not ended.
 * @property queuedRequests the number of requests that wait in the queue.
 */
@Serializable
public data class InstanceStateResponse(
    val instance: String,
    @SerialName("configuration_next") val configurationNext: Long,
    val standing: String,
    val instances: List<String>,
    @SerialName("active_requests") val activeRequests: Int,
    @SerialName("queued_requests") val queuedRequests: Int,
)

/** Serves the local endpoints from the state of this instance, which is read on the control thread. */
internal class RouterEndpoints(
    private val secret: PeerSecret,
    private val timeline: TimelineRecorder,
    private val metrics: RouterMetrics,
) : LocalEndpoints {
    private val json = Json
    private val pendingWithdrawals = ConcurrentHashMap<Long, CompletableFuture<LocalResponse>>()
    private val withdrawalNumbers = AtomicLong()
    private lateinit var assembly: CoreAssembly
    private lateinit var loop: ControlLoop

    /** Sets the source of all responses: [assembly], whose state is owned by [loop]. Must be called before the endpoints are used. */
    fun connect(assembly: CoreAssembly, loop: ControlLoop) {
        this.assembly = assembly
        this.loop = loop
    }

    override fun entry(query: EntryQuery): CompletionStage<LocalResponse> = loop.query { now ->
        val answer = assembly.entry.answer(workspaceOf(query.key, assembly.configuration.effective), query.zone, now)
        val addresses = answer.addresses.map { EntryAddress(it.address, it.instance.text, it.zone.text) }
        jsonResponse(EntryResponse.serializer(), EntryResponse(addresses, (answer.validUntil - now).inWholeMilliseconds))
    }

    override fun models(key: KeyDigest?): CompletionStage<LocalResponse> = loop.query { _ ->
        val configuration = assembly.configuration.effective
        if (workspaceOf(key, configuration) == null) {
            errorResponse(UNAUTHORIZED, "key_unknown", "a valid key is needed")
        } else {
            jsonResponse(ModelsResponse.serializer(), ModelsResponse(configuration.models.keys.map { ModelEntry(it.text) }))
        }
    }

    override fun health(): CompletionStage<LocalResponse> = completed(LocalResponse(OK, "{\"status\":\"ok\"}".encodeToByteArray()))

    override fun readiness(): CompletionStage<LocalResponse> = loop.query { now ->
        val standing = assembly.configuration.statusAt(now)
        val status = if (standing.serves && !isLeaving()) OK else UNAVAILABLE
        LocalResponse(status, "{\"standing\":\"$standing\"}".encodeToByteArray())
    }

    private fun isLeaving(): Boolean = assembly.entry.advertisedUntil != null

    override fun metrics(): CompletionStage<LocalResponse> = completed(LocalResponse(OK, metrics.text(), RouterMetrics.CONTENT_TYPE))

    override fun operator(request: OperatorRequest): CompletionStage<LocalResponse> {
        if (request.secret == null ||
            !secret.matches(request.secret)
        ) {
            return completed(errorResponse(UNAUTHORIZED, "secret_wrong", "the shared secret is needed"))
        }
        return when (request.path) {
            "timeline" -> completed(timelineResponse())
            "state" -> state()
            "withdrawals" -> withdraw(request)
            else -> completed(errorResponse(NOT_FOUND, "not_found", "no such operator call"))
        }
    }

    private fun timelineResponse(): LocalResponse {
        val lines = timeline.snapshot().joinToString("\n", transform = TimelineJsonLines::encode)
        return LocalResponse(OK, lines.encodeToByteArray(), "application/jsonl")
    }

    private fun state(): CompletionStage<LocalResponse> = loop.query { now ->
        val body = InstanceStateResponse(
            instance = assembly.membership.membership.self.text,
            configurationNext = assembly.configuration.effective.next.number,
            standing = assembly.configuration.statusAt(now).name,
            instances = assembly.membership.membership.live.map { it.id.text },
            activeRequests = assembly.requests.activeRequests,
            queuedRequests = assembly.queue.size,
        )
        jsonResponse(InstanceStateResponse.serializer(), body)
    }

    private fun withdraw(call: OperatorRequest): CompletionStage<LocalResponse> {
        val body = try {
            json.decodeFromString(WithdrawalBody.serializer(), call.body.decodeToString())
        } catch (failure: SerializationException) {
            return completed(errorResponse(BAD_REQUEST, "malformed_body", failure.message.orEmpty()))
        }
        val number = withdrawalNumbers.incrementAndGet()
        val response = CompletableFuture<LocalResponse>()
        pendingWithdrawals[number] = response
        response.orTimeout(WITHDRAWAL_TIMEOUT_SECONDS, TimeUnit.SECONDS).whenComplete { _, _ -> pendingWithdrawals.remove(number) }
        loop.submit(WithdrawalRequested(number, KeyDigest(body.digest)))
        return response
    }

    /** Completes the pending operator request that [effect] refers to. */
    fun completeWithdrawal(effect: AnswerWithdrawal) {
        pendingWithdrawals.remove(effect.requestNumber)
            ?.complete(jsonResponse(WithdrawalResponse.serializer(), WithdrawalResponse(effect.state)))
    }

    private fun workspaceOf(key: KeyDigest?, configuration: Configuration): WorkspaceId? =
        key?.takeIf { it !in configuration.withdrawnKeys }?.let { configuration.keys[it]?.workspace }

    private fun <T> jsonResponse(serializer: kotlinx.serialization.KSerializer<T>, body: T): LocalResponse =
        LocalResponse(OK, json.encodeToString(serializer, body).encodeToByteArray())

    private fun errorResponse(status: Int, type: String, message: String): LocalResponse {
        val body = ErrorBody(ErrorDetail(type, message, notRun = true))
        return LocalResponse(status, json.encodeToString(ErrorBody.serializer(), body).encodeToByteArray())
    }

    private fun completed(response: LocalResponse): CompletionStage<LocalResponse> = CompletableFuture.completedFuture(response)

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val WITHDRAWAL_TIMEOUT_SECONDS = 10L
    }
}
