package org.cactuspulley.core.configuration

import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.rendezvousRank

/**
 * Schedules the snapshots that this instance appends. Rendezvous hashing ranks the instances: an instance
 * with a lower rank waits longer, and a new snapshot that it reads in the meantime restarts the wait. So one
 * instance usually appends the snapshot for all.
 */
internal class SnapshotSchedule(private val timing: ConfigurationTiming) {
    /** The time at which the next snapshot is due; null before [start]. */
    var deadline: MonotonicTime? = null
        private set

    private var lastSnapshot: LogOffset? = null

    /** Starts the delay before the first snapshot. */
    fun start(now: MonotonicTime) {
        deadline = now + timing.firstSnapshotDelay
    }

    /** Updates [deadline] after [replica] has merged a read of the log. [firstKept] is the lowest offset that the log still keeps. */
    fun update(replica: ConfigurationReplica, firstKept: LogOffset, membership: Membership, now: MonotonicTime) {
        val snapshot = replica.lastSnapshot
        val next = replica.configuration.next
        val sinceSnapshot = next.number - (snapshot?.number ?: 0)
        when {
            snapshot != null && snapshot != lastSnapshot -> deadline = now + timing.snapshotInterval + staggerDelay(membership, next)

            isMissingFromLog(snapshot, firstKept) || sinceSnapshot >= timing.recordsPerSnapshot ->
                bringForward(now + staggerDelay(membership, next))
        }
        lastSnapshot = snapshot
    }

    private fun isMissingFromLog(snapshot: LogOffset?, firstKept: LogOffset): Boolean =
        firstKept > (snapshot ?: LogOffset.FIRST)

    private fun bringForward(time: MonotonicTime) {
        deadline = deadline?.let { minOf(it, time) } ?: time
    }

    /** Schedules the next attempt, because this one may fail or may not append a snapshot. */
    fun scheduleRetry(now: MonotonicTime) {
        deadline = now + timing.snapshotStagger * RETRY_FACTOR
    }

    private fun staggerDelay(membership: Membership, next: LogOffset) = timing.snapshotStagger * rank(membership, next)

    private fun rank(membership: Membership, next: LogOffset): Int {
        val key = "snapshot-${next.number / timing.recordsPerSnapshot}"
        return rendezvousRank(key, membership.instances.keys) { it.text }.indexOf(membership.self).coerceAtLeast(0)
    }

    private companion object {
        /** The delay before the next attempt, as a multiple of [ConfigurationTiming.snapshotStagger]. */
        const val RETRY_FACTOR = 2
    }
}
