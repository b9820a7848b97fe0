package org.cactuspulley.runtime.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.ConfigurationReplica
import org.cactuspulley.core.configuration.KeyGrant
import org.cactuspulley.core.configuration.RecordOutcome
import org.cactuspulley.core.configuration.applyRecord
import org.cactuspulley.core.configuration.keyDigestOf
import org.cactuspulley.core.effect.WithdrawalState
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.platform.LogPage
import org.cactuspulley.core.record.GiveKey
import org.cactuspulley.core.record.LogRecordCodec
import org.cactuspulley.core.record.OperatorRecord
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.record.WithdrawKey
import org.cactuspulley.runtime.platform.AppendFailure
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.platform.PlatformHttpClient
import org.cactuspulley.runtime.platform.PlatformRequest
import org.cactuspulley.runtime.platform.PlatformRequestFailure
import org.cactuspulley.runtime.platform.PlatformResponse
import org.cactuspulley.runtime.platform.appendOutcome
import org.cactuspulley.runtime.platform.createAppendRequest
import org.cactuspulley.runtime.platform.createReadRequest
import org.cactuspulley.runtime.platform.decodePage
import org.cactuspulley.runtime.platform.platformJson
import org.cactuspulley.runtime.platform.toStoredRecord
import java.security.SecureRandom
import java.util.Base64
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A newly issued key.
 *
 * @property plainKey the key in plain text. Only its digest is stored, so the plain text cannot be retrieved later.
 * @property digest the digest of the key.
 * @property workspace the workspace that the key belongs to.
 * @property label the label that the operator gave the key.
 */
@Serializable
public data class IssuedKey(val plainKey: String, val digest: KeyDigest, val workspace: WorkspaceId, val label: String)

/**
 * The result of a withdrawal.
 *
 * @property digest the digest of the withdrawn key.
 * @property isKept whether the withdrawal is stored in the log.
 * @property state the state that an instance reported, or null if none responded.
 */
@Serializable
public data class WithdrawalReport(val digest: KeyDigest, val isKept: Boolean, val state: WithdrawalState?)

/**
 * Changes the configuration on behalf of an operator. A change is accepted once its record has been read back from
 * the log and does not conflict with the configuration that results from all earlier records. The response to the append
 * does not decide this, because it can be lost after the record was stored. All methods block, and the client
 * is not thread-safe.
 *
 * @param log the addresses of the platform's log; after a failed read the client uses the next one.
 * @param instances the instances that withdrawals are also sent to, so that they take effect while the log is down.
 * @param secret the secret that the instances share; required if [instances] is not empty.
 * @param timeout how long a read, or an append and its confirmation, is retried.
 */
