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
public data class NamedWeights(val model: ModelName, val version: Long, val namedAt: MonotonicTime)

/** The newest named version of each model. */
public class NamedWeightsRegister {
    private val newest = HashMap<ModelName, NamedWeights>()
    private val due = HashMap<ModelName, ArrayDeque<NamedWeights>>()

    /** Takes note that [version] of [model] was named; whether it is the newest. */
    public fun named(model: ModelName, version: Long, now: MonotonicTime): Boolean {
        val known = newest[model]
        if (known != null && version <= known.version) return false
        val named = NamedWeights(model, version, now)
        newest[model] = named
        due.getOrPut(model) { ArrayDeque() }.addLast(named)
        return true
    }

    /** The newest version of [model], or null if none was named. */
    public fun newest(model: ModelName): NamedWeights? = newest[model]

    /** The newest versions of all models. */
    public val all: Collection<NamedWeights> get() = newest.values

    /** The version below which a request to [model] must not begin at [now]: the newest that was named [patience] ago. */
    public fun minimum(model: ModelName, patience: Duration, now: MonotonicTime): Long? {
        val versions = due[model] ?: return null
        while (versions.size > 1 && versions[1].namedAt + patience <= now) versions.removeFirst()
        return versions.first().takeIf { it.namedAt + patience <= now }?.version
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
    /** Claim the right to order; answered by [WeightRollout.claimed]. */
    public data object Claim : RolloutAction

    /** Ask [target] for a report; answered by [WeightRollout.reported]. */
    public data class AskReport(val target: TargetId) : RolloutAction

    /** Order [weights] at [target]; answered by [WeightRollout.ordered]. */
    public data class Order(
        val target: TargetId,
        val weights: NamedWeights,
        val fence: Long,
        val ordersAccepted: Long,
        val runs: RunsDuringLoad,
    ) : RolloutAction
}

/** How a claim ended. */
public sealed interface ClaimAnswer {
    /** This instance may order with [fence]. */
    public data class Granted(val fence: Long) : ClaimAnswer

    /** Another instance claimed meanwhile. */
    public data class Lost(val holder: InstanceId?) : ClaimAnswer

