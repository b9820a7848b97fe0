package org.cactuspulley.core.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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

    private companion object {
        /** The time that most requests wait at a target at most. */
        val SEND_MARGIN = 1_500.milliseconds

        /** The time that the withdrawal may take: the interval of the check, a delay of the event loop and the way to the target. */
        val WITHDRAWAL_MARGIN = 500.milliseconds

        /** A start on older weights is not penalized for 1.5 s; the rest of that time is for the first token. */
        val PREFERENCE_LIMIT = 1_200.milliseconds
    }
}
