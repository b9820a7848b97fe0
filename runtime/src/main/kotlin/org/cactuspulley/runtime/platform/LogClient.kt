package org.cactuspulley.runtime.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.UnfollowStream
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.platform.AppendAnswer
import org.cactuspulley.core.platform.LogPage
import org.cactuspulley.core.platform.LogPageRecord
import org.cactuspulley.core.record.LogRecordCodec
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.record.UnreadableRecord
import org.cactuspulley.runtime.control.EffectExecutor
import org.cactuspulley.runtime.control.MonotonicClock
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limits and timeouts of a [LogClient].
 *
 * @property readWait how long the log may delay the response to a read while there are no new records (long polling).
 * @property requestTimeout the timeout of an append; a read may take this long in addition to [readWait].
 * @property retryDelay the delay before a failed read is retried.
 * @property recordsPerRead the maximum number of records that one read returns.
 * @property maxAppendsInFlight the maximum number of appends that wait for a response; further appends are not sent and are
 * reported as certainly not appended.
 */
public data class LogClientOptions(
    val readWait: Duration = 500.milliseconds,
    val requestTimeout: Duration = 1_000.milliseconds,
    val retryDelay: Duration = 200.milliseconds,
    val recordsPerRead: Int = 512,
    val maxAppendsInFlight: Int = 256,
)

/**
 * Executes the effects of the core on the platform's log and submits the results as events, without blocking. While the
 * log is down, each read fails, after its timeout at the latest, and is retried; appends are reported as
 * [AppendUncertain]. After a failed request, the client uses the next of [endpoints].
 */
