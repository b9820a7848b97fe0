package org.cactuspulley.core.effect

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.requests.RecordedAnswer
import org.cactuspulley.core.requests.Refusal
import org.cactuspulley.core.routing.CacheTransfer

/** An effect on a caller's request, executed by the traffic threads. */
public sealed interface RequestEffect : CoreEffect

/**
 * Sends a request to a target and forwards the validated part of the answer to the caller.
 *
 * @property weights the weights version that the target must serve, or null for a plain service.
 * @property cacheScope the salt under which the engine keeps the request's cache entries; empty for a plain service.
 * @property mayWait whether the request yields to interactive traffic.
 * @property resumeFrom the number of output tokens that the caller already has; the answer continues after them.
 * @property repeatable whether another attempt may follow. If not, an error of the target is forwarded as the answer.
 * @property idempotencyKey the idempotency key that the target gets, or null for a repeatable request.
 * @property keepAnswer whether the outcome must carry a copy of the answer for the journal.
 * @property handOver the source from which cached blocks are imported into the target before the attempt, or null if none are.
 * @property startBefore the time before which the attempt must be sent; an attempt that is not sent by then ends as `NotSent`.
 * @property deadline the time after which the caller no longer waits for the answer.
 */
public data class StartAttempt(
    val request: RequestId,
    val attempt: AttemptId,
    val target: TargetAddress,
    val weights: WeightsVersion?,
    val cacheScope: String,
    val mayWait: Boolean,
    val resumeFrom: Int,
    val repeatable: Boolean,
    val idempotencyKey: IdempotencyKey?,
    val keepAnswer: Boolean,
    val handOver: HandOverSource?,
    val startBefore: MonotonicTime,
    val deadline: MonotonicTime,
) : RequestEffect

/** The address of a target; [host] is an IP address. */
public data class TargetAddress(val id: TargetId, val host: String, val port: Int)

/** The source from which cached blocks are imported into a target before an attempt. */
public data class HandOverSource(val address: TargetAddress, val handOver: CacheTransfer)

/** Cancels an attempt at its target; answered by `AttemptFinished`, like every attempt. */
public data class CancelAttempt(val request: RequestId, val attempt: AttemptId) : RequestEffect

/** Delivers the end of the complete answer of [attempt], which is held back until then, to the caller. */
public data class CompleteAnswer(val request: RequestId, val attempt: AttemptId) : RequestEffect

/** Answers the caller with the recorded answer of an earlier request with the same idempotency key. */
public data class SendRecordedAnswer(val request: RequestId, val answer: RecordedAnswer) : RequestEffect

/** Answers the caller with [refusal]. A stream that has begun ends with an error event and without its end marker. */
public data class RefuseRequest(val request: RequestId, val refusal: Refusal) : RequestEffect

/** Releases the state of an ended request whose caller closed its connection. */
public data class ReleaseRequest(val request: RequestId) : RequestEffect

/** Closes every caller connection after its next answer. */
public data object DrainConnections : RequestEffect

/** Lets the process end: every request has ended, or the stop deadline has passed. */
public data object StopCompleted : RequestEffect
