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

/** What the traffic threads have to do for callers. */
public sealed interface RequestEffect : CoreEffect

/**
 * Sends a request to a target and passes the answer on to the caller as far as it is checked.
 *
 * @property resumeFrom the number of output tokens that the caller already has.
 * @property repeatable whether another attempt may follow; if not, a target's own failure is passed on as the answer.
 * @property keepAnswer whether a copy of the answer is needed for the journal.
 * @property startBefore the attempt must not be sent at or after this time.
 * @property deadline when the caller's patience ends.
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

/** A target and where it listens; [host] is an IP number. */
public data class TargetAddress(val id: TargetId, val host: String, val port: Int)

/** Where cached blocks are imported from before an attempt. */
public data class HandOverSource(val address: TargetAddress, val handOver: CacheTransfer)

/** Stops an attempt at its target; answered by `AttemptFinished` as every attempt. */
public data class CancelAttempt(val request: RequestId, val attempt: AttemptId) : RequestEffect

/** Lets the caller have the end of the whole answer of [attempt]. */
public data class CompleteAnswer(val request: RequestId, val attempt: AttemptId) : RequestEffect

/** Answers the caller with what an earlier request with the same idempotency key got. */
public data class AnswerRecorded(val request: RequestId, val answer: RecordedAnswer) : RequestEffect

/** Answers the caller with a failure; a stream that has begun ends with an error event and without its marker. */
public data class RefuseRequest(val request: RequestId, val refusal: Refusal) : RequestEffect

/** Forgets a request whose caller hung up; it has ended. */
public data class ReleaseRequest(val request: RequestId) : RequestEffect

/** Ends every caller's connection after its next answer. */
public data object DrainConnections : RequestEffect

/** Every request has ended, or the stop deadline passed: the process may end. */
public data object StopCompleted : RequestEffect
