package org.cactuspulley.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.limits.SlotPart
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.record.HeldPart

/** A message about rate limits. */
@Serializable
public sealed interface LimitMessage : PeerMessage

/**
 * Asks a lender for tokens of a bucket.
 *
 * @property incarnation the incarnation of the borrower.
 * @property number the number of the request; it is unique within the incarnation.
 * @property units the tokens that the borrower needs now, in token units.
 * @property prefetchUnits the tokens that the borrower is expected to need soon, in token units.
 * @property freeCapacityUnits the capacity that the borrower reserves in its own share of the bucket, in token units. The
 *   lender can move up to that many units there permanently.
 * @property levelUnits the tokens in the borrower's own share of the bucket, in token units.
 */
@Serializable
@SerialName("loan-requested")
public data class LoanRequested(
    @SerialName("i") val incarnation: InstanceIncarnation,
    @SerialName("n") val number: Long,
    @SerialName("b") val bucket: BucketId,
    @SerialName("u") val units: Long,
    @SerialName("f") val prefetchUnits: Long,
    @SerialName("r") val freeCapacityUnits: Long,
    @SerialName("l") val levelUnits: Long,
) : LimitMessage

/**
 * Moves or lends tokens to the borrower. The lender deducted them before it sent this message.
 *
 * @property borrowerIncarnation the incarnation of the borrower that sent the request.
 * @property number the number of the request.
 * @property movedUnits the tokens that move permanently to the borrower's share of the bucket, in token units.
 * @property loan the number by which the lender identifies the loan.
 * @property units the lent tokens, in token units; 0 if the lender lends nothing.
 * @property lifetimeMillis the time for which the lent units can be spent, in milliseconds from the sending of the request.
 * @property lenderHasWaitingRequests whether requests are waiting for tokens of the bucket at the lender.
 */
@Serializable
@SerialName("loan-granted")
public data class LoanGranted(
    @SerialName("b") val borrowerIncarnation: InstanceIncarnation,
    @SerialName("n") val number: Long,
    @SerialName("i") val lenderIncarnation: InstanceIncarnation,
    @SerialName("m") val movedUnits: Long,
    @SerialName("l") val loan: Long,
    @SerialName("u") val units: Long,
    @SerialName("t") val lifetimeMillis: Long,
    @SerialName("p") val lenderHasWaitingRequests: Boolean,
) : LimitMessage

/** The unused token units of one loan. */
@Serializable
public data class ReturnedUnits(
    @SerialName("l") val loan: Long,
    @SerialName("u") val units: Long,
)

/**
 * Returns unused tokens of loans.
 *
 * @property sequence a number that increases with every such message of one borrower incarnation to one lender. A message
 *   whose number is not higher than the last one is ignored.
 */
@Serializable
@SerialName("loan-returned")
public data class LoanReturned(
    @SerialName("b") val borrowerIncarnation: InstanceIncarnation,
    @SerialName("i") val lenderIncarnation: InstanceIncarnation,
    @SerialName("q") val sequence: Long,
    @SerialName("r") val returned: List<ReturnedUnits>,
) : LimitMessage

/** Asks for the slot table after a start. If [wholeTable] is false, only the sender's own parts are requested. */
@Serializable
@SerialName("slot-table-asked")
public data class SlotTableAsked(
    @SerialName("n") val number: Long,
    @SerialName("w") val wholeTable: Boolean,
) : LimitMessage

/**
 * One row of the slot table.
 *
 * @property since the offset of the record that gave the part to the holder.
 * @property lastRecordOffset the offset of the holder's latest record about the part.
 * @property remainingMillis a lower bound of the remaining lease time, in milliseconds from the sending of the request.
 * @property unconfirmed whether the part was handed over and its holder is not known to have started using it.
 */
@Serializable
public data class SlotTableRow(
    @SerialName("p") val part: SlotPart,
    @SerialName("h") val holder: InstanceId,
    @SerialName("i") val incarnation: InstanceIncarnation,
    @SerialName("s") val since: LogOffset,
    @SerialName("o") val lastRecordOffset: LogOffset,
    @SerialName("r") val remainingMillis: Long,
    @SerialName("v") val planVersion: LogOffset,
    @SerialName("c") val unconfirmed: Boolean = false,
)

/**
 * Answers [SlotTableAsked].
 *
 * @property number the number of the request.
 * @property next the offset up to which the answering instance has read the stream; [LogOffset.FIRST] if it knows nothing.
 * @property wholeTable whether [rows] are the whole table; otherwise they are the rows of the requesting instance only.
 */
@Serializable
@SerialName("slot-table-answered")
public data class SlotTableAnswered(
    @SerialName("n") val number: Long,
    @SerialName("o") val next: LogOffset,
    @SerialName("w") val wholeTable: Boolean,
    @SerialName("r") val rows: List<SlotTableRow>,
) : LimitMessage

/** Asks an instance that holds several slots for one of them. The sender holds none. */
@Serializable
@SerialName("slot-wanted")
public data object SlotWanted : LimitMessage

/**
 * The tokens that remained in one bucket of a part when it was handed over.
 *
 * @property units the tokens that were not lent, in token units.
 * @property lentUnits the tokens that are lent and can be spent until the loans expire, in token units.
 */
@Serializable
public data class LeftUnits(
    @SerialName("b") val bucket: BucketId,
    @SerialName("u") val units: Long,
    @SerialName("l") val lentUnits: Long,
)

/**
 * Confirms that the former holder of [part] has read the record that handed it over and has stopped spending its tokens.
 * The [remaining] tokens move to the new holder.
 */
@Serializable
@SerialName("slot-passed-on")
public data class SlotPassedOn(
    @SerialName("p") val part: HeldPart,
    @SerialName("l") val remaining: List<LeftUnits>,
) : LimitMessage
