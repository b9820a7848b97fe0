/*
 * A release: the staged rollout of a new software version of a service. Model weights are updated by the rollout of the package
 * `forwarding`, which is independent of it.
 */
package org.cactuspulley.core.rollout

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The place of an order in the operators' topic: its [offset] in the [era] of the store in which it was read. */
public data class ReleaseOrderId(val era: Long, val offset: Long) : Comparable<ReleaseOrderId> {
    override fun compareTo(other: ReleaseOrderId): Int = compareValuesBy(this, other, { it.era }, { it.offset })
}

/**
 * An operator's order to move the traffic of [service] to [targetVersion].
 *
 * @property seenAt when this instance first saw the order; it counts requests from then on.
 * @property deadline the time by which the release must be completed or rolled back.
 */
public data class ReleaseOrder(
    val service: PoolName,
    val targetVersion: String,
    val id: ReleaseOrderId,
    val seenAt: MonotonicTime,
    val deadline: MonotonicTime,
) {
    public companion object {
        /**
         * The time that an order may take from its acknowledgement by the store until an instance sees it. It is deducted from the
         * duration, so that the deadline of the instance is not after the operator's.
         */
        private val NOTICE_TIME = 1.seconds

        /** Returns the order with [duration] that this instance first sees at [now]. */
        public fun seen(
            service: PoolName,
            targetVersion: String,
            id: ReleaseOrderId,
            duration: Duration,
            now: MonotonicTime,
        ): ReleaseOrder = ReleaseOrder(service, targetVersion, id, now, now + (duration - NOTICE_TIME).coerceAtLeast(Duration.ZERO))
    }
}

/** The stage of a release; a later stage has a higher [rank], and the final ones share the highest. */
public sealed class ReleaseStage(public val rank: Int) {
    /** Whether the stage is never left. */
    public val isFinal: Boolean get() = rank == FINAL_RANK

    /** A small share of the requests goes to the new version. */
    public data object Canary : ReleaseStage(0)

    /** New requests go to the new version as far as the budget allows. */
    public data object Shifting : ReleaseStage(1)

    /** The new version serves. */
    public data object Completed : ReleaseStage(FINAL_RANK)

    /** The old version serves, and the new one is never used again. */
    public data object RolledBack : ReleaseStage(FINAL_RANK)

    private companion object {
        const val FINAL_RANK = 2
    }
}

/**
 * The state of a release, as the holder of the order lease writes it to the store and tells peers. It holds everything that an instance
 * needs that has seen neither the order nor the targets of before.
 *
 * @property deadline the deadline of the release by the clock of this instance; null if it is not known. Messages carry the remaining time.
 * @property servedVersions the versions that may serve besides [targetVersion]: those that served before the first order, and the targets
 *    of completed releases.
 * @property rejectedVersions the versions that were rolled back.
 * @property reportedEra the era of the store in which the operator's status shows [stage]; null if it does not.
 */
public data class ReleaseState(
    val service: PoolName,
    val orderId: ReleaseOrderId,
    val targetVersion: String,
    val stage: ReleaseStage,
    val deadline: MonotonicTime? = null,
    val servedVersions: Set<String> = emptySet(),
    val rejectedVersions: Set<String> = emptySet(),
    val reportedEra: Long? = null,
)

/** The judgement of a new version by the evidence so far. */
public sealed interface ReleaseVerdict {
    /** The evidence does not suffice. */
    public data object Undecided : ReleaseVerdict

    /** The new version is as good as the old one. */
    public data object Healthy : ReleaseVerdict

    /** The new version is worse than the old one, for [reason]. */
    public data class Faulty(val reason: String) : ReleaseVerdict
}

/** An action that the controller requests; its result goes to [ReleaseController.onWritten]. It is only valid while the lease is held. */
public sealed interface ReleaseAction {
    /** The service whose release the action belongs to. */
    public val service: PoolName

    /** Write [state] to the topic of releases, with the service as key. */
    public data class WriteState(val state: ReleaseState) : ReleaseAction {
        override val service: PoolName get() = state.service
    }

    /** Write the operator's status of [service]: running, completed or rolled back, with [targetVersion]. */
    public data class WriteStatus(override val service: PoolName, val stage: ReleaseStage, val targetVersion: String) : ReleaseAction
}

/** The bounds of a release, which the platform sets. */
public data class ReleaseSettings(
    /** The fraction of a service's requests until the deadline that may reach a bad version. */
    val exposureRatio: Double = 0.1,
    /** The requests that may reach a bad version in addition; they are left to retries and resumed streams. */
    val exposureSlack: Double = 50.0,
    /** How long after its 50th bad response requests may still be sent to a bad version. */
    val rollback: Duration = 5.seconds,
) {
    /** The fraction of its own requests that an instance sends to the new version in the canary stage. */
    val canaryRatio: Double get() = CANARY_FRACTION * exposureRatio

    /** The fraction of its own requests until the deadline that an instance may send to the new version. */
    val budgetRatio: Double get() = BUDGET_FRACTION * exposureRatio

    private companion object {
        /** Leaves more than half of the exposure for the shift, in which almost all new requests go to the new version. */
        const val CANARY_FRACTION = 0.4

        /** Leaves a margin for load that falls after the instance has projected it to the deadline. */
        const val BUDGET_FRACTION = 0.9
    }
}
