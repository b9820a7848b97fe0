package org.cactuspulley.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.limits.SlotPart
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.record.HeldPart

/** Messages about rates and bursts. */
@Serializable
public sealed interface LimitMessage : PeerMessage

/**
 * Asks for tokens of a bucket.
 *
 * @property number tells the requests of one start of the borrower apart.
 * @property units what is missing now, in token units.
 * @property prefetchUnits what will probably be needed soon, in token units.
 * @property freeCapacityUnits what the borrower keeps free in its own share of the bucket, so that units can move there for good.
 * @property levelUnits what the borrower has in its own share, in token units.
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
 * Moves or lends tokens; the lender deducted them before it sent this.
 *
 * @property borrowerIncarnation the start of the borrower that asked.
 * @property number the number of the request that is answered.
 * @property loan the lender's own number of the loan.
 * @property movedUnits what moves to the borrower's own share for good, in token units.
 * @property units what is lent, in token units; 0 when there is nothing to lend.
 * @property lifetimeMillis how long the units can be spent, counted from when the request was sent.
 * @property lenderHasWaitingRequests whether the lender has requests of its own waiting for tokens.
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

/** Units of one loan that were not used after all. */
@Serializable
public data class ReturnedUnits(
    @SerialName("l") val loan: Long,
    @SerialName("u") val units: Long,
)

/**
 * Gives unused units back.
 *
 * @property sequence rises with every such message from one start of a borrower to one lender; a message that is not
 *   above the last one is ignored.
 */
@Serializable
@SerialName("loan-returned")
public data class LoanReturned(
    @SerialName("b") val borrowerIncarnation: InstanceIncarnation,
    @SerialName("i") val lenderIncarnation: InstanceIncarnation,
    @SerialName("q") val sequence: Long,
    @SerialName("r") val returned: List<ReturnedUnits>,
) : LimitMessage

/** A starting instance asks what the slot table says; [wholeTable] is false when only its own parts matter. */
@Serializable
@SerialName("slot-table-asked")
public data class SlotTableAsked(
    @SerialName("n") val number: Long,
    @SerialName("w") val wholeTable: Boolean,
) : LimitMessage

/**
 * One row of the slot table.
 *
 * @property remainingMillis how long the lease lasts at least, counted from when the table was asked for; never too long.
 * @property unconfirmed whether the part was handed over and its holder is not known to have started.
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
 * @property next the offset up to which the answering instance read the stream; [LogOffset.FIRST] if it knows nothing.
 * @property rows the whole table, or the rows of the asking instance only.
 */
@Serializable
@SerialName("slot-table-answered")
public data class SlotTableAnswered(
    @SerialName("n") val number: Long,
    @SerialName("o") val next: LogOffset,
    @SerialName("w") val wholeTable: Boolean,
    @SerialName("r") val rows: List<SlotTableRow>,
) : LimitMessage

/** An instance that holds no slot asks one that holds several for one of them. */
@Serializable
@SerialName("slot-wanted")
public data object SlotWanted : LimitMessage

/**
 * What was left in one bucket of a part, in token units.
 *
 * @property lentUnits what is lent out and may be spent for as long as a loan lasts.
 */
@Serializable
public data class LeftUnits(
    @SerialName("b") val bucket: BucketId,
    @SerialName("u") val units: Long,
    @SerialName("l") val lentUnits: Long,
)

/** The former holder read that it handed [part] over at [since], has stopped spending it, and passes on what is [remaining]. */
@Serializable
@SerialName("slot-passed-on")
public data class SlotPassedOn(
    @SerialName("p") val part: HeldPart,
    @SerialName("l") val remaining: List<LeftUnits>,
) : LimitMessage
