package org.cactuspulley.core.instance

import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.model.MonotonicTime

/**
 * A state machine that makes up one part of the core. It has no clock, no thread and no random source of
 * its own: it is given events and the current time, and returns effects.
 */
public interface CorePart {
    /** The latest time at which the part must get [org.cactuspulley.core.event.TimerFired], or null if it needs none. */
    public val nextDeadline: MonotonicTime?

    /** Handles one event at [now] and returns the effects. An event that does not concern the part changes nothing. */
    public fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect>
}
