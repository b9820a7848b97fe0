package org.cactuspulley.core.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long requests may use older weights, counted from the naming of newer ones.
 *
 * A request is sent some time before it begins, because it waits at its target. The limit for starts is therefore enforced twice:
 * a request is no longer sent to older weights after [sendLimit], and one that still waits at [withdrawalLimit] is withdrawn.
 *
 * @property startLimit the time after which no request may begin on older weights.
 */
public data class WeightsLimits(val startLimit: Duration = 8_000.milliseconds) {
    /** The time after which requests are no longer sent to targets with older weights. */
    public val sendLimit: Duration get() = (startLimit - SEND_MARGIN).coerceAtLeast(Duration.ZERO)

    /** The time after which requests that wait at targets with older weights are withdrawn. */
    public val withdrawalLimit: Duration get() = (startLimit - WITHDRAWAL_MARGIN).coerceAtLeast(Duration.ZERO)

    /** The time after which requests avoid targets with older weights while others have capacity. */
    public val preferenceLimit: Duration get() = minOf(PREFERENCE_LIMIT, sendLimit)

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

        /** The usual longest wait at a target; a request that waits longer is withdrawn. */
        val SEND_MARGIN = 1_500.milliseconds

        /** The time that the withdrawal may take: the interval of the check, a delay of the event loop and the way to the target. */
        val WITHDRAWAL_MARGIN = 500.milliseconds

        /** Starts on older weights are penalized after 1.5 s; a request that is sent by this time usually begins before that. */
        val PREFERENCE_LIMIT = 1_200.milliseconds
    }
}
