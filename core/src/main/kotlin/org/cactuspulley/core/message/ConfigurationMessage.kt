/*
 * Messages that carry membership and configuration between neighbours. A heartbeat is answered with
 * everything that the answerer knows and the sender may not know, so that an answer is at once a
 * sign of life, a bound on the age of the sender's knowledge and the knowledge itself.
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

/** Configuration and membership between neighbours. */
@Serializable
public sealed interface ConfigurationMessage : PeerMessage

/**
 * A sign of life and a question for what is new.
 *
 * @property number counts the sender's heartbeats; the answer repeats it.
 * @property next the offset up to which the sender knows the configuration; -1 if it knows none.
 * @property withdrawals a hash of the withdrawals that the sender holds and that the log has not taken yet.
 * @property electorate a hash of the instance list that the sender counts majorities by.
 * @property needsEvidence whether the sender wants to know whom the receiver reaches.
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
 * @property isInformed whether the answerer has caught up with the others since its start; else it counts for no majority.
 * @property freshMillis how long ago the answerer's configuration was the newest, in milliseconds; null if it does not serve by that.
 * @property knowledge what the sender of the heartbeat lacks; null if it lacks nothing.
 * @property evidence which other instances the answerer reaches; null if neither side needs it.
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
 * Configuration that one instance passes on to another.
 *
 * @property snapshot the whole configuration, where the single records are not at hand any more.
 * @property records the records that follow the receiver's offset, in order.
 * @property withdrawals keys whose withdrawal the log has not taken yet, and the instances that know of it.
 * @property electorate the instance list to count majorities by, if the receiver has another one.
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

/** A log record that one instance passes on to another. */
@Serializable
public data class RelayedRecord(val offset: LogOffset, val id: RecordId, val record: LogRecord)

/**
 * How long ago an instance last had word from each instance of the electorate, directly or through others.
 *
 * @property electorate a hash of the electorate; the ages stand in the order of its sorted ids.
 * @property ages the age of word from informed instances in units of 100 ms, rounded up; 255 stands for none.
 * @property contacts the same for all instances, for a receiver that asked for it; empty for others.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public class ReachabilityEvidence(
    public val electorate: Long,
    @ByteString public val ages: ByteArray,
    @ByteString @EncodeDefault public val contacts: ByteArray = ByteArray(0),
)

/** Passes a withdrawal on that the log has not taken yet. */
@Serializable
@SerialName("ws")
public data class WithdrawalsSpread(val digests: Set<KeyDigest>) : ConfigurationMessage

/** Passes on at once that an instance came, or leaves. */
@Serializable
@SerialName("is")
public data class InstanceSpread(val instance: Instance) : ConfigurationMessage
