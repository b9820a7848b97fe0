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

/** Carries out what a [WeightRollout] decides. */
@OptIn(ExperimentalSerializationApi::class)
internal class RolloutDriver(
    private val instance: ForwardingContext,
    private val self: ClaimRecord,
    private val rollout: WeightRollout,
    private val store: RecordStore,
    private val control: TargetControl,
    private val onProgress: () -> Unit,
) {
    private var timer: Future<*>? = null
    private var told: Set<TargetId> = emptySet()
    private var timerAt: MonotonicTime? = null

    /** Does what is due; called after anything that concerns a rollout changed. */
    fun wake() {
        carryOut(rollout.step(instance.clock.now()))
        tellLoading()
        val next = rollout.nextDeadline
        if (next == timerAt && timer?.isDone == false) return
        timer?.cancel(false)
        timerAt = next
        timer = next?.let { instance.schedule((it - instance.clock.now()).coerceAtLeast(Duration.ZERO)) { wake() } }
    }

    /** Requests of all instances avoid the targets that are emptied or load. */
    private fun tellLoading() {
        val loading = rollout.loading.toSet()
        val now = instance.clock.now()
        loading.forEach { instance.state.directory[it]?.loadingUntil = now + LOADING_HINT }
        if (loading != told) onProgress()
        told = loading
    }

    private fun carryOut(actions: List<RolloutAction>): Unit = actions.forEach { action ->
        when (action) {
            RolloutAction.Claim -> claim()
            is RolloutAction.RequestReport -> askReport(action.target)
            is RolloutAction.Order -> order(action)
        }
    }

    private fun claim() {
        store.newest(StoreTopic.CLAIMS) { result ->
            result.fold(success = ::claimAt, failure = { claimed(ClaimAnswer.Unknown) })
        }
    }

    private fun claimAt(batch: RecordBatch) {
        val holder = batch.records.firstOrNull { it.key == CLAIM_KEY }?.value?.let(::holderOf)
        val now = instance.clock.now()
        if (holder != null && holder.holder != self.holder && instance.state.fleet.isLive(InstanceId(holder.holder), now)) {
            return claimed(ClaimAnswer.Lost(InstanceId(holder.holder)))
        }
        store.append(StoreTopic.CLAIMS, CLAIM_KEY, Cbor.encodeToByteArray(ClaimRecord.serializer(), self), batch.next) { appended ->
            claimed(
                appended.fold(
                    success = { offset -> ClaimAnswer.Granted(offset + 1) },
                    failure = { failure -> if (failure == StoreFailure.Moved) ClaimAnswer.Lost(null) else ClaimAnswer.Unknown },
                ),
            )
        }
    }

    private fun holderOf(value: ByteArray): ClaimRecord? = try {
        Cbor.decodeFromByteArray(ClaimRecord.serializer(), value)
    } catch (failure: SerializationException) {
        instance.log.belief("claim_unreadable", "reason" to failure.message)
        null
    }

    private fun claimed(answer: ClaimAnswer) {
        instance.log.belief("claim", "answer" to answer.toString())
        rollout.onClaimAnswer(answer, instance.clock.now())
        onProgress()
        wake()
    }

    private fun askReport(id: TargetId) {
        val target = instance.state.directory[id] ?: return reported(id, null)
        control.report(target.entry) { report -> reported(id, report) }
    }

    private fun reported(id: TargetId, report: TargetReport?) {
        carryOut(rollout.onReport(id, report, instance.clock.now()))
        wake()
    }

    private fun order(action: RolloutAction.Order) {
        val target = instance.state.directory[action.target]
        if (target == null) return ordered(action, OrderAnswer.UNANSWERED)
        control.order(target.entry, action.weights, InstanceId(self.holder), action.fencingToken, action.ordersAccepted, action.runs) {
            ordered(action, it)
        }
    }

    private fun ordered(action: RolloutAction.Order, answer: OrderAnswer) {
        instance.log.belief(
            "weights_ordered",
            "target" to action.target.text,
            "model" to action.weights.model.text,
            "version" to action.weights.version,
            "fence" to action.fencingToken,
            "runs" to action.runs.name,
            "answer" to answer.name,
        )
        rollout.onOrderAnswer(action.target, answer, instance.clock.now())
        wake()
    }

    private companion object {
        const val CLAIM_KEY = "weights"

        /** How long requests avoid a target that is emptied or loads, unless it shows its weights earlier; renewed while that lasts. */
        val LOADING_HINT: Duration = 1.seconds
    }
}
