package org.cactuspulley.runtime.edge

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.cactuspulley.core.configuration.Authorization
import org.cactuspulley.core.configuration.AuthorizationFailure
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Grant
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.RequestEffect
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.instance.InstanceCore
import org.cactuspulley.core.journal.JournalPart
import org.cactuspulley.core.limits.AdmissionControl
import org.cactuspulley.core.limits.AdmissionDecision
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.quarantine.QuarantinePart
import org.cactuspulley.core.quarantine.QuarantineSettings
import org.cactuspulley.core.queueing.FairRequestQueue
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.requests.RequestDescription
import org.cactuspulley.core.requests.RequestPart
import org.cactuspulley.core.requests.RequestSettings
import org.cactuspulley.core.routing.AttemptReport
import org.cactuspulley.core.routing.CacheTransfer
import org.cactuspulley.core.routing.NoTargetReason
import org.cactuspulley.core.routing.SelectionRequest
import org.cactuspulley.core.routing.TargetDecision
import org.cactuspulley.core.routing.TargetSelection
import org.cactuspulley.runtime.control.ControlLoop
import org.cactuspulley.runtime.upstream.TargetClient
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

internal const val CALLER_KEY = "caller-key-0123456789"

/** Authorizes [CALLER_KEY]. Requests to plain services are not repeatable. */
private class TestAuthorization : Authorization {
    @Volatile
    var withdrawn = false

    override val nextDeadline: MonotonicTime? = null

    override fun authorize(request: RequestDescription, now: MonotonicTime): Result<Grant, AuthorizationFailure> = when {
        request.key == null -> Err(AuthorizationFailure.KeyMissing)
        withdrawn -> Err(AuthorizationFailure.KeyWithdrawn)
        request.key != KeyDigest(CALLER_KEY_DIGEST) -> Err(AuthorizationFailure.KeyUnknown)
        else -> Ok(Grant(WorkspaceId("workspace"), PROFILE, PoolName("pool"), repeatable = request.model != null))
    }

    override fun mayStart(key: KeyDigest?, now: MonotonicTime) = !withdrawn

    override fun handle(event: CoreEvent, now: MonotonicTime) = emptyList<CoreEffect>()

    private companion object {
        val PROFILE = Profile(ProfileName("profile"), 1_000_000, 1_000_000)
        val CALLER_KEY_DIGEST = java.security.MessageDigest.getInstance("SHA-256").digest(CALLER_KEY.toByteArray()).joinToString("") {
            "%02x".format(it)
        }
    }
}

private class UnlimitedAdmission : AdmissionControl {
    override val nextDeadline: MonotonicTime? = null

    override fun admit(request: RequestId, bucket: BucketId, tokens: Long, now: MonotonicTime) = AdmissionDecision.Admitted

    override fun settle(request: RequestId, usedTokens: Long, now: MonotonicTime) = emptyList<CoreEffect>()

    override fun release(request: RequestId, now: MonotonicTime) = emptyList<CoreEffect>()

    override fun handle(event: CoreEvent, now: MonotonicTime) = emptyList<CoreEffect>()
}

/** Selects the first target that is not excluded, in the given order. */
private class OrderedSelection(private val targets: List<TargetId>, private val handOver: CacheTransfer?) : TargetSelection {
    override val nextDeadline: MonotonicTime? = null

    override fun choose(request: SelectionRequest, now: MonotonicTime): TargetDecision =
        targets.firstOrNull { it !in request.excluded }
            ?.let { TargetDecision.Chosen(it, null, WeightsVersion("1"), "scope", 0, handOver) }
            ?: TargetDecision.None(NoTargetReason.ALL_EXCLUDED)

    override fun attemptStarted(attempt: AttemptId, request: SelectionRequest, choice: TargetDecision.Chosen, now: MonotonicTime) =
        emptyList<CoreEffect>()

    override fun attemptFinished(attempt: AttemptId, report: AttemptReport, now: MonotonicTime) = emptyList<CoreEffect>()

    override fun handle(event: CoreEvent, now: MonotonicTime) = emptyList<CoreEffect>()
}

/** The size of the metrics, larger than what the system buffers of a response that is not read. */
internal const val METRICS_BYTES = 6_000_000

private class TestEndpoints(private val metricsQueries: AtomicInteger) : LocalEndpoints {
    private val response = CompletableFuture.completedFuture(LocalResponse(200, "{}".toByteArray()))

    override fun entry(query: EntryQuery) = response

    override fun models(key: KeyDigest?) = response

    override fun health() = response

    override fun readiness() = response

    override fun metrics(): CompletableFuture<LocalResponse> {
        metricsQueries.incrementAndGet()
        return CompletableFuture.completedFuture(LocalResponse(200, ByteArray(METRICS_BYTES) { 'x'.code.toByte() }))
    }

    override fun operator(request: OperatorRequest) = response
}

