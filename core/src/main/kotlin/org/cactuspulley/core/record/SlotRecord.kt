package org.cactuspulley.core.record

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.limits.SlotPart
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset

/** A change or a renewal of the ownership of rate-limit slots, in stream `slots`. */
@Serializable
public sealed interface SlotRecord : LogRecord {
    /** The instance that appended the record. */
    public val holder: InstanceId

    /** The incarnation of the holder when it appended the record. */
    public val incarnation: InstanceIncarnation

    /** The version of the fleet plan by which the holder divided buckets when it sent the record. */
    public val planVersion: LogOffset
}

/** A slot part and the offset [since] of the record that gave it to its holder. */
@Serializable
public data class HeldPart(
    @SerialName("p") val part: SlotPart,
    @SerialName("s") val since: LogOffset,
)

/**
 * The holder claims [parts] that it found without a holder or with an expired lease. The claim of a part is valid only if no
 * other record about the part was appended between [readUpTo] and this record.
 *
 * @property readUpTo the offset up to which the holder had read the stream.
 */
@Serializable
@SerialName("slots-claimed")
public data class SlotsClaimed(
    @SerialName("h") override val holder: InstanceId,
    @SerialName("i") override val incarnation: InstanceIncarnation,
    @SerialName("p") val parts: List<SlotPart>,
    @SerialName("u") val readUpTo: LogOffset,
    @SerialName("v") override val planVersion: LogOffset,
) : SlotRecord

/**
 * The holder renews the leases of all parts that it holds. A higher incarnation takes over the parts that an earlier
 * incarnation of the same instance held.
 */
@Serializable
@SerialName("slots-renewed")
public data class SlotsRenewed(
    @SerialName("h") override val holder: InstanceId,
    @SerialName("i") override val incarnation: InstanceIncarnation,
    @SerialName("p") val parts: List<HeldPart>,
    @SerialName("v") override val planVersion: LogOffset,
) : SlotRecord

/**
 * The holder hands [parts] over to [successor]. The successor uses them once the holder has confirmed that it read this
 * record and stopped using them, or once the holder's lease has expired.
 */
@Serializable
@SerialName("slots-handed-over")
public data class SlotsHandedOver(
    @SerialName("h") override val holder: InstanceId,
    @SerialName("i") override val incarnation: InstanceIncarnation,
    @SerialName("p") val parts: List<HeldPart>,
    @SerialName("n") val successor: InstanceId,
    @SerialName("v") override val planVersion: LogOffset,
) : SlotRecord
