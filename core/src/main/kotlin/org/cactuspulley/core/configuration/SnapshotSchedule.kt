package org.cactuspulley.core.configuration

import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.rendezvousRank

/**
 * When this instance appends a snapshot. The instances take turns by rendezvous: one of a lower rank
 * waits longer, and a snapshot that it reads meanwhile begins the wait anew.
 */
internal class SnapshotSchedule(private val timing: ConfigurationTiming) {
    /** When the snapshot is due; null before the start. */
    var deadline: MonotonicTime? = null
        private set

    private var newestSnapshot: LogOffset? = null

    /** Begins the first wait. */
    fun start(now: MonotonicTime) {
        deadline = now + timing.firstSnapshotDelay
    }

    /** Takes note of the copy's state after a read of the log whose oldest record is [firstKept]. */
    fun update(replica: ConfigurationReplica, firstKept: LogOffset, membership: Membership, now: MonotonicTime) {
        val snapshot = replica.lastSnapshot
        val next = replica.configuration.next
        val sinceSnapshot = next.number - (snapshot?.number ?: 0)
        when {
            snapshot != null && snapshot != newestSnapshot -> deadline = now + timing.snapshotInterval + staggerDelay(membership, next)
            isMissingFromLog(snapshot, firstKept) || sinceSnapshot >= timing.recordsPerSnapshot -> bringForward(now + staggerDelay(membership, next))
        }
        newestSnapshot = snapshot
    }

    private fun isMissingFromLog(snapshot: LogOffset?, firstKept: LogOffset): Boolean =
        firstKept > (snapshot ?: LogOffset.FIRST)

    private fun bringForward(time: MonotonicTime) {
        deadline = deadline?.let { minOf(it, time) } ?: time
    }

    /** Takes note that a snapshot was appended, which may not have arrived. */
    fun recordAppend(now: MonotonicTime) {
        deadline = now + timing.snapshotStagger * RETRY_FACTOR
    }

    private fun staggerDelay(membership: Membership, next: LogOffset) = timing.snapshotStagger * rank(membership, next)

    private fun rank(membership: Membership, next: LogOffset): Int {
        val key = "snapshot-${next.number / timing.recordsPerSnapshot}"
        return rendezvousRank(key, membership.instances.keys) { it.text }.indexOf(membership.self).coerceAtLeast(0)
    }

    private companion object {
        const val RETRY_FACTOR = 2
    }
}