public class OperatorClient(
    private val log: List<HostAndPort>,
    private val instances: List<HostAndPort> = emptyList(),
    private val secret: String? = null,
    private val timeout: Duration = 5.seconds,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = PlatformHttpClient(group)
    private val replica = ConfigurationReplica()
    private var endpointIndex = 0
    private var nextReadOffset = 0L

    /** Returns the configuration at the end of the log. */
    public fun read(): Result<Configuration, OperatorFailure> {
        val deadline = deadline()
        while (true) {
            val page = nextPage(deadline).getOrElse { return Err(it) }
            val isComplete = mergePage(page)
            if (isComplete && replica.configuration.next.number >= page.tail) return Ok(replica.configuration)
            if (!isComplete && page.records.isEmpty()) return Err(OperatorFailure.RecordsLost)
        }
    }

    /** Appends the record that [build] creates from the current configuration. Returns its offset once it is accepted. */
    public fun change(build: (Configuration) -> Result<OperatorRecord, OperatorFailure>): Result<LogOffset, OperatorFailure> =
        read().andThen(build).andThen(::submit)

    private fun submit(record: OperatorRecord): Result<LogOffset, OperatorFailure> {
        val id = RecordId("operator-${UUID.randomUUID()}")
        val deadline = deadline()
        val bytes = LogRecordCodec.encode(record)
        while (true) {
            val outcome = appendOutcome(send(currentEndpoint(), createAppendRequest(StreamName.OPERATORS, id, bytes, REQUEST_TIMEOUT)))
            val notAppended = outcome.fold(success = { null }, failure = { it as? AppendFailure.NotAppended })
            if (notAppended == null) return readBack(id, deadline)
            if (isPast(deadline)) return Err(OperatorFailure.LogUnavailable(notAppended.reason))
            Thread.sleep(RETRY_DELAY.inWholeMilliseconds)
        }
    }

    /** Reads the log until it reaches the record [id]. The records before it decide whether it is accepted. */
    private fun readBack(id: RecordId, deadline: MonotonicTime): Result<LogOffset, OperatorFailure> {
        while (!isPast(deadline)) {
            val page = nextPage(deadline).getOrElse { return Err(OperatorFailure.OutcomeUnknown(id)) }
            for (stored in page.records.map { record -> record.toStoredRecord {} }) {
                if (stored.id == id) return outcomeOf(stored, page)
                mergePage(page.copy(records = page.records.filter { it.offset == stored.offset.number }))
            }
        }
        return Err(OperatorFailure.OutcomeUnknown(id))
    }

    private fun outcomeOf(stored: StoredRecord, page: LogPage): Result<LogOffset, OperatorFailure> {
        if (stored.offset != replica.configuration.next) return Err(OperatorFailure.OutcomeUnknown(stored.id))
        val outcome = replica.configuration.applyRecord(stored).outcome
        mergePage(page.copy(records = page.records.filter { it.offset == stored.offset.number }))
        return when (outcome) {
            is RecordOutcome.Rejected -> Err(OperatorFailure.Conflict(outcome.conflict))
            RecordOutcome.Accepted, RecordOutcome.Ignored -> Ok(stored.offset)
        }
    }

    /** Issues a new key for [workspace]. */
    public fun issueKey(workspace: WorkspaceId, label: String): Result<IssuedKey, OperatorFailure> {
        val plainKey = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(ByteArray(KEY_BYTES).also(random::nextBytes))
        val digest = keyDigestOf(plainKey)
        return change { Ok(GiveKey(KeyGrant(digest, workspace, label))) }.map { IssuedKey(plainKey, digest, workspace, label) }
    }

    /**
     * Withdraws the key with [digest]. The withdrawal is sent to the log and to an instance concurrently, so that the
     * key is refused within seconds even if one of the two is unreachable.
     */
    public fun withdrawKey(digest: KeyDigest): Result<WithdrawalReport, OperatorFailure> {
        val instanceState = CompletableFuture.supplyAsync { requestWithdrawal(digest) }
        val logResult = change { Ok(WithdrawKey(digest)) }
        val remainingWait = if (logResult.isOk) REQUEST_TIMEOUT else WITHDRAWAL_TIMEOUT
        val state = instanceState.completeOnTimeout(null, remainingWait.inWholeMilliseconds, TimeUnit.MILLISECONDS).join()
        return logResult.fold(
            success = { Ok(WithdrawalReport(digest, isKept = true, state)) },
            failure = { failure ->
                if (state == null) {
                    Err(OperatorFailure.WithdrawalFailed(failure.message))
                } else {
                    Ok(WithdrawalReport(digest, isKept = state == WithdrawalState.KEPT, state))
                }
            },
        )
    }

    private fun requestWithdrawal(digest: KeyDigest): WithdrawalState? =
        instances.firstNotNullOfOrNull { requestWithdrawalFrom(it, digest) }

    private fun requestWithdrawalFrom(instance: HostAndPort, digest: KeyDigest): WithdrawalState? {
        val body = platformJson.encodeToString(WithdrawalRequest.serializer(), WithdrawalRequest(digest.hexadecimal))
        val headers = mapOf("Authorization" to "Bearer ${secret.orEmpty()}", "Content-Type" to "application/json")
        val request = PlatformRequest(HttpMethod.POST, "/operator/withdrawals", body.encodeToByteArray(), headers, WITHDRAWAL_TIMEOUT)
        val response = send(instance, request).get()?.takeIf { it.status == HttpResponseStatus.OK.code() } ?: return null
        return try {
            platformJson.decodeFromString(WithdrawalResponse.serializer(), response.body.decodeToString()).state
        } catch (_: SerializationException) {
            null
        }
    }

    private fun mergePage(page: LogPage): Boolean {
        val records = page.records.map { record -> record.toStoredRecord {} }
        val next = records.lastOrNull()?.offset?.next() ?: maxOf(replica.configuration.next, LogOffset(page.firstKept))
        val read = RecordsRead(
            stream = StreamName.OPERATORS,
            records = records,
            next = next,
            firstKept = LogOffset(page.firstKept),
            reachedTail = next.number >= page.tail,
            askedAt = now(),
        )
        nextReadOffset = next.number
        return replica.merge(read)
    }

    private fun nextPage(deadline: MonotonicTime): Result<LogPage, OperatorFailure> {
        while (true) {
            val from = maxOf(nextReadOffset, replica.configuration.next.number)
            val result =
                send(currentEndpoint(), createReadRequest(StreamName.OPERATORS, from, RECORDS_PER_READ, LONG_POLL_WAIT, REQUEST_TIMEOUT))
            val reason = decodePage(result).fold(success = { return Ok(it) }, failure = { it })
            endpointIndex += 1
            if (isPast(deadline)) return Err(OperatorFailure.LogUnavailable(reason))
            Thread.sleep(RETRY_DELAY.inWholeMilliseconds)
        }
    }

    private fun currentEndpoint(): HostAndPort = log[Math.floorMod(endpointIndex, log.size)]

    private fun send(address: HostAndPort, request: PlatformRequest): Result<PlatformResponse, PlatformRequestFailure> {
        val response = CompletableFuture<Result<PlatformResponse, PlatformRequestFailure>>()
        client.send(address, request) { response.complete(it) }
        return response.join()
    }

    private fun now() = MonotonicTime(System.nanoTime())

    private fun deadline() = now() + timeout

    private fun isPast(deadline: MonotonicTime) = now() >= deadline

    override fun close() {
        client.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private companion object {
        const val KEY_PREFIX = "cp-"
        const val KEY_BYTES = 32
        const val RECORDS_PER_READ = 512
        val LONG_POLL_WAIT = 100.milliseconds
        val REQUEST_TIMEOUT = 2.seconds
        val WITHDRAWAL_TIMEOUT = 12.seconds
        val RETRY_DELAY = 200.milliseconds
        val random = SecureRandom()
    }
}

@Serializable
private data class WithdrawalRequest(val digest: String)

@Serializable
private data class WithdrawalResponse(val state: WithdrawalState)
