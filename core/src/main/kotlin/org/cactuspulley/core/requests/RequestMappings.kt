/*
 * Maps outcomes and failures to refusals, reports for target selection, timeline labels and charges.
 */
package org.cactuspulley.core.requests

import org.cactuspulley.core.configuration.AuthorizationFailure
import org.cactuspulley.core.limits.RefusalReason
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.routing.AttemptReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/* The time from a refusal to its [Refusal.retryAt], by the cause of the refusal. */
internal val LOG_RETRY_DELAY: Duration = 2.seconds
internal val SUSPECT_RETRY_DELAY: Duration = 2.seconds
internal val OVERLOAD_RETRY_DELAY: Duration = 1.seconds

internal fun AuthorizationFailure.toRefusalKind(): RefusalKind = when (this) {
    AuthorizationFailure.KeyMissing -> RefusalKind.KEY_MISSING
    AuthorizationFailure.KeyUnknown -> RefusalKind.KEY_UNKNOWN
    AuthorizationFailure.KeyWithdrawn -> RefusalKind.KEY_WITHDRAWN
    AuthorizationFailure.ProfileNotPermitted -> RefusalKind.PROFILE_NOT_PERMITTED
    AuthorizationFailure.RouteUnknown -> RefusalKind.ROUTE_UNKNOWN
    AuthorizationFailure.ModelUnknown -> RefusalKind.MODEL_UNKNOWN
    AuthorizationFailure.ConfigurationStale -> RefusalKind.CONFIGURATION_STALE
}

internal fun RefusalReason.toRefusalKind(): RefusalKind = when (this) {
    RefusalReason.OVER_RATE -> RefusalKind.OVER_RATE
    RefusalReason.LARGER_THAN_BURST -> RefusalKind.LARGER_THAN_BURST
    RefusalReason.NO_GRANT -> RefusalKind.NO_GRANT
}

internal fun AttemptOutcome.toAttemptReport(): AttemptReport = when (this) {
    is AttemptOutcome.Completed -> AttemptReport.Completed(promptTokens, cachedTokens, outputTokens)
    is AttemptOutcome.Crashed, AttemptOutcome.NotSent -> AttemptReport.Failed(crashed = true)
    is AttemptOutcome.Invalid, is AttemptOutcome.TargetFailed, AttemptOutcome.WrongWeights -> AttemptReport.Failed(crashed = false)
    is AttemptOutcome.Cancelled -> AttemptReport.Cancelled
}

internal fun AttemptOutcome.timelineLabel(): String = when (this) {
    is AttemptOutcome.Completed -> "completed"
    AttemptOutcome.NotSent -> "not_sent"
    AttemptOutcome.WrongWeights -> "wrong_weights"
    is AttemptOutcome.TargetFailed -> "target_failed"
    is AttemptOutcome.Crashed -> "crashed"
    is AttemptOutcome.Invalid -> "invalid"
    is AttemptOutcome.Cancelled -> "cancelled"
}

/**
 * The number of tokens that are charged to the workspace's rate for a completed request. If the target reported no prompt tokens,
 * those of the request description are charged.
 */
internal fun ActiveRequest.usedTokens(outcome: AttemptOutcome.Completed): Long {
    val prompt = if (outcome.promptTokens > 0) outcome.promptTokens else description.promptTokens
    val unchargedTokens = if (grant.profile?.chargeCachedTokens == false) outcome.cachedTokens ?: 0 else 0
    return (prompt - unchargedTokens + outcome.outputTokens).toLong().coerceAtLeast(1)
}

/** Returns the target of the latest attempt, which must exist. */
internal fun ActiveRequest.requireLatestTarget(): TargetId =
    checkNotNull(latestTarget) { "request ${description.id} has no started attempt" }

/**
 * Returns the idempotency key that is sent to the target of a non-repeatable request: the caller's key, or one that is unique to
 * [attempt] if the caller sent none. Returns null for a repeatable request.
 */
internal fun ActiveRequest.targetIdempotencyKey(attempt: AttemptId): IdempotencyKey? =
    if (grant.repeatable) null else description.idempotencyKey ?: IdempotencyKey(attempt.text)
