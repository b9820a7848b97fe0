package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.fold
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.cactuspulley.core.forwarding.ClaimAnswer
import org.cactuspulley.core.forwarding.ClaimNumber
import org.cactuspulley.core.forwarding.OrderAnswer
import org.cactuspulley.core.forwarding.RolloutAction
import org.cactuspulley.core.forwarding.TargetReport
import org.cactuspulley.core.forwarding.WeightRollout
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import java.util.concurrent.Future
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Executes the actions that a [WeightRollout] decides on. */
@OptIn(ExperimentalSerializationApi::class)
internal class RolloutDriver(
    private val context: ForwardingContext,
    private val ownClaim: ClaimRecord,
    private val rollout: WeightRollout,
    private val store: RecordStore,
    private val control: TargetControl,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    /** Whether the store has been asked for the newest claim, so that its age is known before it is to be replaced. */
    private var hasReadClaim = false

    /**
     * The wall-clock times, in Unix milliseconds, between which the last claim of this instance was made and its orders may be sent. The
     * monotonic clock does not count the time for which the machine is suspended.
     */
    private var claimMillis = LongRange.EMPTY
    private var timer: Future<*>? = null

    /** The targets that peers were last told to avoid. */
    private var announcedLoading: Set<TargetId> = emptySet()

    /** When [timer] runs; null if nothing is scheduled. */
    private var timerAt: MonotonicTime? = null

    init {
        context.storeEra.onRise(::storeRestored)
    }

    /** Executes all actions that are due; must be called after every change of desired weights, targets or peers and every answer. */
    fun advance() {
        if (!hasReadClaim) readClaim()
        execute(rollout.step(context.clock.now(), isStopping = context.plannedStop != null))
        announceLoading()
        val next = rollout.nextDeadline
        if (next == timerAt && timer?.isDone == false) return
        timer?.cancel(false)
        timerAt = next
        timer = next?.let { context.schedule((it - context.clock.now()).coerceAtLeast(Duration.ZERO)) { timerRan() } }
    }

    /** Returns whether this instance holds the lease at [now], by the monotonic clock and by the wall clock. */
    fun holdsLease(now: MonotonicTime): Boolean = rollout.mayOrder(now) && wallClockMillis() in claimMillis

    private fun timerRan() {
        timerAt = null
        advance()
    }

    /** Makes the requests of all instances avoid targets that are drained or load weights. */
    private fun announceLoading() {
        val loading = rollout.loading.toSet()
        val now = context.clock.now()
        loading.forEach { context.state.directory[it]?.loadingUntil = now + LOADING_EXCLUSION }
        if (loading != announcedLoading) context.scheduleDigest()
        announcedLoading = loading
    }

    private fun execute(actions: List<RolloutAction>): Unit = actions.forEach { action ->
        when (action) {
            is RolloutAction.Claim -> claim(action.last)
            is RolloutAction.RequestReport -> requestReport(action.target)
            is RolloutAction.Order -> sendOrder(action)
        }
    }

    /** Learns at the start of the instance which claim is the newest. */
    private fun readClaim() {
        hasReadClaim = true
        store.newest(StoreTopic.CLAIMS) { result -> result.fold(success = ::recordClaim, failure = { logReadFailure(it) }) }
    }

    private fun logReadFailure(failure: StoreFailure) = context.log.event("claim_unread", "cause" to failure.toString())

    /** Records the newest claim in [batch], which holds the newest record of each key of the topic. */
    private fun recordClaim(batch: RecordBatch) {
        context.storeEra.recordAnswer(StoreTopic.CLAIMS, batch.era)
        val record = batch.records.firstOrNull { it.key == CLAIM_KEY } ?: return
        val claim = record.value?.let(::decodeClaim)
        val number = ClaimNumber(batch.era, record.offset + 1)
        // Claims that followed one of an earlier era may have been lost, so its holder does not know that it was the last one.
        // A machine that replaces another one may bear its name.
        val holder = claim?.takeIf { it.era == batch.era && (it.holder != ownClaim.holder || it.address == ownClaim.address) }
            ?.let { InstanceId(it.holder) }
        if (!rollout.recordClaim(holder, number, context.clock.now())) return
        context.log.event(
            "claim_read",
            "holder" to claim?.holder,
            "incarnation" to claim?.incarnation,
            "writtenIn" to claim?.era,
            "fence" to number.fencingToken,
        )
    }

    private fun claim(last: ClaimNumber?) {
        // No other claim has been appended if the topic still ends after the last one.
        if (last != null) return appendClaim(last)
        store.newest(StoreTopic.CLAIMS) { result ->
            result.fold(
                success = { batch ->
                    recordClaim(batch)
                    val mayClaim = rollout.mayClaim(context.clock.now())
                    if (mayClaim) appendClaim(ClaimNumber(batch.era, batch.next)) else claimAnswered(ClaimAnswer.Lost)
                },
                failure = { claimAnswered(ClaimAnswer.Unknown) },
            )
        }
    }

    /** Appends a claim where the topic ends according to [last]. */
    private fun appendClaim(last: ClaimNumber) {
        val calledAt = context.clock.now()
        val calledAtMillis = wallClockMillis()
        val record = Cbor.encodeToByteArray(ClaimRecord.serializer(), ownClaim.copy(era = last.era))
        store.append(StoreTopic.CLAIMS, CLAIM_KEY, record, last.end) { result ->
            claimAnswered(
                result.fold(
                    success = { appended ->
                        claimMillis = calledAtMillis..calledAtMillis + rollout.orderWindow.inWholeMilliseconds
                        claimAppended(appended, last.era, calledAt)
                    },
                    failure = { failure -> if (failure == StoreFailure.Moved) ClaimAnswer.Lost else ClaimAnswer.Unknown },
                ),
            )
        }
    }

    /** A store that was restored meanwhile may end at the same offset after other claims. */
    private fun claimAppended(appended: AppendedRecord, expectedEra: Long, calledAt: MonotonicTime): ClaimAnswer {
        context.storeEra.recordAnswer(StoreTopic.CLAIMS, appended.era)
        if (appended.era != expectedEra) return ClaimAnswer.Lost
        return ClaimAnswer.Granted(ClaimNumber(appended.era, appended.offset + 1), calledAt)
    }

    /** Lets all claims of the store's earlier eras, which may have been lost, end before the next one is made. */
    private fun storeRestored() {
        rollout.recordClaim(null, ClaimNumber(context.storeEra.current, 0), context.clock.now())
    }

    private fun decodeClaim(value: ByteArray): ClaimRecord? = try {
        Cbor.decodeUntrusted(ClaimRecord.serializer(), value)
    } catch (failure: SerializationException) {
        context.log.event("claim_unreadable", "reason" to failure.message)
        null
    }

    private fun claimAnswered(answer: ClaimAnswer) {
        val isRenewal = answer is ClaimAnswer.Granted && rollout.mayOrder(context.clock.now())
        if (!isRenewal) context.log.event("claim", "answer" to answer.toString(), "holder" to rollout.holder?.text)
        rollout.onClaimAnswer(answer, context.clock.now())
        if (!isRenewal) context.scheduleDigest()
        advance()
    }

    private fun requestReport(id: TargetId) {
        val target = context.state.directory[id] ?: return reportReceived(id, null)
        control.report(target.entry) { report -> reportReceived(id, report) }
    }

    private fun reportReceived(id: TargetId, report: TargetReport?) {
        execute(rollout.onReport(id, report, context.clock.now()))
        advance()
    }

    private fun sendOrder(action: RolloutAction.Order) {
        val target = context.state.directory[action.target]
        val sentAt = context.clock.now()
        if (target == null) return orderAnswered(action, OrderAnswer.UNANSWERED, sentAt)
        if (wallClockMillis() !in claimMillis) {
            context.log.event("claim_outdated", "fence" to action.fencingToken)
            rollout.releaseClaim()
            return orderAnswered(action, OrderAnswer.UNANSWERED, sentAt)
        }
        control.order(target.entry, action, InstanceId(ownClaim.holder)) { orderAnswered(action, it, sentAt) }
    }

    private fun orderAnswered(action: RolloutAction.Order, answer: OrderAnswer, sentAt: MonotonicTime) {
        context.log.event(
            "weights_ordered",
            "target" to action.target.text,
            "model" to action.weights.model.text,
            "version" to action.weights.version,
            "fence" to action.fencingToken,
            "runs" to action.runs.name,
            "answer" to answer.name,
            "millis" to (context.clock.now() - sentAt).inWholeMilliseconds,
        )
        rollout.onOrderAnswer(action.target, answer, context.clock.now())
        advance()
    }

    private companion object {
        const val CLAIM_KEY = "weights"

        /**
         * How long requests avoid a target that is drained or loads weights, unless it shows its new weights earlier. It is renewed while
         * the target is drained or loads.
         */
        val LOADING_EXCLUSION: Duration = 1.seconds
    }
}
