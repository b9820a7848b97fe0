package org.cactuspulley.core.queueing

import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.math.floor
import kotlin.time.Duration

/**
 * The times that decide how urgent a waiting request is.
 *
 * @property priority the priority of the request; 0 is the most urgent.
 * @property onTimeUntil the latest time at which the request may start and still meet its objective.
 * @property objectiveAt when the request meets its objective.
 * @property latestStart the latest time at which the request may start and still end by its deadline.
 * @property usualTime the usual time of such a request from its start to its end.
 * @property hasBegun whether the caller has received a part of the response, which would be lost if the request did not go on.
 */
public data class DueTimes(
    val priority: Int,
    val onTimeUntil: MonotonicTime,
    val objectiveAt: MonotonicTime,
    val latestStart: MonotonicTime,
    val usualTime: Duration,
    val hasBegun: Boolean = false,
) {
    /** The time until which the request, if it can only be late, yields to requests that can still be on time. */
    public val yieldsUntil: MonotonicTime get() = latestStart - usualTime

    /** Returns whether the request, if it starts at [now] or later, can only be late. */
    public fun canOnlyBeLate(now: MonotonicTime): Boolean = !hasBegun && now > onTimeUntil
}

/** The order in which the waiting requests of a pool get targets. */
public sealed interface QueueOrder {
    /** Start-time fair queueing over cost tokens: each flow gets its share by weight. */
    public data object FairByCost : QueueOrder

    /** By priority, and among equals by the latest start. All requests wait until they start or end; none is refused early. */
    public data object ByLatestStart : QueueOrder

    /**
     * Streams that have begun, then by priority; then requests that can be on time before those that can only be late; then by what the
     * workspace consumes; then by the due time, which is the objective while it can be met and the latest start after that.
     *
     * A late request yields no longer than until [DueTimes.yieldsUntil]; it then ranks among those that can be on time, and before those
     * of its consumption. So that late requests do not take the places of those that can be on time for long, they are refused as soon as
     * the places that the others leave, or an eighth of all, do not suffice for them.
     *
     * @property consumption returns what a flow consumes over the whole fleet, as a multiple of its granted rate; null if it has none.
     */
    public class FairByDueTime(internal val consumption: (BucketId, MonotonicTime) -> Double?) : QueueOrder
}

/** The position of a request in a [QueueOrder]; the least one is first. */
internal data class QueueRank(
    private val priority: Int,
    private val canOnlyBeLate: Boolean,
    private val consumptionStep: Int,
    private val dueAt: MonotonicTime,
    private val arrival: Long,
) : Comparable<QueueRank> {
    override fun compareTo(other: QueueRank): Int = compareValuesBy(
        this,
        other,
        QueueRank::priority,
        QueueRank::canOnlyBeLate,
        QueueRank::consumptionStep,
        QueueRank::dueAt,
        QueueRank::arrival,
    )

    companion object {
        /**
         * Flows whose consumption differs by less than this part of their rate rank alike, so that due times decide among them. One prompt
         * of 9,200 tokens moves the average over 1.5 s of a workspace with 25,000 tokens a second by as much.
         */
        private const val CONSUMPTION_STEP = 0.25

        /** A flow without a granted rate ranks between those that consume less than theirs and those that consume more. */
        private const val CONSUMPTION_WITHOUT_RATE = 1.0

        /** Before the most urgent priority that a configuration names, which is 0. */
        private const val PRIORITY_OF_BEGUN = -1

        /** More than this multiple of a rate is consumed only right after the rate was lowered. */
        private const val MAX_CONSUMPTION = 1_000.0

        fun byLatestStart(due: DueTimes, arrival: Long) = QueueRank(due.priority, false, 0, due.latestStart, arrival)

        /**
         * Returns the rank of a request whose flow consumes [consumption], a multiple of its granted rate. [isAcceptedLate] says that it
         * was let wait on although it can only be late; the bound on its wait holds from then on.
         */
        fun byDueTime(due: DueTimes, consumption: Double?, isAcceptedLate: Boolean, arrival: Long, now: MonotonicTime): QueueRank {
            val step = floor((consumption ?: CONSUMPTION_WITHOUT_RATE).coerceIn(0.0, MAX_CONSUMPTION) / CONSUMPTION_STEP).toInt()
            return when {
                due.hasBegun -> QueueRank(PRIORITY_OF_BEGUN, false, step, due.latestStart, arrival)
                !due.canOnlyBeLate(now) -> QueueRank(due.priority, false, step, due.objectiveAt, arrival)
                isAcceptedLate && now >= due.yieldsUntil -> QueueRank(due.priority, false, step, due.yieldsUntil, arrival)
                else -> QueueRank(due.priority, true, step, due.latestStart, arrival)
            }
        }
    }
}
