/*
 * Brings the targets of a pool to newly named weights. One instance of the fleet orders at a time: it
 * holds a claim whose number, the fencing token, grows with each claim, and targets refuse a lower one.
 */
package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.earliest
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The version that a model's weights should have. */
public data class DesiredWeights(val model: ModelName, val version: Long, val learnedAt: MonotonicTime)

/** The newest named version of each model. */
public class DesiredWeightsTracker {
    private val newest = HashMap<ModelName, DesiredWeights>()
    private val history = HashMap<ModelName, ArrayDeque<DesiredWeights>>()

    /** Takes note that [version] of [model] was named; whether it is the newest. */
    public fun record(model: ModelName, version: Long, now: MonotonicTime): Boolean {
        val known = newest[model]
        if (known != null && version <= known.version) return false
        val added = DesiredWeights(model, version, now)
        newest[model] = added
        history.getOrPut(model) { ArrayDeque() }.addLast(added)
        return true
    }

    /** The newest version of [model], or null if none was named. */
    public fun newest(model: ModelName): DesiredWeights? = newest[model]

    /** The newest versions of all models. */
    public val all: Collection<DesiredWeights> get() = newest.values

    /** The version below which a request to [model] must not begin at [now]: the newest that was named [gracePeriod] ago. */
    public fun minimum(model: ModelName, gracePeriod: Duration, now: MonotonicTime): Long? {
        val versions = history[model] ?: return null
        while (versions.size > 1 && versions[1].learnedAt + gracePeriod <= now) versions.removeFirst()
        return versions.first().takeIf { it.learnedAt + gracePeriod <= now }?.version
    }
}

/** What a target says about its weights and orders. */
public data class TargetReport(
    val versions: Map<ModelName, Long>,
    val isBusy: Boolean,
    val ordersAccepted: Long,
    val running: Int,
    val waiting: Int,
)

/** What becomes of the runs of a target that takes new weights. */
public enum class RunsDuringLoad {
    /** They finish first. */
    FINISH,

    /** They go on with the new weights; what they make from then on is worth nothing. */
    GO_ON,
}

/** How a target answered an order. */
public enum class OrderAnswer { ACCEPTED, ALREADY_HOLDS, CONFLICT, FENCED, REJECTED, OTHER_TARGET, UNANSWERED }

/** What the rollout wants done; each is answered by the method of [WeightRollout] that its text names. */
public sealed interface RolloutAction {
    /** Claim the right to order; answered by [WeightRollout.onClaimAnswer]. */
    public data object Claim : RolloutAction

    /** Ask [target] for a report; answered by [WeightRollout.onReport]. */
    public data class RequestReport(val target: TargetId) : RolloutAction

    /** Order [weights] at [target]; answered by [WeightRollout.onOrderAnswer]. */
    public data class Order(
        val target: TargetId,
        val weights: DesiredWeights,
        val fencingToken: Long,
        val ordersAccepted: Long,
        val runs: RunsDuringLoad,
    ) : RolloutAction
}

/** How a claim ended. */
public sealed interface ClaimAnswer {
    /** This instance may order with [fencingToken]. */
    public data class Granted(val fencingToken: Long) : ClaimAnswer

    /** Another instance claimed meanwhile. */
    public data class Lost(val holder: InstanceId?) : ClaimAnswer

    /** The store did not answer. */
    public data object Unknown : ClaimAnswer
}

/** Limits of a rollout. */
public data class RolloutSettings(
    /** The part of a pool's targets that may be emptied or load at once; the rest serves meanwhile. */
    val maxConcurrentFraction: Double = 0.5,
    /** How long another holder must be silent before its claim is taken over; the lease of the platform's settings. */
    val lease: Duration = 3_000.milliseconds,
)

