package org.cactuspulley.core.journal

import org.cactuspulley.core.requests.RecordedAnswer

/** The decision whether a non-idempotent request may run. */
public sealed interface ClaimDecision {
    /** The intent of this request is the first one for its key, so this instance may run the request once. */
    public data object RunHere : ClaimDecision

    /** An earlier request with the same key ended with [answer]. */
    public data class Recorded(val answer: RecordedAnswer) : ClaimDecision

    /** An earlier request with the same key was answered, but the answer is no longer kept or was too large to keep. */
    public data object NotKept : ClaimDecision

    /** An earlier request with the same key may have run, and its outcome is unknown. */
    public data object OutcomeUnknown : ClaimDecision

    /** The key was already used for a request with a different body. */
    public data object KeyReused : ClaimDecision

    /** The intent was not written and read back in time, so this request does not run. */
    public data object LogUnavailable : ClaimDecision
}

/** Returns the name of the decision on the timeline. */
internal fun ClaimDecision.label(): String = when (this) {
    ClaimDecision.RunHere -> "run_here"
    is ClaimDecision.Recorded -> "recorded"
    ClaimDecision.NotKept -> "not_kept"
    ClaimDecision.OutcomeUnknown -> "outcome_unknown"
    ClaimDecision.KeyReused -> "key_reused"
    ClaimDecision.LogUnavailable -> "log_unavailable"
}
