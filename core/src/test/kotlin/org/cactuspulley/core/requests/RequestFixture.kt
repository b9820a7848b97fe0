package org.cactuspulley.core.requests

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
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
import org.cactuspulley.core.effect.RefuseRequest
import org.cactuspulley.core.effect.StartAttempt
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AttemptFinished
import org.cactuspulley.core.event.AttemptFirstByte
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.RequestArrived
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.InstanceCore
import org.cactuspulley.core.journal.JournalPart
import org.cactuspulley.core.limits.AdmissionControl
import org.cactuspulley.core.limits.AdmissionDecision
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ModelName
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
import org.cactuspulley.core.queueing.OfferResult
import org.cactuspulley.core.queueing.QueuedRequest
import org.cactuspulley.core.queueing.RequestQueue
import org.cactuspulley.core.record.JournalRecord
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.routing.AttemptReport
import org.cactuspulley.core.routing.NoTargetReason
import org.cactuspulley.core.routing.SelectionRequest
import org.cactuspulley.core.routing.TargetDecision
import org.cactuspulley.core.routing.TargetSelection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal val POOL = PoolName("pool")
internal val WORKSPACE = WorkspaceId("workspace")
internal val SELF = InstanceId("instance-1")

/** Returns the configured results. */
internal class StubAuthorization : Authorization {
    var result: Result<Grant, AuthorizationFailure> = Ok(grant(repeatable = true))
    var keyIsWithdrawn = false

    override val nextDeadline: MonotonicTime? = null

    override fun authorize(request: RequestDescription, now: MonotonicTime) = result

    override fun mayStart(key: KeyDigest?, now: MonotonicTime) = !keyIsWithdrawn

    override fun handle(event: CoreEvent, now: MonotonicTime) = emptyList<CoreEffect>()

    fun fail(failure: AuthorizationFailure) {
        result = Err(failure)
    }
}

internal fun grant(repeatable: Boolean, chargeCachedTokens: Boolean = true) = Grant(
    WORKSPACE,
    Profile(ProfileName("profile"), 1_000, 1_000, chargeCachedTokens = chargeCachedTokens),
    POOL,
    repeatable,
)

/** Returns the configured decision and records how charges end. */
internal class StubAdmission : AdmissionControl {
    var decision: AdmissionDecision = AdmissionDecision.Admitted
    val settled = mutableMapOf<RequestId, Long>()
    val released = mutableListOf<RequestId>()

    override val nextDeadline: MonotonicTime? = null

    override fun admit(request: RequestId, bucket: BucketId, tokens: Long, now: MonotonicTime) = decision

    override fun settle(request: RequestId, usedTokens: Long, now: MonotonicTime): List<CoreEffect> {
        settled[request] = usedTokens
        return emptyList()
    }

    override fun release(request: RequestId, now: MonotonicTime): List<CoreEffect> {
        released += request
        return emptyList()
    }

    override fun handle(event: CoreEvent, now: MonotonicTime) = emptyList<CoreEffect>()
}

/** Queues requests in order of arrival, or returns [offerResult] if it is not `Queued`. */
internal class FifoQueue : RequestQueue {
    private val waiting = mutableListOf<QueuedRequest>()
    var offerResult: OfferResult = OfferResult.Queued

    override val size get() = waiting.size
    override val nextDeadline get() = waiting.minOfOrNull { it.deadline }

    override fun offer(request: QueuedRequest, now: MonotonicTime): OfferResult {
        if (offerResult == OfferResult.Queued) waiting += request
        return offerResult
    }

    override fun remove(request: RequestId) = waiting.removeAll { it.id == request }

    override fun expire(now: MonotonicTime) = waiting.filter { it.deadline <= now }.also { waiting.removeAll(it) }

    override fun drain(pool: PoolName, now: MonotonicTime, start: (QueuedRequest) -> Boolean) {
        while (waiting.isNotEmpty() && start(waiting.first())) waiting.removeFirst()
    }
}

/** Chooses the first target that is not excluded, or returns [fixedDecision] if it is set. */
internal class StubSelection : TargetSelection {
    var targets = listOf("a", "b", "c")
    var weights = mutableMapOf<String, String>()
    var fixedDecision: TargetDecision? = null
    val reports = mutableMapOf<AttemptId, AttemptReport>()

    override val nextDeadline: MonotonicTime? = null

    override fun choose(request: SelectionRequest, now: MonotonicTime): TargetDecision {
        fixedDecision?.let { return it }
        val target = targets.map(::TargetId).firstOrNull { it !in request.excluded }
            ?: return TargetDecision.None(NoTargetReason.ALL_EXCLUDED)
        return TargetDecision.Chosen(target, null, WeightsVersion(weights[target.text] ?: "1"), "scope", 0)
    }

