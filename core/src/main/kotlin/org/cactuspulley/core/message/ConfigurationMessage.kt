/*
 * Messages that propagate membership and configuration between peers. The answer to a heartbeat contains
 * everything that the answering instance knows and the sender may lack. An answer therefore proves that the
 * peer is alive, delivers the missing configuration and bounds the age of the sender's configuration.
 */
package org.cactuspulley.core.message

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.InstanceState
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.record.LogRecord

/** A message about configuration and membership. */
@Serializable
public sealed interface ConfigurationMessage : PeerMessage

/**
 * Shows that the sender is alive and asks for changes that it lacks.
 *
 * @property number the number of the heartbeat, counted by the sender; the answer repeats it.
 * @property next the offset in the operators' stream up to which the sender knows the configuration; -1 if it has none.
 * @property withdrawals a hash of the withdrawn keys that the sender knows of and that are not in the log yet.
 * @property electorate a hash of the instance list over which the sender counts majorities.
 * @property needsEvidence whether the sender asks which instances the receiver reaches.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
@SerialName("hb")
public data class Heartbeat(
    val number: Long,
    val incarnation: InstanceIncarnation,
    val state: InstanceState,
    val next: Long,
    val withdrawals: Long,
    val electorate: Long,
    val needsEvidence: Boolean,
) : ConfigurationMessage

/**
 * Answers a heartbeat.
 *
 * @property number the number of the heartbeat.
 * @property next the offset up to which the answering instance knows the configuration; -1 if it has none.
 * @property isInformed whether the answering instance has caught up with its peers since its start. Otherwise it counts
 *   for no majority of informed instances.
 * @property freshMillis the time since the answering instance's configuration was known to be the latest, in milliseconds;
 *   null if its configuration is not fresh.
 * @property knowledge what the sender of the heartbeat lacks; null if it lacks nothing.
 * @property evidence which other instances the answering instance reaches; null if neither instance needs it.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
@SerialName("ha")
public data class HeartbeatAnswer(
    val number: Long,
    val incarnation: InstanceIncarnation,
    val state: InstanceState,
    val next: Long,
    val isInformed: Boolean,
    @EncodeDefault val freshMillis: Long? = null,
    @EncodeDefault val knowledge: RelayedKnowledge? = null,
    @EncodeDefault val evidence: ReachabilityEvidence? = null,
) : ConfigurationMessage

/**
 * Configuration that one instance relays to another.
 *
 * @property snapshot the whole configuration; null unless the individual records are no longer available.
 * @property records the records that follow the receiver's offset, in order.
 * @property withdrawals the withdrawn keys that are not in the log yet, and the instances that know of each.
 * @property electorate the instance list over which majorities are counted; null if the receiver has the same list.
 * @property electorateMillis the age of that list, in milliseconds.
 */
@Serializable
public data class RelayedKnowledge(
    val snapshot: Configuration? = null,
    val records: List<RelayedRecord> = emptyList(),
    val withdrawals: Map<KeyDigest, Set<InstanceId>> = emptyMap(),
    val electorate: List<InstanceId>? = null,
    val electorateMillis: Long = 0,
)

/** A log record that one instance relays to another. */
@Serializable
public data class RelayedRecord(val offset: LogOffset, val id: RecordId, val record: LogRecord)

/**
 * The ages of an instance's last contact with each instance of the electorate, directly or through other instances.
 *
 * @property electorate a hash of the electorate. The ages are in the order of its sorted ids.
 * @property ages the ages of the last contact with informed instances, in units of 100 ms rounded up; 255 stands for no
 *   contact.
 * @property contacts the same for all instances, informed or not; empty if the receiver did not ask for evidence.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public class ReachabilityEvidence(
    public val electorate: Long,
    @ByteString public val ages: ByteArray,
    @ByteString @EncodeDefault public val contacts: ByteArray = ByteArray(0),
)

/** Relays withdrawn keys that are not in the log yet. */
@Serializable
@SerialName("ws")
public data class WithdrawalsSpread(val digests: Set<KeyDigest>) : ConfigurationMessage

/** Relays immediately that an instance has joined or is leaving. */
@Serializable
@SerialName("is")
public data class InstanceSpread(val instance: Instance) : ConfigurationMessage
