package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.fold
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.cactuspulley.core.forwarding.ClaimAnswer
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
) {
    private var timer: Future<*>? = null

    /** The targets that peers were last told to avoid. */
    private var announcedLoading: Set<TargetId> = emptySet()

    /** When [timer] runs; null if nothing is scheduled. */
    private var timerAt: MonotonicTime? = null

    /** Executes all actions that are due; must be called after every change of desired weights, targets or peers and every answer. */
    fun advance() {
        execute(rollout.step(context.clock.now()))
        announceLoading()
        val next = rollout.nextDeadline
        if (next == timerAt && timer?.isDone == false) return
        timer?.cancel(false)
        timerAt = next
        timer = next?.let { context.schedule((it - context.clock.now()).coerceAtLeast(Duration.ZERO)) { advance() } }
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
            RolloutAction.Claim -> claim()
            is RolloutAction.RequestReport -> requestReport(action.target)
            is RolloutAction.Order -> sendOrder(action)
        }
    }

    private fun claim() {
        store.newest(StoreTopic.CLAIMS) { result ->
            result.fold(success = ::appendClaim, failure = { claimAnswered(ClaimAnswer.Unknown) })
        }
    }

    private fun appendClaim(batch: RecordBatch) {
        val currentClaim = batch.records.firstOrNull { it.key == CLAIM_KEY }?.value?.let(::decodeClaim)
        val now = context.clock.now()
        if (currentClaim != null && currentClaim.holder != ownClaim.holder &&
            context.state.fleet.isLive(InstanceId(currentClaim.holder), now)
        ) {
            return claimAnswered(ClaimAnswer.Lost(InstanceId(currentClaim.holder)))
        }
        store.append(StoreTopic.CLAIMS, CLAIM_KEY, Cbor.encodeToByteArray(ClaimRecord.serializer(), ownClaim), batch.next) { appended ->
            claimAnswered(
                appended.fold(
                    success = { ClaimAnswer.Granted(it.offset + 1) },
                    failure = { failure -> if (failure == StoreFailure.Moved) ClaimAnswer.Lost(null) else ClaimAnswer.Unknown },
                ),
            )
        }
    }

    private fun decodeClaim(value: ByteArray): ClaimRecord? = try {
        Cbor.decodeUntrusted(ClaimRecord.serializer(), value)
    } catch (failure: SerializationException) {
        context.log.event("claim_unreadable", "reason" to failure.message)
        null
    }

    private fun claimAnswered(answer: ClaimAnswer) {
        context.log.event("claim", "answer" to answer.toString())
        rollout.onClaimAnswer(answer, context.clock.now())
        context.scheduleDigest()
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
        if (target == null) return orderAnswered(action, OrderAnswer.UNANSWERED)
        control.order(target.entry, action.weights, InstanceId(ownClaim.holder), action.fencingToken, action.ordersAccepted, action.runs) {
            orderAnswered(action, it)
        }
    }

    private fun orderAnswered(action: RolloutAction.Order, answer: OrderAnswer) {
        context.log.event(
            "weights_ordered",
            "target" to action.target.text,
            "model" to action.weights.model.text,
            "version" to action.weights.version,
            "fence" to action.fencingToken,
            "runs" to action.runs.name,
            "answer" to answer.name,
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
