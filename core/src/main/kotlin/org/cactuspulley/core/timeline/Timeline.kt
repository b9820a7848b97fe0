package org.cactuspulley.core.timeline

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId

/** An event as recorded at [time] by the process with the name [process]. */
@Serializable
public data class TimelineEntry(val time: HybridTime, val process: String, val event: TimelineEvent)

/** Selects timeline entries; a criterion that is null matches every entry. */
public data class TimelineFilter(
    val request: RequestId? = null,
    val workspace: WorkspaceId? = null,
    val target: TargetId? = null,
) {
    /** Whether [entry] matches every criterion. */
    public fun matches(entry: TimelineEntry): Boolean =
        (request == null || entry.event.request == request) &&
            (workspace == null || entry.event.workspace == workspace) &&
            (target == null || entry.event.target == target)
}

/**
 * The latest events of one process. It keeps at most [capacity] entries; older ones are dropped and counted.
 *
 * This class is not thread-safe.
 */
public class Timeline(private val process: String, private val capacity: Int) {
    private val clock = HybridClock()
    private val entries = ArrayDeque<TimelineEntry>()

    /** The number of entries that were dropped because the timeline was full. */
    public var dropped: Long = 0
        private set

    /** Records [event] at the wall-clock time [wallMillis], in Unix milliseconds. */
    public fun record(event: TimelineEvent, wallMillis: Long) {
        if (entries.size == capacity) {
            entries.removeFirst()
            dropped++
        }
        entries.addLast(TimelineEntry(clock.tick(wallMillis), process, event))
    }

    /** Returns a clock reading for an outgoing message. */
    public fun stamp(wallMillis: Long): HybridTime = clock.tick(wallMillis)

    /** Advances the clock to the reading of a received message. */
    public fun observe(remote: HybridTime, wallMillis: Long): Unit = clock.observe(remote, wallMillis)

    /** Returns a copy of the kept entries, the oldest first. */
    public fun snapshot(): List<TimelineEntry> = entries.toList()
}

/** Merges the entries of several processes in order of time; entries of equal time are ordered by process. */
public fun mergeTimelines(timelines: List<List<TimelineEntry>>): List<TimelineEntry> =
    timelines.flatten().sortedWith(compareBy<TimelineEntry> { it.time }.thenBy { it.process })
