/*
 * Records of requests as callers observed them. The promise checker compares them with the records
 * of the targets.
 */
package org.cactuspulley.standins.load

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WorkspaceId

/** The outcome of one send, as its caller observed it. */
@Serializable
public enum class SendOutcome {
    /** The whole answer to this request arrived. */
    WHOLE,

    /** The answer broke off, ended without its end marker, or could not be parsed. */
    BROKEN,

    /** The answer has its end marker but lacks a part of the text. */
    INCOMPLETE,

    /** The answer belongs to another request, or its parts are out of order. */
    FOREIGN,

    /** A response with a status other than 200 arrived. */
    REFUSED,

    /** The connection failed before any part of an answer arrived. */
    NO_ANSWER,

    /** The caller's timeout elapsed before the answer ended. */
    TIMED_OUT,
}

/**
 * One send of a request.
 *
 * @property address the host and port of the instance that the request was sent to.
 * @property startNanoseconds the monotonic time at which the send started.
 * @property endNanoseconds the monotonic time at which the send ended.
 * @property status the HTTP status; null if no response was received.
 * @property errorType the error type in the body of a refusal; null if there is none.
 * @property notRun whether the refusal states that no target ran the request; null if it does not say.
 */
@Serializable
public data class ObservedSend(
    val address: String,
    val startNanoseconds: Long,
    val endNanoseconds: Long,
    val outcome: SendOutcome,
    val status: Int? = null,
    val errorType: String? = null,
    val notRun: Boolean? = null,
)

/** The outcome of a request after all its sends, as its caller observed it. */
@Serializable
public enum class RequestOutcome { COMPLETED, REFUSED, FAILED }

/**
 * One request of a caller.
 *
 * @property key the plain key that the caller sent.
 * @property contentDigest the digest that identifies the request's content in the records of targets.
 * @property repeatable whether a target may run the request more than once.
 * @property mayWait whether the request yields to interactive requests.
 * @property chargedTokens the tokens charged to the rate: prompt tokens plus maximum output tokens; 1 for a call.
 * @property usedTokens the tokens of the prompt and the output that the engine reported; 1 for a completed
 *   call, 0 if the request did not complete.
 * @property promptTokens the estimated prompt tokens; 0 for a call.
 * @property cachedTokens the prompt tokens that the engine reused from its prefix cache.
 * @property startNanoseconds the monotonic time at which the caller started.
 * @property firstTokenNanoseconds the monotonic time of the first token of the whole answer; null if there was none.
 * @property endNanoseconds the monotonic time at which the request ended.
 * @property sends the sends in order, the first one included.
 */
@Serializable
public data class ObservedRequest(
    val id: String,
    val workspace: WorkspaceId,
    val profile: ProfileName,
    val key: String,
    val contentDigest: String,
    val repeatable: Boolean,
    val idempotencyKey: String? = null,
    val mayWait: Boolean = false,
    val chargedTokens: Long,
    val usedTokens: Long = 0,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val startNanoseconds: Long,
    val firstTokenNanoseconds: Long? = null,
    val endNanoseconds: Long = 0,
    val outcome: RequestOutcome,
    val sends: List<ObservedSend> = emptyList(),
)
