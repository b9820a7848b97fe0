package org.cactuspulley.core.record

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.limits.SlotPart
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset

/**
 * The holder hands [parts] over to [successor]. The successor uses them once the holder has confirmed that it read this
 * record and stopped using them, or once the holder's lease has expired.
 */
@Serializable
public sealed interface SlotRecord : LogRecord {
    /** Who appended the record. */
    public val holder: InstanceId

    /** The start of the holder that appended the record. */
    public val incarnation: InstanceIncarnation

    /** The version of the fleet plan by which the holder divided buckets when it sent the record. */
    public val planVersion: LogOffset
}

/** A part that a holder has held since the record at offset [since] gave it to it. */
@Serializable
public data class HeldPart(
    @SerialName("p") val part: SlotPart,
    @SerialName("s") val since: LogOffset,
)

/**
 * The holder takes [parts] that it found free or lapsed. A part is taken only if nobody claimed,
 * renewed or handed it over between [readUpTo] and this record.
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

/** The holder renews the leases of all that it holds; a higher incarnation takes over what the same address held. */
@Serializable
@SerialName("slots-renewed")
public data class SlotsRenewed(
    @SerialName("h") override val holder: InstanceId,
    @SerialName("i") override val incarnation: InstanceIncarnation,
    @SerialName("p") val parts: List<HeldPart>,
    @SerialName("v") override val planVersion: LogOffset,
) : SlotRecord

/**
 * The holder gives [parts] to [successor], which uses them once the holder confirmed that it read this record and
 * stopped, or once the holder's lease is over.
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
