package org.cactuspulley.runtime.timeline

import kotlinx.serialization.json.Json
import org.cactuspulley.core.timeline.HybridTime
import org.cactuspulley.core.timeline.Timeline
import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.core.timeline.TimelineEvent
import java.time.Clock

/** The timeline of this process, for use by any thread. */
public class TimelineRecorder(
    process: String,
    capacity: Int = DEFAULT_CAPACITY,
    private val clock: Clock = Clock.systemUTC(),
) {
    private val timeline = Timeline(process, capacity)

    /** Records [event] now. */
    @Synchronized
    public fun record(event: TimelineEvent): Unit = timeline.record(event, clock.millis())

    /** A clock reading for an outgoing message. */
    @Synchronized
    public fun stamp(): HybridTime = timeline.stamp(clock.millis())

    /** Takes note of the clock reading of a received message. */
    @Synchronized
    public fun observe(remote: HybridTime): Unit = timeline.observe(remote, clock.millis())

    /** The kept entries, the oldest first. */
    @Synchronized
    public fun snapshot(): List<TimelineEntry> = timeline.snapshot()

    /** The number of events that were dropped. */
    public val dropped: Long
        @Synchronized get() = timeline.dropped

    public companion object {
        /** The number of events that a process keeps. */
        public const val DEFAULT_CAPACITY: Int = 20_000
    }
}

/** Reads and writes timeline entries as JSON lines. */
public object TimelineJsonLines {
    private val format = Json { ignoreUnknownKeys = true }

    /** The line of one entry. */
    public fun encode(entry: TimelineEntry): String = format.encodeToString(TimelineEntry.serializer(), entry)

    /** The entry of one line; throws [kotlinx.serialization.SerializationException] if there is none. */
    public fun decode(line: String): TimelineEntry = format.decodeFromString(TimelineEntry.serializer(), line)
}
