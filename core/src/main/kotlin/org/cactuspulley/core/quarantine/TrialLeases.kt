package org.cactuspulley.core.quarantine

import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.rendezvousRank
import kotlin.time.Duration

/** Returns the owner of [fingerprint], the instance that grants its trials, or null if no instance is live. */
internal fun ownerOf(fingerprint: Fingerprint, membership: Membership): InstanceId? =
    rendezvousRank(fingerprint.rankingKey, membership.live) { it.id.text }.firstOrNull()?.id

/** The key by which instances are ranked for the fingerprint. */
internal val Fingerprint.rankingKey: String get() = "${workspace?.text.orEmpty()}\u0000$bodyHash"

/**
 * Holds the leases of the trials that this instance has granted as the owner of their fingerprints, at most one for
 * each fingerprint at a time. An instance that has just become the owner grants no trial until running trials have
 * been reported to it.
 *
 * @property self the id of this instance.
 * @property settings the limits of the quarantine.
 */
internal class TrialLeases(private val self: InstanceId, private val settings: QuarantineSettings) {
    private data class Lease(val holder: InstanceId, val request: RequestId, val until: MonotonicTime)

    private data class MembershipView(val since: MonotonicTime, val membership: Membership)

    private val leases = mutableMapOf<Fingerprint, Lease>()

    /** Holds the memberships that applied during the last [QuarantineSettings.ownerSettleTime], oldest first. */
    private val membershipViews = ArrayDeque<MembershipView>()

    /** Notes the new [membership], which decides who owns a fingerprint. */
    fun membershipChanged(membership: Membership, now: MonotonicTime) {
        membershipViews.addLast(MembershipView(now, membership))
        while (membershipViews.size > 1 && membershipViews[1].since <= now - settings.ownerSettleTime) membershipViews.removeFirst()
    }

    /** Renews or adds the lease of a running trial. It is ignored while another request holds the lease. */
    fun recordRunning(fingerprint: Fingerprint, holder: InstanceId, request: RequestId, now: MonotonicTime) {
        val lease = leases[fingerprint]?.takeIf { it.until > now }
        if (lease == null || lease.request == request) leases[fingerprint] = Lease(holder, request, now + settings.trialLease)
    }

    /** Grants [request] the trial and returns true, or returns false if another trial runs or may run. */
    fun tryGrant(fingerprint: Fingerprint, holder: InstanceId, request: RequestId, now: MonotonicTime): Boolean {
        val lease = leases[fingerprint]?.takeIf { it.until > now }
        if (lease != null && lease.request != request) return false
        if (lease == null && !isSettled(fingerprint, now)) return false
        leases[fingerprint] = Lease(holder, request, now + settings.trialLease)
        return true
    }

    /** Ends the lease of [request], if it holds the lease of [fingerprint]. */
    fun release(fingerprint: Fingerprint, request: RequestId) {
        if (leases[fingerprint]?.request == request) leases.remove(fingerprint)
    }

    /** Removes the leases that have ended. */
    fun expire(now: MonotonicTime) {
        leases.values.removeAll { it.until <= now }
    }

    /** Tells whether this instance has been the owner of [fingerprint] for the whole settle time. */
    private fun isSettled(fingerprint: Fingerprint, now: MonotonicTime): Boolean {
        val oldestView = membershipViews.firstOrNull() ?: return false
        while (membershipViews.size > 1 && membershipViews[1].since <= now - settings.ownerSettleTime) membershipViews.removeFirst()
        return oldestView.since <= now - settings.ownerSettleTime && membershipViews.all { ownerOf(fingerprint, it.membership) == self }
    }
}
