/*
 * The messages that instances exchange, several times a second and immediately after some changes. A regular digest
 * holds the complete state of its sender, so the next one makes up for a lost one; only save notices are sent once.
 */
package org.cactuspulley.runtime.forwarding

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray

/**
 * The state of one instance.
 *
 * @property id the id of the instance.
 * @property incarnation the incarnation of the instance, from its start time in milliseconds since the epoch.
 * @property sequence the number of the digest within the incarnation.
 * @property zone the zone of the instance.
 * @property callerAddress the `host:port` at which the instance serves callers.
 * @property peerAddress the `host:port` at which the instance receives peer messages.
 * @property linkMegabits the capacity of the instance's network link in megabits per second; 0 if it is not known.
 * @property serves whether the instance serves callers.
 * @property reachesStore whether the store answered the instance's last read of the operators' topic.
 * @property storeEra the newest era of the store that the instance knows.
 * @property operationsNext the offset up to which the instance knows the operators' topic in that era; null if it has not read it.
 * @property registryNext the offset up to which the instance knows the target registry in that era; null if it has not read it.
 * @property claimFence the fencing token of the instance's claim to issue weight orders; null if it holds no claim.
 * @property uses the instance's consumption from the workspaces' token buckets.
 * @property excluded the targets that the instance excludes after failures.
 * @property loading the ids of the targets that the instance has ordered to load weights.
 * @property work the load that the instance places on targets.
 * @property shownWeights the targets that the instance has seen with newer weights than they announced.
 * @property namedWeights the versions of weights that were named recently.
 * @property saved the pieces that the instance had targets save to a cache store since its last regular digest.
 * @property failingStores the addresses of the cache stores that are unresponsive to the instance.
 * @property crashNotices what the instance knows of requests that crash targets; null if it has not learned yet what its peers know.
 * @property leaving the targets that told the instance recently that they are leaving.
 * @property limits the rate limits that targets named to the instance, or lifted.
 * @property occupancy what the instance has in flight at each target; null if the digest does not say, as those of older releases.
 * @property speeds the targets that are slower or faster than usual by the estimate of the instance.
 * @property relayedRanges the records that the instance relays to the receiver.
 * @property releases the states of the releases that the instance knows.
 * @property releaseEvidence what the instance has observed of the versions of the services that are being released.
 */
@Serializable
internal data class FleetDigest(
    val id: String,
    val incarnation: Long,
    val sequence: Long,
    val zone: String,
    val callerAddress: String,
    val peerAddress: String,
    val serves: Boolean,
    val linkMegabits: Double = 0.0,
    val reachesStore: Boolean = false,
    @SerialName("era") val storeEra: Long = 0,
    val operationsNext: Long? = null,
    val registryNext: Long? = null,
    val claimFence: Long? = null,
    val uses: List<WorkspaceUsage> = emptyList(),
    val excluded: List<ExcludedTarget> = emptyList(),
    val loading: List<String> = emptyList(),
    val work: List<TargetWork> = emptyList(),
    val shownWeights: List<ObservedWeights> = emptyList(),
    val namedWeights: List<NamedWeights> = emptyList(),
    val saved: List<EncodedSaveNotice> = emptyList(),
    val failingStores: Set<String> = emptySet(),
    val crashNotices: CrashNotices? = null,
    val leaving: List<LeavingTarget> = emptyList(),
    val limits: List<TargetLimitNotice> = emptyList(),
    val occupancy: List<TargetOccupancyNotice>? = null,
    val speeds: List<TargetSlowdown> = emptyList(),
    @SerialName("relays") val relayedRanges: List<RelayedRange> = emptyList(),
    val releases: List<ReleaseNotice> = emptyList(),
    val releaseEvidence: List<EvidenceNotice> = emptyList(),
)

/** Encodes and decodes peer messages; ignores unknown fields, because newer versions of the router may send more. */
@OptIn(ExperimentalSerializationApi::class)
internal val peerCodec: Cbor = Cbor { ignoreUnknownKeys = true }

/**
 * Decodes [bytes] that others have written.
 *
 * @throws SerializationException if they are no such value. The library throws other exceptions for some bytes, which callers would miss.
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> Cbor.decodeUntrusted(serializer: DeserializationStrategy<T>, bytes: ByteArray): T = try {
    decodeFromByteArray(serializer, bytes)
} catch (failure: SerializationException) {
    throw failure
} catch (failure: RuntimeException) {
    throw SerializationException("unreadable bytes: $failure", failure)
}

/** The content of one datagram: either the sender's own [digest] or a [bundle] of a zone's digests. */
@Serializable
internal data class PeerMessage(val digest: FleetDigest? = null, val bundle: DigestBundle? = null)

/**
 * The digests of one zone's instances, collected by a relay of the zone.
 *
 * @property zone the zone of the instances.
 * @property isForwarded whether an instance of the receiving zone has forwarded the bundle already.
 * @property digests the newest digest of each instance.
 */
