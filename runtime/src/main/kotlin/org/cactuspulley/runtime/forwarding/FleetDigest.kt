/*
 * What instances tell each other, a few times a second and at once after some changes. Each digest is
 * whole: a lost one is made up for by the next.
 */
package org.cactuspulley.runtime.forwarding

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import org.cactuspulley.core.quarantine.CrashNotice

/**
 * One instance's state.
 *
 * @property sequence counts the digests of one incarnation.
 * @property reachesStore whether the instance's last read of operators' records was answered.
 * @property operationsNext where the instance's knowledge of operators' records ends; null if it has none.
 * @property registryNext the same for the target registry.
 * @property claimFence the fencing token of the instance's claim to order weights; null if it holds none.
 * @property loading targets that the instance has ordered to take weights.
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
    val reachesStore: Boolean = false,
    val operationsNext: Long? = null,
    val registryNext: Long? = null,
    val claimFence: Long? = null,
    val uses: List<WorkspaceUsage> = emptyList(),
    val excluded: List<ExcludedTarget> = emptyList(),
    val loading: List<String> = emptyList(),
    val work: List<TargetWork> = emptyList(),
    val shownWeights: List<ObservedWeights> = emptyList(),
    val saved: List<EncodedSaveNotice> = emptyList(),
    val failingStores: Set<String> = emptySet(),
    val crashes: List<CrashNotice> = emptyList(),
    val relays: List<Relay> = emptyList(),
)

/** Encodes and decodes what instances tell each other; newer instances may say more. */
@OptIn(ExperimentalSerializationApi::class)
internal val peerCodec: Cbor = Cbor { ignoreUnknownKeys = true }

/** What one datagram carries: a digest of the sender's own, or those of its zone. */
@Serializable
internal data class PeerMessage(val digest: FleetDigest? = null, val bundle: DigestBundle? = null)

/**
 * Digests of one zone's instances, as a speaker of the zone gathered them.
 *
 * @property isForwarded whether an instance of the receivers' zone has passed it on already.
 */
@Serializable
internal data class DigestBundle(val zone: String, val isForwarded: Boolean, val digests: List<BundledDigest>)

/** A digest in its encoded form, so that only news are decoded, and how old it was when it was bundled. */
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

/** What the instance has used of a workspace's allowance since its start. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class WorkspaceUsage(val workspace: String, val total: Double, val perSecond: Double, val available: Double)

/** Shared pieces that the instance had a target send to the store, and in how many milliseconds they will be there. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class EncodedSaveNotice(val scope: String, val piece: Long, val settlesInMillis: Long)

/** The work that the instance has at a target. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class TargetWork(val target: String, val units: Double)

/** A target that the instance leaves out for [millis] more. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class ExcludedTarget(val target: String, val millis: Long)

/** The version of a model's weights that a target has shown. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class ObservedWeights(val target: String, val model: String, val version: Long)

/** Records of [topic] that changed between offsets [from] (null: the beginning) and [next]. */
@Serializable
internal data class Relay(val topic: StoreTopic, val from: Long?, val next: Long, val records: List<RelayedRecord>)

/** A record as it stands in the log; a null [value] says that the key is dropped. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class RelayedRecord(val key: String, val offset: Long, @ByteString val value: ByteArray?)

/** An instance's announcement in the log. */
@Serializable
internal data class Announcement(
    val id: String,
    val incarnation: Long,
    val zone: String,
    val callerAddress: String,
    val peerAddress: String,
)

/** A claim to order weights, as it stands in the log. */
@Serializable
internal data class ClaimRecord(val holder: String, val incarnation: Long)
