package org.cactuspulley.core.limits

import org.cactuspulley.core.model.RequestId

/** Where the tokens of a charge came from. */
internal sealed interface ChargeSource {
    val units: Long

    /** From a bucket that this instance holds; [mark] says from when on a refund is judged. */
    class Local(val bucket: TokenBucket, override val units: Long, val mark: Long) : ChargeSource

    /** From a loan. */
    class Loan(val loan: BorrowedLoan, override val units: Long) : ChargeSource
}

/** What an admitted request was charged. */
internal class Charge(val request: RequestId, val bucket: BucketId, val tokens: Long, val sources: List<ChargeSource>)
