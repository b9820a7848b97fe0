package org.cactuspulley.core.quarantine

import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.rendezvousRank
import kotlin.time.Duration

/** The instance that permits trials of [fingerprint]. */
internal fun ownerOf(fingerprint: Fingerprint, membership: Membership): InstanceId? =
    rendezvousRank(fingerprint.rankingKey, membership.live) { it.id.text }.firstOrNull()?.id

/** The key by which instances are ranked for a fingerprint. */
internal val Fingerprint.rankingKey: String get() = "${workspace?.text.orEmpty()}\u0000$bodyHash"

/**
 * The owner's side: permits one trial of each fingerprint at a time. An instance that has just
 * become the owner waits until running trials have been reported to it.
 */
internal class TrialLeases(private val self: InstanceId, private val settings: QuarantineSettings) {
    private data class Lease(val holder: InstanceId, val request: RequestId, val until: MonotonicTime)

    private data class MembershipView(val since: MonotonicTime, val membership: Membership)

    private val leases = mutableMapOf<Fingerprint, Lease>()
    private val membershipViews = ArrayDeque<MembershipView>()

    fun membershipChanged(membership: Membership, now: MonotonicTime) {
        membershipViews.addLast(MembershipView(now, membership))
        while (membershipViews.size > 1 && membershipViews[1].since <= now - settings.ownerSettleTime) membershipViews.removeFirst()
    }

    /** Takes note of a trial that runs. */
    fun recordRunning(fingerprint: Fingerprint, holder: InstanceId, request: RequestId, now: MonotonicTime) {
        val lease = leases[fingerprint]?.takeIf { it.until > now }
        if (lease == null || lease.request == request) leases[fingerprint] = Lease(holder, request, now + settings.trialLease)
    }

    /** Whether [request] may run now. */
    fun tryGrant(fingerprint: Fingerprint, holder: InstanceId, request: RequestId, now: MonotonicTime): Boolean {
        val lease = leases[fingerprint]?.takeIf { it.until > now }
        if (lease != null && lease.request != request) return false
        if (lease == null && !isSettled(fingerprint, now)) return false
        leases[fingerprint] = Lease(holder, request, now + settings.trialLease)
        return true
    }

    fun release(fingerprint: Fingerprint, request: RequestId) {
        if (leases[fingerprint]?.request == request) leases.remove(fingerprint)
    }

    fun expire(now: MonotonicTime) {
        leases.values.removeAll { it.until <= now }
    }

    private fun isSettled(fingerprint: Fingerprint, now: MonotonicTime): Boolean {
        val oldestView = membershipViews.firstOrNull() ?: return false
        while (membershipViews.size > 1 && membershipViews[1].since <= now - settings.ownerSettleTime) membershipViews.removeFirst()
        return oldestView.since <= now - settings.ownerSettleTime && membershipViews.all { ownerOf(fingerprint, it.membership) == self }
    }
}
