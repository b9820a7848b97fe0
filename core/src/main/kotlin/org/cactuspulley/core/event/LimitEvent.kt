package org.cactuspulley.core.event

import org.cactuspulley.core.limits.AdmissionDecision
import org.cactuspulley.core.model.RequestId

/** An event of rate limiting. */
public sealed interface LimitEvent : CoreEvent

/** The pending admission of [request] was decided; [decision] is never `Pending`. */
public data class AdmissionResolved(val request: RequestId, val decision: AdmissionDecision) : LimitEvent
