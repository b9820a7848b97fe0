package org.cactuspulley.core.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * How slots are leased and lent. All instances of a fleet must have the same settings.
 *
 * @property renewalInterval the time between two renewals of an instance; one append renews everything.
 * @property bulkLease how long a bulk part stays its holder's without a renewal.
 * @property reserveLease how long a reserve part stays its holder's without a renewal.
 * @property reserveEighths the eighths of every share that are in the reserve part.
 * @property leaseMargin added to a lease by everyone but its holder.
 * @property clockDriftPerMille the most by which the rate of a clock may be wrong, in thousandths.
 * @property loanLifetime how long borrowed tokens can be spent.
 * @property borrowTimeout how long a borrower waits for the answer of a lender.
 * @property admissionWait how long a request may wait for tokens that are about to come.
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

    /** [duration] as a clock may show it that is fast compared with the holder's, and the margin. */
    internal fun withMargin(duration: Duration): Duration = withDrift(duration) + leaseMargin

    /** [duration] as a clock may show it that is fast compared with the one that set it. */
    internal fun withDrift(duration: Duration): Duration =
        duration + duration / PER_MILLE * (2 * clockDriftPerMille)

    private companion object {
        const val PER_MILLE = 1000
    }
}
