package org.cactuspulley.core.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.message.ReachabilityEvidence
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Which instances of the electorate this one has had word from, directly or through others, and as
 * of when. Each time is a lower bound: it is counted from the moment at which this instance asked,
 * so a message that was under way for long never makes word look newer than it is.
 */
internal class Reachability(private val self: InstanceId) {
    /** The instances that majorities are counted by, in order of their ids. */
    var electorate: List<InstanceId> = emptyList()
        private set

    /** A hash of [electorate]. */
    var electorateHash: Long = 0
        private set

    /** When [electorate] was known to be the platform's list; null if it never was. */
    var electorateAsOf: MonotonicTime? = null
        private set

    private val lastInformedContact = HashMap<InstanceId, MonotonicTime>()
    private val lastContact = HashMap<InstanceId, MonotonicTime>()

    /** Counts majorities by [instances] from now on. */
    fun replaceElectorate(instances: Collection<InstanceId>, asOf: MonotonicTime?) {
        electorateAsOf = asOf
        val sorted = instances.sortedBy { it.text }
        if (sorted == electorate) return
        electorate = sorted
        electorateHash = Hashing.xxh3_64().hashCharsToLong(sorted.joinToString("\u0000") { it.text })
    }

    /** Takes note of word from [instance] as of [asOf]; it counts for majorities only if the instance [isInformed]. */
    fun recordContact(instance: InstanceId, asOf: MonotonicTime, isInformed: Boolean) {
        if (isInformed) lastInformedContact.merge(instance, asOf, ::maxOf)
        lastContact.merge(instance, asOf, ::maxOf)
    }

    /** Whether a majority, informed or not, this instance included, was heard of since [start]. */
    fun contactedMajoritySince(start: MonotonicTime): Boolean =
        isMajority { it == self || (lastContact[it] ?: start - JUST_BEFORE) >= start }

    /** Whether word from a majority, this instance included, is no older than [limit]. */
    fun reachesMajority(now: MonotonicTime, limit: Duration): Boolean =
        isMajority { it == self || isRecent(it, now, limit) }

    /** Whether [instances] are a majority of the electorate. */
    fun isMajority(instances: Set<InstanceId>): Boolean = isMajority { it in instances }

    private fun isMajority(isCounted: (InstanceId) -> Boolean): Boolean = electorate.count(isCounted) * 2 > electorate.size

    private fun isRecent(instance: InstanceId, now: MonotonicTime, limit: Duration): Boolean {
        val asOf = lastInformedContact[instance] ?: return false
        return now - asOf <= limit
    }

    /**
     * What this instance can tell others of whom it reaches.
     *
     * @param isInformed whether this instance counts itself.
     * @param includeContacts whether instances that are not informed are told too.
     */
    fun evidence(now: MonotonicTime, isInformed: Boolean, includeContacts: Boolean): ReachabilityEvidence = ReachabilityEvidence(
        electorate = electorateHash,
        ages = encodeAges(lastInformedContact, now, isInformed),
        contacts = if (includeContacts) encodeAges(lastContact, now, includeSelf = true) else ByteArray(0),
    )

    private fun encodeAges(times: Map<InstanceId, MonotonicTime>, now: MonotonicTime, includeSelf: Boolean) =
        ByteArray(electorate.size) { index ->
            val instance = electorate[index]
            val asOf = if (instance == self) now.takeIf { includeSelf } else times[instance]
            asOf?.let { ageUnitsOf(now - it) }?.toByte() ?: NO_CONTACT.toByte()
        }

    /** Takes what another instance told, counted from [sentAt]; ignored if it counts by another electorate. */
    fun merge(evidence: ReachabilityEvidence, sentAt: MonotonicTime) {
        if (evidence.electorate != electorateHash) return
        mergeAges(evidence.ages, sentAt, areInformed = true)
        mergeAges(evidence.contacts, sentAt, areInformed = false)
    }

    private fun mergeAges(ages: ByteArray, sentAt: MonotonicTime, areInformed: Boolean) {
        if (ages.size != electorate.size) return
        electorate.forEachIndexed { index, instance ->
            val units = ages[index].toInt() and BYTE_MASK
            if (units != NO_CONTACT) recordContact(instance, sentAt - (units * AGE_UNIT_MILLISECONDS).milliseconds, areInformed)
        }
    }

    private fun ageUnitsOf(age: Duration): Int {
        val units = age.inWholeMilliseconds / AGE_UNIT_MILLISECONDS + 1
        return units.coerceAtMost(NO_CONTACT.toLong()).toInt()
    }

    private companion object {
        const val AGE_UNIT_MILLISECONDS = 100
        const val NO_CONTACT = 255
        const val BYTE_MASK = 0xFF
        val JUST_BEFORE = 1.milliseconds
    }
}
