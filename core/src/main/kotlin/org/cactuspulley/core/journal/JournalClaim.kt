package org.cactuspulley.core.journal

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId

/** Where the claim of one request stands. */
internal enum class ClaimState {
    /** The intent is on its way to the log and back. */
    PENDING,

    /** Another request holds the key and its outcome is awaited. */
    AWAITING_OUTCOME,

    /** The request may run. */
    GRANTED,
}

/**
 * One request's claim on a key.
 *
 * @property stateDeadline until when the present state may last; no limit once granted.
 */
internal data class JournalClaim(
    val request: RequestId,
    val intent: IntentId,
    val key: JournalKey,
    val fingerprint: Long,
    val deadline: MonotonicTime,
    val state: ClaimState,
    val stateDeadline: MonotonicTime,
)
