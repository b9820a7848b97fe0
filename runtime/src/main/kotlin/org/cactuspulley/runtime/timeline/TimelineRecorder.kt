package org.cactuspulley.runtime.timeline

import kotlinx.serialization.json.Json
import org.cactuspulley.core.timeline.HybridTime
import org.cactuspulley.core.timeline.Timeline
import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.core.timeline.TimelineEvent
import java.time.Clock

/** The timeline of this process. It is thread-safe. */
public class TimelineRecorder(
    process: String,
    capacity: Int = DEFAULT_CAPACITY,
    private val clock: Clock = Clock.systemUTC(),
) {
    private val timeline = Timeline(process, capacity)

    /** Records [event] with the current time. */
    @Synchronized
    public fun record(event: TimelineEvent): Unit = timeline.record(event, clock.millis())

    /** Returns the hybrid time to attach to an outgoing message. */
    @Synchronized
    public fun stamp(): HybridTime = timeline.stamp(clock.millis())

    /** Advances the hybrid clock past [remote], the hybrid time of a received message. */
    @Synchronized
    public fun observe(remote: HybridTime): Unit = timeline.observe(remote, clock.millis())

    /** Returns the retained entries, the oldest first. */
    @Synchronized
    public fun snapshot(): List<TimelineEntry> = timeline.snapshot()

    /** The number of events that were dropped because the timeline was full. */
    public val dropped: Long
        @Synchronized get() = timeline.dropped

    public companion object {
        /** The default maximum number of entries that the timeline retains. */
        public const val DEFAULT_CAPACITY: Int = 20_000
    }
}

/** Encodes and decodes timeline entries as JSON lines. */
public object TimelineJsonLines {
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [entry] as one line without a line break. */
    public fun encode(entry: TimelineEntry): String = json.encodeToString(TimelineEntry.serializer(), entry)

    /** Decodes [line]; throws [kotlinx.serialization.SerializationException] if it is not an entry. */
    public fun decode(line: String): TimelineEntry = json.decodeFromString(TimelineEntry.serializer(), line)
}