@Serializable
internal data class DigestBundle(val zone: String, val isForwarded: Boolean, val digests: List<BundledDigest>)

/**
 * A digest in a bundle. It stays encoded, so that receivers decode only digests that are new to them.
 *
 * @property id the id of the digest's sender.
 * @property incarnation the incarnation of the sender.
 * @property sequence the sequence number of the digest.
 * @property ageMillis the age of the digest at the time of bundling, in milliseconds.
 * @property encoded the encoded [FleetDigest], without its relayed records.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal class BundledDigest(
    val id: String,
    val incarnation: Long,
    val sequence: Long,
    val ageMillis: Long,
    @ByteString val encoded: ByteArray,
)

/**
 * An instance's consumption from a workspace's token bucket.
 *
 * @property workspace the name of the workspace.
 * @property total the units consumed since the instance started.
 * @property perSecond the current consumption rate in units per second.
 * @property available the units that the instance estimates to be left in the bucket.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class WorkspaceUsage(val workspace: String, val total: Double, val perSecond: Double, val available: Double)

/**
 * A notice that a target sends the pieces of a shared prompt prefix to a cache store.
 *
 * @property scope the scope under which the target caches the pieces.
 * @property piece the last piece of the prefix.
 * @property settlesInMillis the time until the pieces are in the store, in milliseconds.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class EncodedSaveNotice(val scope: String, val piece: Long, val settlesInMillis: Long)

/** The load that an instance places on [target], in the units of the core's `TargetLoad`. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class TargetWork(val target: String, val units: Double)

/** The [requests] that an instance has in flight at [target], and the [tokens] of token memory that they take. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class TargetOccupancyNotice(val target: String, val requests: Int, val tokens: Long)

/** A [target] at which work takes [slowdown] times as long as usual by the estimate of an instance. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class TargetSlowdown(val target: String, val slowdown: Double)

/** A target that an instance excludes for another [millis] milliseconds. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class ExcludedTarget(val target: String, val millis: Long)

/** A target that is leaving; [startedAtMillis] is the time of its start, in Unix milliseconds. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class LeavingTarget(val target: String, val startedAtMillis: Long)

/**
 * What the responses of a target told an instance about the target's rate limit.
 *
 * @property startedAtMillis the start of the target, in Unix milliseconds.
 * @property requestsPerSecond the requests per second that the target takes from all instances together; null if it lifted its limit.
 * @property ageMillis the time since the target said so, in milliseconds.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class TargetLimitNotice(
    val target: String,
    val startedAtMillis: Long,
    val requestsPerSecond: Double?,
    val ageMillis: Long,
)

/** The [version] of a model's weights that an instance has observed at [target]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class ObservedWeights(val target: String, val model: String, val version: Long)

/** The [version] of a model's weights that was named [ageMillis] milliseconds ago. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class NamedWeights(val model: String, val version: Long, val ageMillis: Long)

/**
 * Records that one instance relays to another.
 *
 * @property topic the topic of the records.
 * @property from the offset from which on the records are complete; null if they are the newest records of all keys.
 * @property next the offset up to which, exclusively, the records are complete.
 * @property records the newest records of the keys that changed in the range.
 * @property ageMillis the time since an instance read the range from the store, in milliseconds.
 * @property era the era of the store to which the offsets belong.
 */
@Serializable
internal data class RelayedRange(
    val topic: StoreTopic,
    val from: Long?,
    val next: Long,
    val records: List<RelayedRecord>,
    val ageMillis: Long = 0,
    val era: Long = 0,
)

/** A record of the platform's log; a null [value] marks a deleted key. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class RelayedRecord(val key: String, val offset: Long, @ByteString val value: ByteArray?)

/**
 * The record in which an instance announces itself in the platform's log.
 *
 * @property id the id of the instance.
 * @property incarnation the incarnation of the instance, from its start time in milliseconds since the epoch.
 * @property zone the zone of the instance.
 * @property callerAddress the `host:port` at which the instance serves callers.
 * @property peerAddress the `host:port` at which the instance receives peer messages.
 * @property linkMegabits the capacity of the instance's network link in megabits per second; 0 if it is not known.
 */
@Serializable
internal data class Announcement(
    val id: String,
    val incarnation: Long,
    val zone: String,
    val callerAddress: String,
    val peerAddress: String,
    val linkMegabits: Double = 0.0,
)

/**
 * The record in the platform's log by which the instance [holder], in its [incarnation], claims the right to issue weight orders.
 *
 * @property era the era of the store in which the record was to be written.
 * @property address the `host:port` at which the instance receives peer messages.
 */
@Serializable
internal data class ClaimRecord(val holder: String, val incarnation: Long, val era: Long = 0, val address: String = "")
