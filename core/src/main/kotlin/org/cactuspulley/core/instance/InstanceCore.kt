package org.cactuspulley.core.instance

import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.earliest

/**
 * Makes all decisions of one instance through [handle]. The owner of the clock calls it: the control thread
 * of the daemon, a test, or a benchmark that replays recorded events.
 *
 * This class is not thread-safe; one thread must make all calls.
 */
public class InstanceCore(private val parts: List<CorePart>) {
    /** The latest time at which [handle] must be called with `TimerFired`, or null if no part needs it. */
    public val nextDeadline: MonotonicTime?
        get() = parts.fold(null as MonotonicTime?) { soonest, part -> earliest(soonest, part.nextDeadline) }

    /** Handles one event at [now], and all events that it publishes, and returns the effects to execute, in order. */
    public fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        val events = ArrayDeque<CoreEvent>()
        events.addLast(event)
        while (events.isNotEmpty()) {
            val current = events.removeFirst()
            for (part in parts) {
                for (effect in part.handle(current, now)) {
                    if (effect is Publish) events.addLast(effect.event) else effects.add(effect)
                }
            }
        }
        return effects
    }
}
