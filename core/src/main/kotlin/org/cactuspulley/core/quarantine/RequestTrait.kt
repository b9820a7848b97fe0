/*
 * What a request may have in common with others that crash the same targets, and what crashes of targets are evidence of.
 */
package org.cactuspulley.core.quarantine

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId

/** A property of requests that may be the cause of a target's crash. */
public sealed interface RequestTrait {
    /** The hash that identifies the trait among those of its kind. */
    public val hash: Long

    /** The prompt holds the shared piece with this [hash]. */
    public data class Piece(override val hash: Long) : RequestTrait

    /** The caller, the method, the path without its query and the body of the request have this [hash] together. */
    public data class PathAndBody(override val hash: Long) : RequestTrait

    /** The same and the query have this [hash] together; requests without a query lack this trait. */
    public data class WholeRequest(override val hash: Long) : RequestTrait
}

/**
 * One start of a target, so that several reports of its crash are recognized as the same crash.
 *
 * @property target the id of the target.
 * @property startedAtMillis the wall-clock time of the newest start that the registry lists, in Unix milliseconds.
 * @property restarts the number of starts since that one which the registry does not list yet.
 */
public data class TargetStart(val target: TargetId, val startedAtMillis: Long, val restarts: Int = 0)

/**
 * The quarantine of the requests that have all of certain traits.
 *
 * @property traits the traits.
 * @property lastCrashAt the time of the last crash that is attributed to these traits.
 * @property convictions the number of times that crashes were attributed to these traits: once when the quarantine began, and once for
 *    each trial that crashed its target.
 * @property keptUntil the time until which the quarantine is remembered if no such request comes.
 */
public data class CrashQuarantineEntry(
    val traits: Set<RequestTrait>,
    val lastCrashAt: MonotonicTime,
    val convictions: Int,
    val keptUntil: MonotonicTime,
)

/** Whether a request may run, considering the crashes of targets. */
public sealed interface CrashVerdict {
    /** Nothing is held against the request. */
    public data object Clear : CrashVerdict

    /** Requests with these [traits] are held back. */
    public data class Held(val traits: Set<RequestTrait>) : CrashVerdict

    /** Requests with these [traits] were held back for long enough that one of them may run as a trial. */
    public data class OnTrial(val traits: Set<RequestTrait>) : CrashVerdict
}

/** A change of what a [CrashQuarantine] holds back. */
public sealed interface CrashQuarantineChange {
    /**
     * Requests with all of [traits] are held back.
     *
     * @property targets the targets that crashed on them; empty if another instance decided it.
     */
    public data class Quarantined(val traits: Set<RequestTrait>, val targets: Set<TargetStart>) : CrashQuarantineChange

    /** Requests with all of [traits] may run again. */
    public data class Released(val traits: Set<RequestTrait>) : CrashQuarantineChange
}
