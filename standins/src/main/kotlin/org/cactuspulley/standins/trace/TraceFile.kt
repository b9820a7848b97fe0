package org.cactuspulley.standins.trace

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A whole trace. [events] are in the order of their times and don't include [start]. */
public data class Trace(val start: TraceStart, val events: List<TraceEvent>) {
    /** The requests of callers. */
    public val arrivals: List<TraceArrival> get() = events.filterIsInstance<TraceArrival>()

    /** The changes by operators and the faults. */
    public val incidents: List<TraceIncident> get() = events.filterIsInstance<TraceIncident>()
}

/** The reason why a trace could not be read or written. */
public sealed interface TraceError {
    /** The error message for the user of the command. */
    public val message: String

    /** The file at [path] could not be read or written. */
    public data class Inaccessible(val path: Path, val reason: String) : TraceError {
        override val message: String get() = "$path: $reason"
    }

    /** A line, counted from 1, is not a valid event. */
    public data class LineUnreadable(val line: Int, val reason: String) : TraceError {
        override val message: String get() = "line $line: $reason"
    }

    /** The first line is not a start event, or the file has no lines. */
    public data object StartMissing : TraceError {
        override val message: String get() = "line 1: expected an event of type start"
    }

    /** The trace has an unsupported version of the format. */
    public data class FormatUnknown(val format: Int) : TraceError {
        override val message: String get() = "line 1: format is $format; allowed: ${TraceStart.FORMAT}"
    }

    /** An event has an earlier time than the event before it. [line] counts non-blank lines from 1. */
    public data class OutOfOrder(val line: Int) : TraceError {
        override val message: String get() = "line $line: at_ms is less than on the previous line"
    }

    /** An event repeats a request that does not precede it in the trace. [line] counts non-blank lines from 1. */
    public data class ResendUnknown(val line: Int, val id: String) : TraceError {
        override val message: String get() = "line $line: resend_of is $id, but no earlier line has a request with this id"
    }
}

/** Reads and writes trace files, which have one JSON object per line. */
public object TraceFile {
    private val json = Json { classDiscriminator = "type" }

    /** Formats [trace] with one event per line. */
    public fun format(trace: Trace): String = buildString {
        (listOf(trace.start) + trace.events).forEach { append(json.encodeToString(TraceEvent.serializer(), it)).append('\n') }
    }

    /** Parses [lines]; returns the trace or the first error. Blank lines are skipped. */
    public fun parse(lines: List<String>): Result<Trace, TraceError> {
        val events = ArrayList<TraceEvent>(lines.size)
        lines.forEachIndexed { index, line ->
            if (line.isBlank()) return@forEachIndexed
            try {
                events.add(json.decodeFromString(TraceEvent.serializer(), line))
            } catch (failure: SerializationException) {
                return Err(TraceError.LineUnreadable(index + 1, failure.message.orEmpty().lineSequence().first()))
            } catch (failure: IllegalArgumentException) {
                return Err(TraceError.LineUnreadable(index + 1, failure.message.orEmpty().lineSequence().first()))
            }
        }
        return validate(events)
    }

    /** Reads the trace in the file at [path]. */
    public fun read(path: Path): Result<Trace, TraceError> = try {
        parse(Files.readAllLines(path))
    } catch (failure: IOException) {
        Err(TraceError.Inaccessible(path, failure.toString()))
    }

    /** Writes [trace] to the file at [path]. */
    public fun write(path: Path, trace: Trace): Result<Unit, TraceError> = try {
        Files.writeString(path, format(trace))
        Ok(Unit)
    } catch (failure: IOException) {
        Err(TraceError.Inaccessible(path, failure.toString()))
    }

    private fun validate(events: List<TraceEvent>): Result<Trace, TraceError> {
        val start = events.firstOrNull() as? TraceStart ?: return Err(TraceError.StartMissing)
        if (start.format != TraceStart.FORMAT) return Err(TraceError.FormatUnknown(start.format))
        val ids = HashSet<String>()
        events.forEachIndexed { index, event ->
            if (index > 0 && event.atMillis < events[index - 1].atMillis) return Err(TraceError.OutOfOrder(index + 1))
            if (event is TraceArrival) {
                val original = event.resendOf
                if (original != null && original !in ids) return Err(TraceError.ResendUnknown(index + 1, original))
                ids.add(event.id)
            }
        }
        return Ok(Trace(start, events.drop(1)))
    }
}
