package org.cactuspulley.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The pace of membership.
 *
 * @property pollInterval how often the platform's list is read.
 * @property registerInterval how often the instance renews its place in the list.
 * @property registrationTimeToLive how long the list keeps the instance without a renewal.
 * @property suspicionTimeout how long a neighbour may be silent before it is given up.
 * @property maxListLag how long the list may lag behind at most.
 */
public data class MembershipTiming(
    val pollInterval: Duration = 1.seconds,
    val registerInterval: Duration = 2.seconds,
    val registrationTimeToLive: Duration = 8.seconds,
    val suspicionTimeout: Duration = 2500.milliseconds,
    val maxListLag: Duration = 10.seconds,
)
