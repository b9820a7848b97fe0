package org.cactuspulley.core.timeline

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId

/** One event as one process recorded it; [process] is the name of that process. */
@Serializable
public data class TimelineEntry(val time: HybridTime, val process: String, val event: TimelineEvent)

/** Selects entries; a null criterion selects all. */
public data class TimelineFilter(
    val request: RequestId? = null,
    val workspace: WorkspaceId? = null,
    val target: TargetId? = null,
) {
    /** Whether [entry] meets every criterion. */
    public fun matches(entry: TimelineEntry): Boolean =
        (request == null || entry.event.request == request) &&
            (workspace == null || entry.event.workspace == workspace) &&
            (target == null || entry.event.target == target)
}

/**
 * The latest events of one process, at most [capacity] of them; older ones are dropped and counted.
 *
 * One thread uses it at a time.
 */
public class Timeline(private val process: String, private val capacity: Int) {
    private val clock = HybridClock()
    private val entries = ArrayDeque<TimelineEntry>()

    /** The number of events that were dropped to keep the bound. */
    public var dropped: Long = 0
        private set

    /** Records [event] at [wallMillis] of the wall clock. */
    public fun record(event: TimelineEvent, wallMillis: Long) {
        if (entries.size == capacity) {
            entries.removeFirst()
            dropped++
        }
        entries.addLast(TimelineEntry(clock.tick(wallMillis), process, event))
    }

    /** A clock reading for an outgoing message. */
    public fun stamp(wallMillis: Long): HybridTime = clock.tick(wallMillis)

    /** Takes note of the clock reading of a received message. */
    public fun observe(remote: HybridTime, wallMillis: Long): Unit = clock.observe(remote, wallMillis)

    /** The kept entries, the oldest first. */
    public fun snapshot(): List<TimelineEntry> = entries.toList()
}

/** The entries of several processes in one order; entries of equal time are ordered by process. */
public fun mergeTimelines(timelines: List<List<TimelineEntry>>): List<TimelineEntry> =
    timelines.flatten().sortedWith(compareBy<TimelineEntry> { it.time }.thenBy { it.process })
