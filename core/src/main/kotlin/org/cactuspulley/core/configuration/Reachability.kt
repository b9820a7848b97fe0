package org.cactuspulley.core.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.message.ReachabilityEvidence
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks when this instance last had contact with each instance of the electorate, directly or through
 * other instances. Each time is a lower bound: it is counted from the moment at which this instance sent
 * the heartbeat, so a delayed answer never makes a contact appear more recent than it is.
 */
internal class Reachability(private val self: InstanceId) {
    /** The instances that majorities are counted over, sorted by id. */
    var electorate: List<InstanceId> = emptyList()
        private set

    /** The hash of [electorate]; two instances compare it to detect that their electorates differ. */
    var electorateHash: Long = 0
        private set

    /** The time at which [electorate] was known to equal the platform's instance list; null if it never was. */
    var electorateAsOf: MonotonicTime? = null
        private set

    private val lastInformedContact = HashMap<InstanceId, MonotonicTime>()
    private val lastContact = HashMap<InstanceId, MonotonicTime>()

    /** Replaces the electorate by [instances]. */
    fun replaceElectorate(instances: Collection<InstanceId>, asOf: MonotonicTime?) {
        electorateAsOf = asOf
        val sorted = instances.sortedBy { it.text }
        if (sorted == electorate) return
        electorate = sorted
        electorateHash = Hashing.xxh3_64().hashCharsToLong(sorted.joinToString("\u0000") { it.text })
    }

    /**
     * Records a contact with [instance] at [asOf]. [reachesMajority] counts the contact only if the instance
     * [isInformed], that is, if it has caught up with its peers since its start.
     */
    fun recordContact(instance: InstanceId, asOf: MonotonicTime, isInformed: Boolean) {
        if (isInformed) lastInformedContact.merge(instance, asOf, ::maxOf)
        lastContact.merge(instance, asOf, ::maxOf)
    }

    /** Returns whether a majority, including this instance, was contacted since [start]; its members need not be informed. */
    fun contactedMajoritySince(start: MonotonicTime): Boolean =
        isMajority { it == self || (lastContact[it] ?: start - JUST_BEFORE) >= start }

    /** Returns whether the last contact with a majority of informed instances, including this one, is no older than [limit]. */
    fun reachesMajority(now: MonotonicTime, limit: Duration): Boolean =
        isMajority { it == self || isRecent(it, now, limit) }

    /** Returns whether [instances] include a majority of the electorate. */
    fun isMajority(instances: Set<InstanceId>): Boolean = isMajority { it in instances }

    private fun isMajority(isCounted: (InstanceId) -> Boolean): Boolean = electorate.count(isCounted) * 2 > electorate.size

    private fun isRecent(instance: InstanceId, now: MonotonicTime, limit: Duration): Boolean {
        val asOf = lastInformedContact[instance] ?: return false
        return now - asOf <= limit
    }

    /**
     * Returns the ages of this instance's contacts, for a heartbeat answer.
     *
     * @param isInformed whether this instance is informed and so includes itself in the ages.
     * @param includeContacts whether contacts with instances that are not informed are included too.
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

    /**
     * Merges the contacts of a peer. Their ages are counted back from [sentAt], when the heartbeat to the peer was sent.
     * Evidence for another electorate is ignored.
     */
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

        /** The encoded age of an instance that was never contacted, or was last contacted at least 25.4 s ago. */
        const val NO_CONTACT = 255

        const val BYTE_MASK = 0xFF

        /** Subtracted from a start time, so that an instance without any contact counts as not contacted since then. */
        val JUST_BEFORE = 1.milliseconds
    }
}
