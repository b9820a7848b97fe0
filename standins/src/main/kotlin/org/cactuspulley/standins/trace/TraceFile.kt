package org.cactuspulley.standins.trace

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A whole trace; [events] are in the order of their times. */
public data class Trace(val start: TraceStart, val events: List<TraceEvent>) {
    /** The requests. */
    public val arrivals: List<TraceArrival> get() = events.filterIsInstance<TraceArrival>()

    /** What operators do and what fails. */
    public val incidents: List<TraceIncident> get() = events.filterIsInstance<TraceIncident>()
}

/** Why a file is no trace. */
public sealed interface TraceError {
    /** What to tell an operator. */
    public val message: String

    /** The file can't be read or written. */
    public data class Inaccessible(val path: Path, val reason: String) : TraceError {
        override val message: String get() = "$path: $reason"
    }

    /** A line, counted from 1, is no event. */
    public data class LineUnreadable(val line: Int, val reason: String) : TraceError {
        override val message: String get() = "line $line: $reason"
    }

    /** The first line is no start, or there is none. */
    public data object StartMissing : TraceError {
        override val message: String get() = "line 1: expected an event of type start"
    }

    /** The trace has another version of the format. */
    public data class FormatUnknown(val format: Int) : TraceError {
        override val message: String get() = "line 1: format is $format; allowed: ${TraceStart.FORMAT}"
    }

    /** A line, counted from 1, lies before the one above it. */
    public data class OutOfOrder(val line: Int) : TraceError {
        override val message: String get() = "line $line: at_ms is lower than on the line above"
    }

    /** A line, counted from 1, repeats a request that does not stand above it. */
    public data class ResendUnknown(val line: Int, val id: String) : TraceError {
        override val message: String get() = "line $line: resend_of names $id, which no line above has"
    }
}

/** Reads and writes traces as JSON lines. */
public object TraceFile {
    private val json = Json { classDiscriminator = "type" }

    /** The text of [trace], one event a line. */
    public fun format(trace: Trace): String = buildString {
        (listOf(trace.start) + trace.events).forEach { append(json.encodeToString(TraceEvent.serializer(), it)).append('\n') }
    }

    /** The trace in [lines], or the first thing that is wrong with it. */
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
