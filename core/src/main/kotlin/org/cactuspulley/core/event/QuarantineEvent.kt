package org.cactuspulley.core.event

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId

/** An event of the quarantine of requests that crash targets. */
public sealed interface QuarantineEvent : CoreEvent

/**
 * The trial of [request], whose fingerprint has crashed a target, was permitted or denied.
 *
 * @property startBefore the time before which the trial must be sent, or null if it was denied.
 */
public data class TrialResolved(val request: RequestId, val startBefore: MonotonicTime?) : QuarantineEvent
