package org.cactuspulley.core.event

import org.cactuspulley.core.journal.ClaimDecision
import org.cactuspulley.core.model.RequestId

/** An event of the journal of non-repeatable requests. */
public sealed interface JournalEvent : CoreEvent

/** The journal decided whether [request] may run. */
public data class ClaimResolved(val request: RequestId, val decision: ClaimDecision) : JournalEvent
