package org.cactuspulley.core.limits

import org.cactuspulley.core.model.RequestId

/** Where a portion of a charge was taken from. */
internal sealed interface ChargeSource {
    /** The token units that were taken from this source. */
    val units: Long

    /**
     * A bucket that this instance holds.
     *
     * @property mark the moment of the charge in the bucket's headroom history, which limits a refund.
     */
    class Local(val bucket: TokenBucket, override val units: Long, val mark: Long) : ChargeSource

    /** A loan from another instance. */
    class Loan(val loan: BorrowedLoan, override val units: Long) : ChargeSource
}

/**
 * The charge of an admitted request.
 *
 * @property tokens the estimated tokens that were charged.
 */
internal class Charge(val request: RequestId, val bucket: BucketId, val tokens: Long, val sources: List<ChargeSource>)