    override fun attemptStarted(attempt: AttemptId, request: SelectionRequest, choice: TargetDecision.Chosen, now: MonotonicTime) =
        emptyList<CoreEffect>()

    override fun attemptFinished(attempt: AttemptId, report: AttemptReport, now: MonotonicTime): List<CoreEffect> {
        check(reports.put(attempt, report) == null) { "attempt $attempt was reported more than once" }
        return emptyList()
    }

    override fun handle(event: CoreEvent, now: MonotonicTime) = emptyList<CoreEffect>()
}

/** Runs the request part of one instance with a real journal and quarantine on simulated time and a simulated log. */
internal class RequestFixture(settings: RequestSettings = RequestSettings()) {
    val authorization = StubAuthorization()
    val admission = StubAdmission()
    val queue = FifoQueue()
    val selection = StubSelection()
    private val journal = JournalPart(SELF, InstanceIncarnation(1))
    private val quarantine = QuarantinePart(SELF, InstanceIncarnation(1))
    val requests = RequestPart(authorization, admission, queue, selection, journal, quarantine, settings)
    private val core = InstanceCore(listOf(requests, journal, quarantine))
    private val log = mutableMapOf<StreamName, MutableList<StoredRecord>>()
    var now = MonotonicTime.ZERO
        private set

    /** Whether appends reach the log and are acknowledged. */
    var logIsAvailable = true
    val effects = mutableListOf<CoreEffect>()

    init {
        val targets = listOf("a", "b", "c").associate { name ->
            TargetId(name) to Versioned(
                Target(TargetId(name), TargetKind.ENGINE, POOL, "127.0.0.1", 1, ZoneName("zone")),
                LogOffset.FIRST,
            )
        }
        val self = Instance(SELF, InstanceIncarnation(1), "127.0.0.1:1", "127.0.0.1:2", ZoneName("zone"))
        handle(MembershipChanged(Membership(SELF, mapOf(SELF to self))))
        advance(10.seconds)
        handle(ConfigurationChanged(Configuration(targets = targets)))
        effects.clear()
    }

    fun handle(event: CoreEvent) {
        val pending = ArrayDeque(core.handle(event, now))
        while (pending.isNotEmpty()) {
            val effect = pending.removeFirst()
            effects += effect
            if (effect is AppendRecord && logIsAvailable) pending += append(effect)
        }
    }

    private fun append(effect: AppendRecord): List<CoreEffect> {
        val records = log.getOrPut(effect.stream, ::mutableListOf)
        val stored = StoredRecord(LogOffset(records.size.toLong()), effect.recordId, effect.record)
        records += stored
        val read = RecordsRead(effect.stream, listOf(stored), stored.offset.next(), LogOffset.FIRST, true, now)
        return core.handle(AppendAcknowledged(effect.stream, effect.recordId, stored.offset), now) + core.handle(read, now)
    }

    /** Advances the clock by [time] and fires the timers that become due. */
    fun advance(time: Duration) {
        val end = now + time
        while (true) {
            val deadline = core.nextDeadline ?: break
            if (deadline > end) break
            now = maxOf(now, deadline)
            handle(TimerFired)
        }
        now = end
    }

    fun arrive(
        id: String = "r",
        idempotencyKey: String? = null,
        timeout: Duration = 60.seconds,
        fingerprint: Long = 7,
        streaming: Boolean = true,
    ) {
        val description = RequestDescription(
            id = RequestId(id),
            key = KeyDigest("digest"),
            profile = null,
            method = "POST",
            path = "/v1/chat/completions",
            model = ModelName("model"),
            adapter = null,
            prompt = listOf(PromptPiece(1, 100)),
            maximumOutputTokens = 50,
            streaming = streaming,
            idempotencyKey = idempotencyKey?.let(::IdempotencyKey),
            fingerprint = fingerprint,
            deadline = now + timeout,
        )
        handle(RequestArrived(description))
    }

    val attempts: List<StartAttempt> get() = effects.filterIsInstance<StartAttempt>()

    fun finish(outcome: AttemptOutcome, attempt: StartAttempt = attempts.last()) =
        handle(AttemptFinished(attempt.request, attempt.attempt, outcome))

    fun firstByte(attempt: StartAttempt = attempts.last()) = handle(AttemptFirstByte(attempt.request, attempt.attempt))

    fun refusals(id: String = "r"): List<Refusal> =
        effects.filterIsInstance<RefuseRequest>().filter { it.request == RequestId(id) }.map { it.refusal }

    fun journalEntries() = log.values.flatten().mapNotNull { it.record as? JournalRecord }.flatMap { it.entries }
}

internal fun completed(cachedTokens: Int? = null, answer: RecordedAnswer? = null) =
    AttemptOutcome.Completed(status = 200, promptTokens = 100, cachedTokens = cachedTokens, outputTokens = 20, answer = answer)
