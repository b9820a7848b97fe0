package org.cactuspulley.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals and timeouts of membership.
 *
 * @property pollInterval the time between two reads of the platform's instance list.
 * @property registerInterval the time between two renewals of this instance's registration in the list.
 * @property registrationTimeToLive how long the list keeps the instance without a renewal.
 * @property suspicionTimeout how long a neighbour may be silent before it is suspected.
 * @property maxListLag the maximum lag of the list; an instance that is not listed is kept for this long after its last contact.
 */
public data class MembershipTiming(
    val pollInterval: Duration = 1.seconds,
    val registerInterval: Duration = 2.seconds,
    val registrationTimeToLive: Duration = 8.seconds,
    val suspicionTimeout: Duration = 2500.milliseconds,
    val maxListLag: Duration = 10.seconds,
)