/** Decides on each step what a rollout does next; it does no input or output itself. */
public class WeightRollout(
    private val self: InstanceId,
    private val directory: TargetDirectory,
    private val desired: DesiredWeightsTracker,
    private val fleet: FleetView,
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

    /** The fencing token of this instance's claim; null while it holds none. */
    public var fencingToken: Long? = null
        private set

    /** The last instance that was seen to hold the claim. */
    public var holder: InstanceId? = null
        private set

    /** Targets that are being emptied for new weights or load them; requests should go elsewhere. */
    public val loading: Collection<TargetId> get() = updates.keys

    /** Whether some target should have newer weights. */
    public val isNeeded: Boolean get() = desired.all.any { outdated(it).isNotEmpty() }

    /** When [step] has something to do next; null if nothing is pending. */
    public val nextDeadline: MonotonicTime?
        get() = updates.values.mapNotNull { it.nextReportAt }.fold(claimRetryAt, ::earliest)

    /** Takes note that a peer says it holds the claim with [peerToken]. */
    public fun recordPeerClaim(peer: InstanceId, peerToken: Long) {
        val own = fencingToken
        if (own != null && peerToken < own) return
        holder = peer
        if (own != null && peerToken > own) releaseClaim()
    }

    /** What to do now. */
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

    /** Whether the target still has runs that it is worth waiting for. */
    private fun isDraining(update: TargetUpdate, now: MonotonicTime): Boolean {
        val until = update.drainDeadline ?: return false
        val load = directory[update.target]?.load?.total(now) ?: 0.0
        return update.orderedAt == null && now < until && load > 0.0
    }

    /** Takes the end of a claim. */
    public fun onClaimAnswer(answer: ClaimAnswer, now: MonotonicTime) {
        isClaiming = false
        when (answer) {
            is ClaimAnswer.Granted -> {
                fencingToken = answer.fencingToken
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
                startPoolUpdates(members, targets, weights, now)
            }
        }
    }

    private fun startPoolUpdates(members: List<Target>, targets: List<Target>, weights: DesiredWeights, now: MonotonicTime) {
        val capacity = ceil(members.size * settings.maxConcurrentFraction).toInt().coerceAtLeast(1) - members.count { it.id in updates }
        val isFirstBatch = targets.size == members.size
        targets.filter { it.id !in updates }.sortedBy { it.load.total(now) }.take(capacity.coerceAtLeast(0)).forEach { target ->
            updates[target.id] = TargetUpdate(target.id, weights.model).apply {
                drainDeadline = now + if (isFirstBatch) FIRST_DRAIN_TIME else DRAIN_TIME
                nextReportAt = if (target.load.total(now) == 0.0) now else now + DRAIN_CHECK_INTERVAL
            }
        }
    }

    /** Takes a target's report; null if it gave none. */
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

    /** Takes the answer to an order. */
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
        return target.entry.isLeaving || (target.weights(update.model) ?: desiredVersion) >= desiredVersion
    }

    private fun outdated(weights: DesiredWeights): List<Target> = directory.all.filter { target ->
        !target.entry.isLeaving && target.weights(weights.model)?.let { it < weights.version } ?: false
    }

    private companion object {
        const val CLAIM_SUBJECT = "weight-rollout"

        /** Time for the claim of a better-ranked instance to be made and told. */
        val CLAIM_STAGGER = 500.milliseconds

        /** Pause after a claim that the store did not answer. */
        val CLAIM_RETRY_DELAY = 500.milliseconds

        /** How long the first targets to load are emptied: what remains of 1.5 s, until starts on older weights cost, is for loading. */
        val FIRST_DRAIN_TIME = 800.milliseconds

        /** How long the others are emptied, while the first serve: most streams take a second. */
        val DRAIN_TIME = 1_500.milliseconds

        /** How often a target that is being emptied is looked at; its work is told as often. */
        val DRAIN_CHECK_INTERVAL = 100.milliseconds

        /** Loading takes 0.4 s on the sheet; a report before that is in vain. */
        val FIRST_REPORT_DELAY = 450.milliseconds

        /** How often a loading target is asked whether it is done; a report lags some hundred milliseconds itself. */
        val REPORT_INTERVAL = 250.milliseconds

        /** Pause after a report or order that was not answered as hoped. */
        val REPORT_RETRY_DELAY = 300.milliseconds

        /** How long an answer is waited for before the target is asked again. */
        val ANSWER_TIMEOUT = 1_500.milliseconds
    }
}