/** A router instance on real sockets with fake targets and an in-memory log. */
internal class TestRouter(
    targets: List<FakeTarget>,
    settings: CallerServerSettings = CallerServerSettings("127.0.0.1", 0),
    requestSettings: RequestSettings = RequestSettings(),
    handOver: CacheTransfer? = null,
) : AutoCloseable {
    private val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val authorization = TestAuthorization()
    private val self = InstanceId("instance")
    private val targetIds = targets.indices.map { TargetId("target-$it") }
    private val log = ConcurrentHashMap<StreamName, CopyOnWriteArrayList<StoredRecord>>()
    private val requestNumbers = AtomicLong()

    /** The queries for metrics that have been answered. */
    val metricsQueries = AtomicInteger()

    /** Events in the order in which they were submitted to the control thread. */
    val events = LinkedBlockingQueue<CoreEvent>()

    /** Effects in the order in which the control thread produced them. */
    val effects = LinkedBlockingQueue<CoreEffect>()

    private val journal = JournalPart(self, InstanceIncarnation(1))
    private val quarantine = QuarantinePart(self, InstanceIncarnation(1), QuarantineSettings(ownerSettleTime = 0.milliseconds))
    private val requests = RequestPart(
        authorization,
        UnlimitedAdmission(),
        FairRequestQueue(),
        OrderedSelection(targetIds, handOver),
        journal,
        quarantine,
        requestSettings,
    )
    private val control = ControlLoop("test", InstanceCore(listOf(requests, journal, quarantine)), ::execute)
    val server = CallerServer(
        settings,
        eventLoops,
        TestEndpoints(metricsQueries),
        TargetClient(),
        ::submit,
        { RequestId("request-${requestNumbers.incrementAndGet()}") },
    )

    init {
        val versionedTargets = targets.zip(targetIds).associate { (target, id) ->
            val value = Target(id, TargetKind.ENGINE, PoolName("pool"), "127.0.0.1", target.port, ZoneName("zone"))
            id to Versioned(value, LogOffset.FIRST)
        }
        val instance = Instance(self, InstanceIncarnation(1), "127.0.0.1:1", "127.0.0.1:2", ZoneName("zone"))
        server.start()
        submit(MembershipChanged(Membership(self, mapOf(self to instance))))
        submit(ConfigurationChanged(Configuration(targets = versionedTargets)))
    }

    val port: Int get() = server.address.port

    fun submit(event: CoreEvent) {
        events.add(event)
        control.submit(event)
    }

    fun withdrawKey() {
        authorization.withdrawn = true
        submit(ConfigurationChanged(Configuration()))
    }

    private fun execute(effect: CoreEffect) {
        effects.add(effect)
        if (effect is RequestEffect) server.execute(effect)
        if (effect is AppendRecord) append(effect)
    }

    private fun append(effect: AppendRecord) {
        val records = log.computeIfAbsent(effect.stream) { CopyOnWriteArrayList() }
        val stored = StoredRecord(LogOffset(records.size.toLong()), effect.recordId, effect.record)
        records += stored
        control.submit(AppendAcknowledged(effect.stream, effect.recordId, stored.offset))
        control.submit(RecordsRead(effect.stream, listOf(stored), stored.offset.next(), LogOffset.FIRST, true, MonotonicTime.ZERO))
    }

    /** Waits for the first event of type [E] and discards preceding events. */
    inline fun <reified E : CoreEvent> awaitEvent(): E = generateSequence { events.take() }.first { it is E } as E

    /** Waits for the first effect of type [E] and discards preceding effects. */
    inline fun <reified E : CoreEffect> awaitEffect(): E = generateSequence { effects.take() }.first { it is E } as E

    override fun close() {
        server.close()
        control.close()
        eventLoops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS)
    }
}

/** A caller connection that sends and reads HTTP messages without an HTTP library. */
internal class RawCaller(port: Int, receiveBufferBytes: Int? = null) : AutoCloseable {
    private val socket = Socket().apply {
        receiveBufferBytes?.let { receiveBufferSize = it }
        soTimeout = READ_TIMEOUT_MILLIS
        connect(java.net.InetSocketAddress("127.0.0.1", port))
    }
    private val reader = socket.getInputStream().buffered()

    fun send(text: String) = socket.getOutputStream().writeText(text)

    /** Sends a complete request. */
    fun sendRequest(method: String, path: String, body: String = "", headers: List<String> = listOf("Authorization: Bearer $CALLER_KEY")) =
        send(
            "$method $path HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.toByteArray().size}\r\n${headers.joinToString("") {
                "$it\r\n"
            }}\r\n$body",
        )

    /** Reads one complete response. */
    fun readResponse(): RawResponse {
        val status = readLine().split(' ')[1].toInt()
        val headers = generateSequence { readLine().takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = if (headers["transfer-encoding"] ==
            "chunked"
        ) {
            readChunks()
        } else {
            String(reader.readNBytes(headers["content-length"]?.toInt() ?: 0))
        }
        return RawResponse(status, headers, body)
    }

    private fun readChunks(): String = buildString {
        while (true) {
            val size = readLine().toInt(16)
            append(String(reader.readNBytes(size)))
            readLine()
            if (size == 0) return@buildString
        }
    }

    private fun readLine(): String = buildString {
        while (true) {
            val next = reader.read()
            check(next >= 0) { "the server closed the connection before the end of the response" }
            if (next == '\n'.code) return@buildString
            if (next != '\r'.code) append(next.toChar())
        }
    }

    /** Waits for the next byte or the end of the input and returns whether the server has closed the connection. */
    fun isClosedByServer(): Boolean = reader.read() < 0

    override fun close() = socket.close()

    private companion object {
        const val READ_TIMEOUT_MILLIS = 20_000
    }
}

internal class RawResponse(val status: Int, val headers: Map<String, String>, val body: String)

internal fun chatBody(stream: Boolean = true, content: String = "hello") =
    """{"model":"m","stream":$stream,"messages":[{"role":"user","content":"$content"}]}"""
