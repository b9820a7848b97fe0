package org.cactuspulley.core.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.earliest

/**
 * Withdrawals that are in force here and that have not been read back from the log, each with the
 * instances that are known to know of it. Both sets only grow until the log has the withdrawal, so
 * the order in which instances learn of them is of no matter.
 */
internal class PendingWithdrawals(private val self: InstanceId) {
    private val entries = LinkedHashMap<KeyDigest, PendingWithdrawal>()

    /** The withdrawn keys. */
    val digests: Set<KeyDigest> get() = entries.keys

    /** Who knows of which withdrawal. */
    val knownBy: Map<KeyDigest, Set<InstanceId>> get() = entries.mapValues { it.value.knownBy }

    /** A hash of [knownBy] that does not depend on any order; 0 for none. */
    var hash: Long = 0
        private set

    /** When the next append is due, or null. */
    val nextDeadline: MonotonicTime?
        get() = entries.values.fold(null as MonotonicTime?) { soonest, entry -> earliest(soonest, entry.appendDeadline) }

    /** Adds a withdrawal that [others] know of and that this instance appends at [appendDeadline]; false if it was here. */
    fun add(digest: KeyDigest, others: Set<InstanceId>, appendDeadline: MonotonicTime): Boolean {
        val before = entries[digest]
        entries[digest] = before?.copy(knownBy = before.knownBy + others) ?: PendingWithdrawal(appendDeadline, others + self)
        rehash()
        return before == null
    }

    /** Drops the withdrawals that the log has taken. */
    fun removeLogged(configuration: Configuration) {
        if (entries.isNotEmpty() && entries.keys.removeAll(configuration.withdrawnKeys)) rehash()
    }

    /** Makes every append due at [deadline] at the latest. */
    fun bringForward(deadline: MonotonicTime) {
        entries.replaceAll { _, entry -> entry.copy(appendDeadline = minOf(entry.appendDeadline, deadline)) }
    }

    /** The withdrawals whose append is due; each is due again at [retryDeadline]. */
    fun takeDue(now: MonotonicTime, retryDeadline: MonotonicTime): List<KeyDigest> {
        val due = entries.filterValues { it.appendDeadline <= now }.keys.toList()
        due.forEach { digest -> entries.computeIfPresent(digest) { _, entry -> entry.copy(appendDeadline = retryDeadline) } }
        return due
    }

    private fun rehash() {
        hash = entries.entries.fold(0L) { sum, (digest, entry) ->
            entry.knownBy.fold(sum) { all, id -> all + Hashing.xxh3_64().hashCharsToLong("${digest.hexadecimal}@${id.text}") }
        }
    }
}

private data class PendingWithdrawal(val appendDeadline: MonotonicTime, val knownBy: Set<InstanceId>)
