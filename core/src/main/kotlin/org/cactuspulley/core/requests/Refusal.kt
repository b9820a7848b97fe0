package org.cactuspulley.core.requests

import org.cactuspulley.core.model.MonotonicTime

/**
 * The refusal that a caller gets instead of a target's answer.
 *
 * @property notRun true only if no part of the request can have run or can still run, including earlier sends with its
 *   idempotency key.
 * @property retryAt the time from which sending the request again may succeed, or null if waiting does not help.
 */
public data class Refusal(val kind: RefusalKind, val notRun: Boolean, val retryAt: MonotonicTime? = null)

/**
 * The kind of a refusal.
 *
 * @property status the HTTP status of the answer.
 * @property type the fixed error type in the answer's body.
 * @property message the error message in the answer's body.
 */
public enum class RefusalKind(public val status: Int, public val type: String, public val message: String) {
    MALFORMED_REQUEST(400, "malformed_request", "the request cannot be read"),
    KEY_IN_REQUEST(400, "key_in_request", "the key stands where a target would see it"),
    KEY_MISSING(401, "key_missing", "the request has no key"),
    KEY_UNKNOWN(401, "key_unknown", "the key is not known"),
    KEY_WITHDRAWN(401, "key_withdrawn", "the key was withdrawn"),
    PROFILE_NOT_PERMITTED(403, "profile_not_permitted", "the workspace does not have this profile"),
    ROUTE_UNKNOWN(404, "route_unknown", "no route leads here"),
    MODEL_UNKNOWN(404, "model_unknown", "the model is not known"),
    METHOD_NOT_ALLOWED(405, "method_not_allowed", "the path does not take this method"),
    REQUEST_TIMEOUT(408, "request_timeout", "the request did not arrive whole in time"),
    OUTCOME_UNKNOWN(409, "outcome_unknown", "an earlier request with this idempotency key may have run; it is not repeated"),
    OUTCOME_NOT_KEPT(409, "outcome_not_kept", "an earlier request with this idempotency key ran; its answer is no longer kept"),
    IDEMPOTENCY_KEY_EXPIRED(409, "idempotency_key_expired", "the idempotency key is older than keys are remembered"),
    BODY_TOO_LARGE(413, "body_too_large", "the body is larger than allowed"),
    IDEMPOTENCY_KEY_REUSED(422, "idempotency_key_reused", "the idempotency key belongs to a request with another body"),
    QUARANTINED(422, "quarantined", "requests like this one crashed targets"),
    OVER_RATE(429, "over_rate", "the workspace's rate is used up"),
    LARGER_THAN_BURST(413, "larger_than_burst", "the request needs more tokens than the workspace's burst"),
    HEADERS_TOO_LARGE(431, "headers_too_large", "the headers are larger than allowed"),
    ATTEMPT_FAILED(502, "attempt_failed", "the target failed while it ran the request"),
    STREAM_BROKEN(502, "stream_broken", "the answer broke off and cannot be resumed"),
    NO_GRANT(503, "no_grant", "this instance holds no grant for the workspace"),
    CONFIGURATION_STALE(503, "configuration_stale", "this instance may have missed changes of the configuration"),
    QUEUE_FULL(503, "queue_full", "too many requests wait"),
    DEADLINE_UNREACHABLE(503, "deadline_unreachable", "the deadline cannot be met"),
    NO_TARGET(503, "no_target", "no target can serve the request"),
    RETRIES_EXHAUSTED(503, "retries_exhausted", "too many attempts of this instance fail"),
    LOG_UNAVAILABLE(503, "log_unavailable", "a request that must not be repeated cannot be recorded"),
    SUSPECT(503, "suspect", "a request like this one crashed a target and another trial of it runs"),
    MEMORY_SHORT(503, "memory_short", "the requests that this instance holds leave no memory for another one"),
    TOO_MANY_CONNECTIONS(503, "too_many_connections", "this instance has too many connections"),
    DEADLINE_PASSED(504, "deadline_passed", "the deadline passed"),
}
