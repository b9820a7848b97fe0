package org.cactuspulley.core.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.earliest

/**
 * Holds the withdrawals that are in force on this instance but have not been read back from the log, and
 * for each withdrawal the instances that know of it. Both sets only grow until the log has the withdrawal,
 * so the result does not depend on the order in which instances learn of withdrawals.
 */
internal class PendingWithdrawals(private val self: InstanceId) {
    private val entries = LinkedHashMap<KeyDigest, PendingWithdrawal>()

    /** The digests of the withdrawn keys. */
    val digests: Set<KeyDigest> get() = entries.keys

    /** The instances that know of each withdrawal. */
    val knownBy: Map<KeyDigest, Set<InstanceId>> get() = entries.mapValues { it.value.knownBy }

    /** An order-independent hash of [knownBy]; it is 0 if there are no withdrawals. */
    var hash: Long = 0
        private set

    /** The time at which the next append to the log is due, or null if there are no withdrawals. */
    val nextDeadline: MonotonicTime?
        get() = entries.values.fold(null as MonotonicTime?) { soonest, entry -> earliest(soonest, entry.appendDeadline) }

    /**
     * Adds a withdrawal that [others] know of and that this instance appends at [appendDeadline]. Returns false
     * if the withdrawal is already held; then it keeps its append deadline, and only [others] are added.
     */
    fun add(digest: KeyDigest, others: Set<InstanceId>, appendDeadline: MonotonicTime): Boolean {
        val before = entries[digest]
        entries[digest] = before?.copy(knownBy = before.knownBy + others) ?: PendingWithdrawal(appendDeadline, others + self)
        rehash()
        return before == null
    }

    /** Removes the withdrawals that [configuration] includes, because the log has them. */
    fun removeLogged(configuration: Configuration) {
        if (entries.isNotEmpty() && entries.keys.removeAll(configuration.withdrawnKeys)) rehash()
    }

    /** Brings every append that is due after [deadline] forward to it. */
    fun bringForward(deadline: MonotonicTime) {
        entries.replaceAll { _, entry -> entry.copy(appendDeadline = minOf(entry.appendDeadline, deadline)) }
    }

    /** Returns the withdrawals whose append is due at [now] and makes each due again at [retryDeadline]. */
    fun rescheduleDue(now: MonotonicTime, retryDeadline: MonotonicTime): List<KeyDigest> {
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
