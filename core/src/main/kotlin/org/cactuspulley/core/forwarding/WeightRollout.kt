/*
 * Updates the targets of a pool to the desired weights. One instance of the fleet issues orders at a time, which holds the order lease.
 * The number of its claim, the fencing token, grows with each claim, and targets refuse orders with a lower token.
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
    /**
     * Append a claim of the right to issue orders; the result goes to [WeightRollout.onClaimAnswer].
     *
     * @property last the number of this instance's last claim, which the new one must follow in the store. If it is null, read the
     *    newest claim, pass it to [WeightRollout.recordClaim] and append only if [WeightRollout.mayClaim] holds then.
     */
    public data class Claim(val last: ClaimNumber?) : RolloutAction

    /** Request a report from [target]; the result goes to [WeightRollout.onReport]. */
    public data class RequestReport(val target: TargetId) : RolloutAction

    /**
     * Order [target] to load [weights]; the result goes to [WeightRollout.onOrderAnswer].
     *
     * @property fencingToken the fencing token of this instance's claim.
     * @property ordersAccepted the number of accepted orders from the target's last report.
     * @property runs what happens to the running requests of the target.
     * @property sendDeadline the time from which on the order may not be sent.
     * @property arrivalDeadline the time from which on the order may not arrive at the target.
     */
    public data class Order(
        val target: TargetId,
        val weights: DesiredWeights,
        val fencingToken: Long,
        val ordersAccepted: Long,
        val runs: RunsDuringLoad,
        val sendDeadline: MonotonicTime,
        val arrivalDeadline: MonotonicTime,
    ) : RolloutAction
}