    /** The store did not answer. */
    public data object Unknown : ClaimAnswer
}

/** Limits of a rollout. */
public data class RolloutSettings(
    /** The part of a pool's targets that may be emptied or load at once; the rest serves meanwhile. */
    val shareAtOnce: Double = 0.5,
    /** How long another holder must be silent before its claim is taken over; the lease of the platform's settings. */
    val lease: Duration = 3_000.milliseconds,
)

/** Decides on each step what a rollout does next; it does no input or output itself. */
public class WeightRollout(
    private val self: InstanceId,
    private val directory: TargetDirectory,
    private val named: NamedWeightsRegister,
    private val fleet: FleetView,
    private val settings: RolloutSettings = RolloutSettings(),
) {
    private class Work(val target: TargetId, val model: ModelName) {
        var askAt: MonotonicTime? = null
        var emptiesUntil: MonotonicTime? = null
        var orderedVersion = 0L
        var orderedAt: MonotonicTime? = null
    }

    private val work = LinkedHashMap<TargetId, Work>()
    private var claiming = false
    private var claimRetryAt: MonotonicTime? = null

    /** The fencing token of this instance's claim; null while it holds none. */
    public var fence: Long? = null
        private set

    /** The last instance that was seen to hold the claim. */
    public var holder: InstanceId? = null
        private set

    /** Targets that are being emptied for new weights or load them; requests should go elsewhere. */
    public val loading: Collection<TargetId> get() = work.keys

    /** Whether some target should have newer weights. */
    public val isNeeded: Boolean get() = named.all.any { outdated(it).isNotEmpty() }

    /** When [step] has something to do next; null if nothing is pending. */
    public val nextDeadline: MonotonicTime?
        get() = work.values.mapNotNull { it.askAt }.fold(claimRetryAt, ::earliest)

    /** Takes note that a peer says it holds the claim with [peerFence]. */
    public fun peerHolds(peer: InstanceId, peerFence: Long) {
        val own = fence
        if (own != null && peerFence < own) return
        holder = peer
        if (own != null && peerFence > own) resign()
    }

    /** What to do now. */
    public fun step(now: MonotonicTime): List<RolloutAction> {
        if (!isNeeded) {
            work.clear()
            claimRetryAt = null
            return emptyList()
        }
        if (fence == null) return claim(now)
        claimRetryAt = null
        val actions = mutableListOf<RolloutAction>()
        begin(now)
        work.values.removeIf { isDone(it) }
        for (item in work.values) {
            val askAt = item.askAt ?: continue
            if (askAt > now) continue
            if (mayEmpty(item, now)) {
                item.askAt = minOf(now + LOOK_PERIOD, item.emptiesUntil ?: now)
                continue
            }
            item.askAt = now + ANSWER_PATIENCE
            actions += RolloutAction.AskReport(item.target)
        }
        return actions
    }

    private fun claim(now: MonotonicTime): List<RolloutAction> {
        if (claiming) return emptyList()
        val other = holder
        val retryAt = claimRetryAt
        if (retryAt != null && now < retryAt) return emptyList()
        if (other != null && other != self) {
            val lapsesAt = fleet.heardAt(other)?.plus(settings.lease)
            if (lapsesAt != null && now < lapsesAt) {
                claimRetryAt = lapsesAt
                return emptyList()
            }
        }
        val rank = fleet.rank(CLAIM_SUBJECT, now)
        if (rank > 0 && retryAt == null) {
            claimRetryAt = now + CLAIM_STAGGER * rank
            return emptyList()
        }
        claiming = true
        claimRetryAt = null
        return listOf(RolloutAction.Claim)
    }

    /** Whether the target still has runs that it is worth waiting for. */
    private fun mayEmpty(item: Work, now: MonotonicTime): Boolean {
        val until = item.emptiesUntil ?: return false
        val load = directory[item.target]?.load?.total(now) ?: 0.0
        return item.orderedAt == null && now < until && load > 0.0
    }

    /** Takes the end of a claim. */
    public fun claimed(answer: ClaimAnswer, now: MonotonicTime) {
        claiming = false
        when (answer) {
            is ClaimAnswer.Granted -> {
                fence = answer.fence
                holder = self
            }

            is ClaimAnswer.Lost -> {
                holder = answer.holder
                claimRetryAt = now + settings.lease
            }

            ClaimAnswer.Unknown -> claimRetryAt = now + CLAIM_RETRY
        }
    }

    private fun begin(now: MonotonicTime) {
        for (weights in named.all) {
            val pools = outdated(weights).groupBy { it.entry.pool }
            for ((pool, targets) in pools) {
                val members = directory.members(pool).filter { weights.model in it.entry.weights }
                beginIn(members, targets, weights, now)
            }
        }
    }

    private fun beginIn(members: List<Target>, targets: List<Target>, weights: NamedWeights, now: MonotonicTime) {
        val room = ceil(members.size * settings.shareAtOnce).toInt().coerceAtLeast(1) - members.count { it.id in work }
        val isFirst = targets.size == members.size
        targets.filter { it.id !in work }.sortedBy { it.load.total(now) }.take(room.coerceAtLeast(0)).forEach { target ->
            work[target.id] = Work(target.id, weights.model).apply {
                emptiesUntil = now + if (isFirst) FIRST_EMPTYING else EMPTYING
                askAt = if (target.load.total(now) == 0.0) now else now + LOOK_PERIOD
            }
        }
    }

    /** Takes a target's report; null if it gave none. */
    public fun reported(target: TargetId, report: TargetReport?, now: MonotonicTime): List<RolloutAction> {
        val item = work[target] ?: return emptyList()
        val held = fence
        if (report == null || held == null) {
            item.askAt = now + REPORT_RETRY
            return emptyList()
        }
        report.versions.forEach { (model, version) -> directory[target]?.sawWeights(model, version) }
        if (isDone(item)) {
            work.remove(target)
            return step(now)
        }
        item.askAt = now + REPORT_PERIOD
        val weights = named.newest(item.model)
        if (report.isBusy || weights == null) return emptyList()
        item.orderedVersion = weights.version
        item.orderedAt = now
        item.askAt = now + ANSWER_PATIENCE
        val runs = if (report.running + report.waiting <= 0) RunsDuringLoad.FINISH else RunsDuringLoad.GO_ON
        return listOf(RolloutAction.Order(target, weights, held, report.ordersAccepted, runs))
    }

    /** Takes the answer to an order. */
    public fun ordered(target: TargetId, answer: OrderAnswer, now: MonotonicTime) {
        val item = work[target] ?: return
        when (answer) {
            OrderAnswer.ACCEPTED -> item.askAt = now + FIRST_REPORT

            OrderAnswer.ALREADY_HOLDS -> {
                directory[target]?.sawWeights(item.model, item.orderedVersion)
                work.remove(target)
            }

            OrderAnswer.FENCED -> resign()

            OrderAnswer.OTHER_TARGET -> {
                directory.misnamed(target)
                work.remove(target)
            }

            OrderAnswer.CONFLICT, OrderAnswer.REJECTED, OrderAnswer.UNANSWERED -> item.askAt = now + REPORT_RETRY
        }
    }

    private fun resign() {
        fence = null
        work.clear()
    }

    private fun isDone(item: Work): Boolean {
        val target = directory[item.target] ?: return true
        val wanted = named.newest(item.model)?.version ?: return true
        return target.entry.isLeaving || (target.weights(item.model) ?: wanted) >= wanted
    }

    private fun outdated(weights: NamedWeights): List<Target> = directory.all.filter { target ->
        !target.entry.isLeaving && target.weights(weights.model)?.let { it < weights.version } ?: false
    }

    private companion object {
        const val CLAIM_SUBJECT = "weight-rollout"

        /** Time for the claim of a better-ranked instance to be made and told. */
        val CLAIM_STAGGER = 500.milliseconds

        /** Pause after a claim that the store did not answer. */
        val CLAIM_RETRY = 500.milliseconds

        /** How long the first targets to load are emptied: what remains of 1.5 s, until starts on older weights cost, is for loading. */
        val FIRST_EMPTYING = 800.milliseconds

        /** How long the others are emptied, while the first serve: most streams take a second. */
        val EMPTYING = 1_500.milliseconds

        /** How often a target that is being emptied is looked at; its work is told as often. */
        val LOOK_PERIOD = 100.milliseconds

        /** Loading takes 0.4 s on the sheet; a report before that is in vain. */
        val FIRST_REPORT = 450.milliseconds

        /** How often a loading target is asked whether it is done; a report lags some hundred milliseconds itself. */
        val REPORT_PERIOD = 250.milliseconds

        /** Pause after a report or order that was not answered as hoped. */
        val REPORT_RETRY = 300.milliseconds

        /** How long an answer is waited for before the target is asked again. */
        val ANSWER_PATIENCE = 1_500.milliseconds
    }
}
