/*
 * Updates the targets of a pool to the desired weights. One instance of the fleet issues orders at a time: it holds a
 * claim whose number, the fencing token, grows with each claim, and targets refuse orders with a lower token.
 */
package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.earliest
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A target's report on its weights and orders.
 *
 * @property versions the version of each model's weights that the target has loaded.
 * @property isBusy whether the target is carrying out an order.
 * @property ordersAccepted the number of orders that the target has accepted.
 * @property running the number of running requests.
 * @property waiting the number of queued requests.
 */
public data class TargetReport(
    val versions: Map<ModelName, Long>,
    val isBusy: Boolean,
    val ordersAccepted: Long,
    val running: Int,
    val waiting: Int,
)

/** What happens to the running requests of a target that loads new weights. */
public enum class RunsDuringLoad {
    /** The requests finish before the weights are loaded. */
    FINISH,

    /** The requests continue with the new weights; their output from then on is unusable. */
    GO_ON,
}

/** How a target answered an order. */
public enum class OrderAnswer { ACCEPTED, ALREADY_HOLDS, CONFLICT, FENCED, REJECTED, OTHER_TARGET, UNANSWERED }

/** An action that the rollout requests. The documentation of each names the method of [WeightRollout] that takes the result. */
public sealed interface RolloutAction {
    /** Claim the right to issue orders; the result goes to [WeightRollout.onClaimAnswer]. */
    public data object Claim : RolloutAction

    /** Request a report from [target]; the result goes to [WeightRollout.onReport]. */
    public data class RequestReport(val target: TargetId) : RolloutAction

    /**
     * Order [target] to load [weights]; the result goes to [WeightRollout.onOrderAnswer].
     *
     * @property fencingToken the fencing token of this instance's claim.
     * @property ordersAccepted the number of accepted orders from the target's last report.
     * @property runs what happens to the running requests of the target.
     */
    public data class Order(
        val target: TargetId,
        val weights: DesiredWeights,
        val fencingToken: Long,
        val ordersAccepted: Long,
        val runs: RunsDuringLoad,
    ) : RolloutAction
}

/** The result of a claim. */
public sealed interface ClaimAnswer {
    /** This instance may issue orders with the fencing token [fence]. The log shows the property's name. */
    public data class Granted(val fence: Long) : ClaimAnswer

    /** Another instance made a claim in the meantime; [holder] is null if it is not known. */
    public data class Lost(val holder: InstanceId?) : ClaimAnswer

    /** The store did not answer. */
    public data object Unknown : ClaimAnswer
}

/** The settings of a rollout. */
public data class RolloutSettings(
    /** The fraction of a pool's targets that may be draining or loading at the same time; the rest continues to serve. */
    val maxConcurrentFraction: Double = 0.5,
    /**
     * How long the holder of a claim must be silent before another instance takes it over; it is the lease from the
     * settings of the platform.
     */
    val lease: Duration = 3_000.milliseconds,
    /** How long after newer weights were named a request may still begin on older ones. */
    val startLimit: Duration = 8_000.milliseconds,
) {
    /**
     * How long after newer weights were named targets may still be drained for them. It leaves time for another instance to take
     * the claim over and to update all targets before [startLimit].
     */
    val drainLimit: Duration get() = (startLimit - lease - UPDATE_TIME).coerceAtLeast(Duration.ZERO)

    /** How long after newer weights were named the first batch of a pool may be drained; the batches share [drainLimit]. */
    val firstDrainLimit: Duration get() = drainLimit / ceil(1.0 / maxConcurrentFraction)

    private companion object {
        /** The time in which two halves of a pool load weights one after the other without being drained. */
        val UPDATE_TIME = 1_000.milliseconds
    }
}

/**
 * Decides what a rollout does next; it performs no input or output itself.
 *
 * A target is drained for as long as its running requests usually take, so that most of them end on the weights they began on, but
 * only until a time that leaves enough for all targets to load the weights in time.
 */
