package org.cactuspulley.core.event

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.requests.AttemptOutcome
import org.cactuspulley.core.requests.RequestDescription

/** An event of a caller's request or one of its attempts, reported by the traffic threads. */
public sealed interface RequestEvent : CoreEvent

/** A caller's request was read completely. */
public data class RequestArrived(val description: RequestDescription) : RequestEvent

/** The caller closed its connection before the answer ended. */
public data class RequestAbandoned(val request: RequestId) : RequestEvent

/** The first byte of an attempt's answer arrived. */
public data class AttemptFirstByte(val request: RequestId, val attempt: AttemptId) : RequestEvent

/** An attempt ended. Exactly one of these events follows each `StartAttempt`. */
public data class AttemptFinished(
    val request: RequestId,
    val attempt: AttemptId,
    val outcome: AttemptOutcome,
) : RequestEvent