/** The settings of a rollout. */
public data class RolloutSettings(
    /** The fraction of a pool's targets that may be draining or loading at the same time; the rest continues to serve. */
    val maxConcurrentFraction: Double = 0.5,
    /** How far apart the orders of two holders to one target must be; it is the lease from the settings of the platform. */
    val lease: Duration = 3_000.milliseconds,
    /** How long after newer weights were named a request may still begin on older ones. */
    val startLimit: Duration = 8_000.milliseconds,
) {
    /** How long a claim permits orders, counted from the call that appends it. The last order has reached its target by then. */
    val claimTerm: Duration get() = lease / TERMS_PER_LEASE

    /** How long an order may be on its way: a call that takes longer is ended, and what is not delivered by then is discarded. */
    val orderTimeout: Duration get() = claimTerm * ORDER_FRACTION

    /** How long after the call that appends a claim its orders may be sent. */
    val orderWindow: Duration get() = claimTerm - orderTimeout

    /** How long a claim must be known and not be renewed before another instance may replace it. */
    val takeoverDelay: Duration get() = claimTerm + lease

    /**
     * How long after newer weights were named targets may still be drained for them. If the instance that drains the first batch ends,
     * another one still updates all targets before [startLimit]; if one ends that drains the last batch, the batch is updated later, and
     * its targets get no new requests from [startLimit] until then.
     */
    val drainLimit: Duration get() = (startLimit - lease - UPDATE_TIME).coerceAtLeast(Duration.ZERO)

    /** How long after newer weights were named the first batch of a pool may be drained; the batches share [drainLimit]. */
    val firstDrainLimit: Duration get() = drainLimit / ceil(1.0 / maxConcurrentFraction)

    private companion object {
        /** Short terms let another instance take over soon; each term costs about three calls while a rollout runs. */
        const val TERMS_PER_LEASE = 3

        /** The part of a term in which an order may be on its way. */
        const val ORDER_FRACTION = 0.4

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
    fleet: FleetView,
    private val serviceTimes: ServiceTimesRegistry,
    private val settings: RolloutSettings = RolloutSettings(),
    private val lease: OrderLease = OrderLease(self, fleet, settings),
) {
    private class TargetUpdate(val target: TargetId, val model: ModelName) {
        var nextReportAt: MonotonicTime? = null
        var drainDeadline: MonotonicTime? = null
        var orderedVersion = 0L
        var orderedAt: MonotonicTime? = null
    }

    private val updates = LinkedHashMap<TargetId, TargetUpdate>()

    /** Whether this instance held the order lease at the last [step]. */
    private var isOrdering = false

    /** The token of this instance's last claim; null if it has made none, or if a newer claim is known. */
    public val lastToken: Long? get() = lease.lastToken

    /** The instance that made the newest known claim; null if it is not known. */
    public val holder: InstanceId? get() = lease.holder

    /** The targets that are draining for new weights or loading them; requests should avoid them. */
    public val loading: Collection<TargetId> get() = updates.keys

    /** Whether any target has older weights than desired. */
    public val isNeeded: Boolean get() = desired.all.any { outdated(it).isNotEmpty() }

    /** The time at which [step] has something to do next; null if nothing is pending. */
    public val nextDeadline: MonotonicTime?
        get() = updates.values.mapNotNull { it.nextReportAt.takeIf { isOrdering } }.fold(lease.nextDeadline, ::earliest)

    /**
     * Records the claim with [number] that the store or a peer showed at [now]; [holder] is null if it is not known. Returns whether
     * the claim is newer than all known ones.
     */
    public fun recordClaim(holder: InstanceId?, number: ClaimNumber, now: MonotonicTime): Boolean {
        if (!lease.recordClaim(holder, number, now)) return false
        if (holder != self) updates.clear()
        return true
    }

    /** How long after the call that appends a claim its orders may be sent. */
    public val orderWindow: Duration get() = settings.orderWindow

    /** Returns whether this instance may send an order at [now]. */
    public fun mayOrder(now: MonotonicTime): Boolean = lease.isHeld(now)

    /** Returns whether this instance may append a claim at [now], as far as the known claims are concerned. */
    public fun mayClaim(now: MonotonicTime): Boolean = lease.mayClaim(now)

    /** Gives up the claim of this instance, because its term may be over although the clock does not show it. */
    public fun releaseClaim(): Unit = lease.release()

    /**
     * Advances the rollout and returns the actions to perform at [now]. [isStopping] tells that the instance shuts down: it finishes a
     * rollout that it has begun, but begins none. The lease is also claimed if only another use of it requires that.
     */
    public fun step(now: MonotonicTime, isStopping: Boolean = false): List<RolloutAction> {
        val actions = mutableListOf<RolloutAction>()
        lease.require(LeaseUse.WEIGHTS, isNeeded)
        if (lease.isRequired) lease.claim(now, isStopping)?.let(actions::add)
        if (!isNeeded) {
            updates.clear()
            isOrdering = false
            return actions
        }
        isOrdering = lease.isHeld(now)
        updates.values.removeIf { isDone(it) }
        if (isOrdering) actions += requestReports(now) else forgetDrains(now)
        return actions
    }

    /** Lets targets serve that were not ordered or did not answer, since it is not known when they can be ordered. */
    private fun forgetDrains(now: MonotonicTime) {
        updates.values.removeIf { update -> update.orderedAt?.let { now - it > ANSWER_TIMEOUT } ?: true }
    }

    private fun requestReports(now: MonotonicTime): List<RolloutAction> {
        val actions = mutableListOf<RolloutAction>()
        startUpdates(now)
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

    /** Returns whether the target still has running requests to wait for. */
    private fun isDraining(update: TargetUpdate, now: MonotonicTime): Boolean {
        val until = update.drainDeadline ?: return false
        val load = directory[update.target]?.load?.total(now) ?: 0.0
        return update.orderedAt == null && now < until && load > 0.0
    }

    /** Handles the result of a claim. */
    public fun onClaimAnswer(answer: ClaimAnswer, now: MonotonicTime): Unit = lease.onClaimAnswer(answer, now)

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
        val right = lease.right(now)
        if (report == null || right == null) {
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
        val arrivalDeadline = right.sendDeadline + settings.orderTimeout
        return listOf(
            RolloutAction.Order(target, weights, right.fencingToken, report.ordersAccepted, runs, right.sendDeadline, arrivalDeadline),
        )
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

            OrderAnswer.FENCED -> {
                lease.onFenced(now)
                updates.clear()
            }

            OrderAnswer.OTHER_TARGET -> {
                directory.removeMisidentified(target)
                updates.remove(target)
            }

            OrderAnswer.CONFLICT, OrderAnswer.REJECTED, OrderAnswer.UNANSWERED -> update.nextReportAt = now + REPORT_RETRY_DELAY
        }
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