public class WeightRollout(
    private val self: InstanceId,
    private val directory: TargetDirectory,
    private val desired: DesiredWeightsTracker,
    private val fleet: FleetView,
    private val serviceTimes: ServiceTimesRegistry,
    private val settings: RolloutSettings = RolloutSettings(),
) {
    private class TargetUpdate(val target: TargetId, val model: ModelName) {
        var nextReportAt: MonotonicTime? = null
        var drainDeadline: MonotonicTime? = null
        var orderedVersion = 0L
        var orderedAt: MonotonicTime? = null
    }

    private val updates = LinkedHashMap<TargetId, TargetUpdate>()
    private var isClaiming = false
    private var claimRetryAt: MonotonicTime? = null

    /** The fencing token of this instance's claim; null while it holds no claim. */
    public var fencingToken: Long? = null
        private set

    /** The highest fencing token of any claim that is known; 0 if none is. */
    private var newestToken = 0L

    /** The last instance known to hold the claim; null if none is known. */
    public var holder: InstanceId? = null
        private set

    /** The targets that are draining for new weights or loading them; requests should avoid them. */
    public val loading: Collection<TargetId> get() = updates.keys

    /** Whether any target has older weights than desired. */
    public val isNeeded: Boolean get() = desired.all.any { outdated(it).isNotEmpty() }

    /** The time at which [step] has something to do next; null if nothing is pending. */
    public val nextDeadline: MonotonicTime?
        get() = updates.values.mapNotNull { it.nextReportAt }.fold(claimRetryAt, ::earliest)

    /**
     * Records that [peer] reports to hold the claim with [peerToken]; a claim older than one already known is ignored. Returns whether
     * the claim was not known before.
     */
    public fun recordPeerClaim(peer: InstanceId, peerToken: Long): Boolean {
        if (peerToken < newestToken) return false
        val isNew = peerToken > newestToken || holder != peer
        newestToken = peerToken
        holder = peer
        if ((fencingToken ?: peerToken) < peerToken) releaseClaim()
        return isNew
    }

    /** Advances the rollout and returns the actions to perform at [now]. */
    public fun step(now: MonotonicTime): List<RolloutAction> {
        if (!isNeeded) {
            updates.clear()
            claimRetryAt = null
            return emptyList()
        }
        if (fencingToken == null) return claim(now)
        claimRetryAt = null
        val actions = mutableListOf<RolloutAction>()
        startUpdates(now)
        updates.values.removeIf { isDone(it) }
        for (update in updates.values) {
            val nextReportAt = update.nextReportAt ?: continue
            if (nextReportAt > now) continue
            if (isDraining(update, now)) {
                update.nextReportAt = minOf(now + DRAIN_CHECK_INTERVAL, update.drainDeadline ?: now)
                continue
            }
            update.nextReportAt = now + ANSWER_TIMEOUT
            actions += RolloutAction.RequestReport(update.target)
        }
        return actions
    }

    private fun claim(now: MonotonicTime): List<RolloutAction> {
        if (isClaiming) return emptyList()
        val other = holder
        val retryAt = claimRetryAt
        if (retryAt != null && now < retryAt) return emptyList()
        if (other != null && other != self) {
            val leaseEndsAt = fleet.lastContactAt(other)?.plus(settings.lease)
            if (leaseEndsAt != null && now < leaseEndsAt) {
                claimRetryAt = leaseEndsAt
                return emptyList()
            }
        }
        val rank = fleet.rank(CLAIM_SUBJECT, now)
        if (rank > 0 && retryAt == null) {
            claimRetryAt = now + CLAIM_STAGGER * rank
            return emptyList()
        }
        isClaiming = true
        claimRetryAt = null
        return listOf(RolloutAction.Claim)
    }

    /** Returns whether the target still has running requests to wait for. */
    private fun isDraining(update: TargetUpdate, now: MonotonicTime): Boolean {
        val until = update.drainDeadline ?: return false
        val load = directory[update.target]?.load?.total(now) ?: 0.0
        return update.orderedAt == null && now < until && load > 0.0
    }

    /** Handles the result of a claim. */
    public fun onClaimAnswer(answer: ClaimAnswer, now: MonotonicTime) {
        isClaiming = false
        when (answer) {
            is ClaimAnswer.Granted -> {
                fencingToken = answer.fence
                newestToken = answer.fence
                holder = self
            }

            is ClaimAnswer.Lost -> {
                holder = answer.holder
                claimRetryAt = now + settings.lease
            }

            ClaimAnswer.Unknown -> claimRetryAt = now + CLAIM_RETRY_DELAY
        }
    }

    private fun startUpdates(now: MonotonicTime) {
        for (weights in desired.all) {
            val pools = outdated(weights).groupBy { it.entry.pool }
            for ((pool, targets) in pools) {
                val members = directory.members(pool).filter { weights.model in it.entry.weights }
                startPoolUpdates(pool, members, targets, weights, now)
            }
        }
    }

    private fun startPoolUpdates(
        pool: PoolName,
        members: List<Target>,
        targets: List<Target>,
        weights: DesiredWeights,
        now: MonotonicTime,
    ) {
        val capacity = ceil(members.size * settings.maxConcurrentFraction).toInt().coerceAtLeast(1) - members.count { it.id in updates }
        val isFirstBatch = targets.size == members.size
        val drainLimit = weights.namedAt + if (isFirstBatch) settings.firstDrainLimit else settings.drainLimit
        val drainUntil = serviceTimes.usualTotal(pool, now)?.let { minOf(now + it, drainLimit) } ?: drainLimit
        // An order makes a target return the requests that wait there, so a late rollout begins where most of them wait.
        val byLoad = compareBy<Target> { it.load.total(now) }.let { if (drainUntil > now) it else it.reversed() }
        targets.filter { it.id !in updates }.sortedWith(byLoad).take(capacity.coerceAtLeast(0)).forEach { target ->
            updates[target.id] = TargetUpdate(target.id, weights.model).apply {
                drainDeadline = drainUntil
                nextReportAt = if (target.load.total(now) == 0.0) now else minOf(now + DRAIN_CHECK_INTERVAL, maxOf(now, drainUntil))
            }
        }
    }

    /** Handles the report of [target], or null if it did not report, and returns the actions to perform. */
    public fun onReport(target: TargetId, report: TargetReport?, now: MonotonicTime): List<RolloutAction> {
        val update = updates[target] ?: return emptyList()
        val token = fencingToken
        if (report == null || token == null) {
            update.nextReportAt = now + REPORT_RETRY_DELAY
            return emptyList()
        }
        report.versions.forEach { (model, version) -> directory[target]?.recordWeights(model, version) }
        if (isDone(update)) {
            updates.remove(target)
            return step(now)
        }
        update.nextReportAt = now + REPORT_INTERVAL
        val weights = desired.newest(update.model)
        if (report.isBusy || weights == null) return emptyList()
        update.orderedVersion = weights.version
        update.orderedAt = now
        update.nextReportAt = now + ANSWER_TIMEOUT
        val runs = if (report.running + report.waiting <= 0) RunsDuringLoad.FINISH else RunsDuringLoad.GO_ON
        return listOf(RolloutAction.Order(target, weights, token, report.ordersAccepted, runs))
    }

    /** Handles the answer of [target] to an order. */
    public fun onOrderAnswer(target: TargetId, answer: OrderAnswer, now: MonotonicTime) {
        val update = updates[target] ?: return
        when (answer) {
            OrderAnswer.ACCEPTED -> update.nextReportAt = now + FIRST_REPORT_DELAY

            OrderAnswer.ALREADY_HOLDS -> {
                directory[target]?.recordWeights(update.model, update.orderedVersion)
                updates.remove(target)
            }

            OrderAnswer.FENCED -> releaseClaim()

            OrderAnswer.OTHER_TARGET -> {
                directory.removeMisidentified(target)
                updates.remove(target)
            }

            OrderAnswer.CONFLICT, OrderAnswer.REJECTED, OrderAnswer.UNANSWERED -> update.nextReportAt = now + REPORT_RETRY_DELAY
        }
    }

    private fun releaseClaim() {
        fencingToken = null
        updates.clear()
    }

    private fun isDone(update: TargetUpdate): Boolean {
        val target = directory[update.target] ?: return true
        val desiredVersion = desired.newest(update.model)?.version ?: return true
        return target.isLeaving || (target.weights(update.model) ?: desiredVersion) >= desiredVersion
    }

    private fun outdated(weights: DesiredWeights): List<Target> = directory.all.filter { target ->
        !target.isLeaving && target.weights(weights.model)?.let { it < weights.version } ?: false
    }

    private companion object {
        const val CLAIM_SUBJECT = "weight-rollout"

        /**
         * The time per rank by which an instance delays its claim, so that an instance with a better rank can claim
         * first and report it.
         */
        val CLAIM_STAGGER = 500.milliseconds

        /** The delay before the next claim if the store did not answer. */
        val CLAIM_RETRY_DELAY = 500.milliseconds

        /** The interval at which a draining target is checked; its load is reported at the same interval. */
        val DRAIN_CHECK_INTERVAL = 100.milliseconds

        /**
         * The delay before the first report is requested. Loading takes 0.4 s by its specification, so an earlier
         * report would be useless.
         */
        val FIRST_REPORT_DELAY = 450.milliseconds

        /**
         * The interval at which a loading target is asked whether it has finished; a report itself lags by a few
         * hundred milliseconds.
         */
        val REPORT_INTERVAL = 250.milliseconds

        /** The delay before a report is requested again after a missing report or an order that was not accepted. */
        val REPORT_RETRY_DELAY = 300.milliseconds

        /** How long to wait for a report or the answer to an order before a report is requested again. */
        val ANSWER_TIMEOUT = 1_500.milliseconds
    }
}
