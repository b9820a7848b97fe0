package org.cactuspulley.core.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long requests may use older weights, counted from the naming of newer ones.
 *
 * A request is sent some time before it begins, because it waits at its target. The limit for starts is therefore enforced twice:
 * a request is no longer sent to older weights after [sendLimit], and one that still waits at [withdrawalLimit] is withdrawn. Newer
 * weights are preferred as soon as a target has them; see [TargetSelector.preferredWeights].
 *
 * @property startLimit the time after which no request may begin on older weights.
 */
public data class WeightsLimits(val startLimit: Duration = 8_000.milliseconds) {
    /**
     * Returns the time after which requests are no longer sent to targets with older weights, if nearly all begin within [usualStart]
     * of their sending.
     */
    public fun sendLimit(usualStart: Duration): Duration =
        (startLimit - maxOf(usualStart, WITHDRAWAL_MARGIN)).coerceAtLeast(Duration.ZERO)

    /** The time after which requests that wait at targets with older weights are withdrawn. */
    public val withdrawalLimit: Duration get() = (startLimit - WITHDRAWAL_MARGIN).coerceAtLeast(Duration.ZERO)

    /**
     * The age that is assumed for a version which an instance found named when it started. An instance is held to [startLimit] only
     * some seconds after its start.
     */
    public val assumedAge: Duration get() = (startLimit - START_UP_PERIOD).coerceAtLeast(Duration.ZERO)

    /** How long the age of a version is reported to peers, so that an instance that learns late of the version gets to know it. */
    public val reportedAge: Duration get() = startLimit + LONGEST_LAG

    private companion object {
        /** The longest time for which an instance is expected to stand still or to be cut off. */
        val LONGEST_LAG = 20.seconds

        /** The time after its start for which an instance counts as disturbed. */
        val START_UP_PERIOD = 3_000.milliseconds

        /** The time that the withdrawal may take: the interval of the check, a delay of the event loop and the way to the target. */
        val WITHDRAWAL_MARGIN = 500.milliseconds
    }
}
