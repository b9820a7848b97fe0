package org.cactuspulley.core.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of slot leases and token loans. All instances of a fleet must have the same settings.
 *
 * @property renewalInterval the time between two renewals of an instance; one append renews all its leases.
 * @property bulkLease how long the lease of a bulk part lasts without a renewal.
 * @property reserveLease how long the lease of a reserve part lasts without a renewal.
 * @property reserveEighths how many eighths of a slot's share belong to its reserve part; the bulk part has the rest.
 * @property leaseMargin the time that every instance but the holder adds to a lease.
 * @property clockDriftPerMille the largest deviation of a clock's rate, in thousandths.
 * @property loanLifetime how long borrowed tokens can be spent.
 * @property borrowTimeout how long a borrower waits for a lender's answer.
 * @property admissionWait how long a request may wait for tokens that are expected soon.
 */
public data class LimitSettings(
    val renewalInterval: Duration = 3.seconds,
    val bulkLease: Duration = 10.seconds,
    val reserveLease: Duration = 10.minutes,
    val reserveEighths: Int = 6,
    val leaseMargin: Duration = 1.seconds,
    val clockDriftPerMille: Int = 1,
    val loanLifetime: Duration = 1.seconds,
    val borrowTimeout: Duration = 50.milliseconds,
    val admissionWait: Duration = 1.seconds,
) {
    internal fun leaseDuration(kind: LeaseKind): Duration = when (kind) {
        LeaseKind.BULK -> bulkLease
        LeaseKind.RESERVE -> reserveLease
    }

    /** Returns the longest reading of [duration] on a clock that runs fast relative to the holder's, plus [leaseMargin]. */
    internal fun withMargin(duration: Duration): Duration = withDrift(duration) + leaseMargin

    /** Returns the longest reading of [duration] on a clock that runs fast relative to the clock that measured it. */
    internal fun withDrift(duration: Duration): Duration =
        duration + duration / PER_MILLE * (2 * clockDriftPerMille)

    private companion object {
        const val PER_MILLE = 1000
    }
}