public class LogClient(
    private val endpoints: List<HostAndPort>,
    private val group: EventLoopGroup,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val options: LogClientOptions = LogClientOptions(),
    private val submit: (CoreEvent) -> Unit,
) : EffectExecutor, AutoCloseable {
    private val client = PlatformHttpClient(group)
    private val followers = ConcurrentHashMap<StreamName, StreamFollower>()
    private val appendsInFlight = AtomicInteger()
    private val endpointIndex = AtomicInteger()
    private val unreadableCount = AtomicLong()

    /** The number of records that were read but that this version of the router cannot decode. */
    public val unreadableRecords: Long get() = unreadableCount.get()

    /** Executes [effect] if it concerns the log; ignores it otherwise. */
    override fun execute(effect: CoreEffect) {
        when (effect) {
            is AppendRecord -> append(effect)
            is FollowStream -> follow(effect.stream, effect.from)
            is UnfollowStream -> followers.remove(effect.stream)?.stop()
            else -> Unit
        }
    }

    private fun follow(stream: StreamName, from: LogOffset) {
        val follower = StreamFollower(stream, from.number)
        followers.put(stream, follower)?.stop()
        follower.read()
    }

    private fun append(effect: AppendRecord) {
        if (appendsInFlight.incrementAndGet() > options.maxAppendsInFlight) {
            appendsInFlight.decrementAndGet()
            submit(AppendUncertain(effect.stream, effect.recordId, certainlyNotAppended = true))
            return
        }
        val request = createAppendRequest(effect.stream, effect.recordId, LogRecordCodec.encode(effect.record), options.requestTimeout)
        client.send(currentEndpoint(), request) { result ->
            appendsInFlight.decrementAndGet()
            submit(appendEvent(effect, result))
        }
    }

    private fun appendEvent(effect: AppendRecord, result: Result<PlatformResponse, PlatformRequestFailure>): CoreEvent =
        appendOutcome(result).fold(
            success = { AppendAcknowledged(effect.stream, effect.recordId, it) },
            failure = {
                endpointIndex.incrementAndGet()
                AppendUncertain(effect.stream, effect.recordId, it is AppendFailure.NotAppended)
            },
        )

    private fun currentEndpoint(): HostAndPort = endpoints[Math.floorMod(endpointIndex.get(), endpoints.size)]

    override fun close() {
        followers.values.forEach { it.stop() }
        followers.clear()
        client.close()
    }

    /** Reads one stream page by page until it is stopped; [nextOffset] is the offset from which the next page is read. */
    private inner class StreamFollower(private val stream: StreamName, private var nextOffset: Long) {
        @Volatile private var isStopped = false
        private var retry: ScheduledFuture<*>? = null

        fun read() {
            if (isStopped) return
            val askedAt = clock.now()
            val request = createReadRequest(
                stream,
                nextOffset,
                options.recordsPerRead,
                options.readWait,
                options.readWait + options.requestTimeout,
            )
            client.send(currentEndpoint(), request) { handlePage(it, askedAt) }
        }

        private fun handlePage(result: Result<PlatformResponse, PlatformRequestFailure>, askedAt: MonotonicTime) {
            if (isStopped) return
            val page = decodePage(result).getOrElse {
                endpointIndex.incrementAndGet()
                submit(ReadFailed(stream))
                retry = group.schedule(::read, options.retryDelay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
                return
            }
            val next = page.records.lastOrNull()?.let { it.offset + 1 } ?: maxOf(nextOffset, page.firstKept)
            nextOffset = next
            submit(
                RecordsRead(
                    stream = stream,
                    records = page.records.map(::storedRecord),
                    next = LogOffset(next),
                    firstKept = LogOffset(page.firstKept),
                    reachedTail = next >= page.tail,
                    askedAt = askedAt,
                ),
            )
            read()
        }

        fun stop() {
            isStopped = true
            retry?.cancel(false)
        }
    }

    private fun storedRecord(record: LogPageRecord): StoredRecord = record.toStoredRecord { unreadableCount.incrementAndGet() }
}

/** Describes why an append was not acknowledged. */
internal sealed interface AppendFailure {
    /** The record is certainly not in the log. */
    data class NotAppended(val reason: String) : AppendFailure

    /** The record may be in the log, or may still be appended. */
    data class Uncertain(val reason: String) : AppendFailure
}

/** The JSON format of the platform's services. */
internal val platformJson = Json { ignoreUnknownKeys = true }

/** Returns the request that appends [bytes] to [stream] as the record [id]. */
internal fun createAppendRequest(stream: StreamName, id: RecordId, bytes: ByteArray, timeout: Duration) =
    PlatformRequest(HttpMethod.POST, "/streams/${stream.text}/records", bytes, mapOf("X-Record-Id" to id.text), timeout)

/** Returns the request that reads at most [limit] records of [stream] from offset [from]; the log waits up to [wait] for new ones. */
internal fun createReadRequest(stream: StreamName, from: Long, limit: Int, wait: Duration, timeout: Duration) = PlatformRequest(
    HttpMethod.GET,
    "/streams/${stream.text}/records?from=$from&limit=$limit&wait_ms=${wait.inWholeMilliseconds}",
    timeout = timeout,
)

/** Returns the offset of the appended record, or an [AppendFailure] if the log did not acknowledge the append. */
internal fun appendOutcome(result: Result<PlatformResponse, PlatformRequestFailure>): Result<LogOffset, AppendFailure> = result.fold(
    success = { response ->
        when {
            response.status == HttpResponseStatus.CREATED.code() -> appendedOffset(response)
            response.status in CLIENT_ERROR_STATUSES -> Err(AppendFailure.NotAppended("status ${response.status}"))
            else -> Err(AppendFailure.Uncertain("status ${response.status}"))
        }
    },
    failure = { failure ->
        when (failure) {
            is PlatformRequestFailure.NotSent -> Err(AppendFailure.NotAppended(failure.reason))
            is PlatformRequestFailure.Unanswered -> Err(AppendFailure.Uncertain(failure.reason))
        }
    },
)

private fun appendedOffset(response: PlatformResponse): Result<LogOffset, AppendFailure> = try {
    Ok(LogOffset(platformJson.decodeFromString(AppendAnswer.serializer(), response.body.decodeToString()).offset))
} catch (failure: SerializationException) {
    Err(AppendFailure.Uncertain("unreadable response: ${failure.message}"))
}

/** Decodes the page in the response to a read; returns the reason as text if there is none. */
internal fun decodePage(result: Result<PlatformResponse, PlatformRequestFailure>): Result<LogPage, String> = result.fold(
    success = { response ->
        if (response.status != HttpResponseStatus.OK.code()) return@fold Err("status ${response.status}")
        try {
            Ok(platformJson.decodeFromString(LogPage.serializer(), response.body.decodeToString()))
        } catch (failure: SerializationException) {
            Err("unreadable response: ${failure.message}")
        }
    },
    failure = { Err(it.toString()) },
)

/** Decodes this record. A record that this version of the router cannot decode becomes [UnreadableRecord], and [onUnreadable] is called. */
internal fun LogPageRecord.toStoredRecord(onUnreadable: () -> Unit): StoredRecord {
    val bytes = try {
        Base64.getDecoder().decode(data)
    } catch (_: IllegalArgumentException) {
        null
    }
    val record = bytes?.let { LogRecordCodec.decode(it).get() } ?: UnreadableRecord.also { onUnreadable() }
    return StoredRecord(LogOffset(offset), RecordId(id), record)
}

private val CLIENT_ERROR_STATUSES = 400..499
