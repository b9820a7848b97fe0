package org.cactuspulley.core.journal

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId

/** The states of a claim. */
internal enum class ClaimState {
    /** The intent has not been read back from the log yet. */
    PENDING,

    /** Another intent holds the key, and the claim waits for its outcome. */
    AWAITING_OUTCOME,

    /** The request may run. */
    GRANTED,
}

/**
 * The claim of one request on an idempotency key.
 *
 * @property request the request that wants to run.
 * @property intent the intent that is appended for the request.
 * @property key the claimed key.
 * @property fingerprint the hash of the request body, by which a reuse of the key for a different request is detected.
 * @property deadline the time at which the caller stops waiting.
 * @property state the current state.
 * @property stateDeadline the time at which the claim is decided if it is still in the same state. It has no meaning once
 *    the claim is granted.
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
