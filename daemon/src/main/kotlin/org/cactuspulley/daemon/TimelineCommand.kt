package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.core.timeline.TimelineFilter
import org.cactuspulley.core.timeline.mergeTimelines
import org.cactuspulley.runtime.timeline.TimelineJsonLines
import org.cactuspulley.runtime.timeline.htmlPage
import org.cactuspulley.runtime.timeline.textLine
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private val FETCH_TIMEOUT = Duration.ofSeconds(5)
private const val HTTP_OK = 200

/** Describes why the timeline of one process could not be fetched. */
internal sealed interface TimelineFetchFailure {
    val address: String

    /** The request could not be sent or got no response; [reason] holds the exception. */
    data class Unreachable(override val address: String, val reason: String) : TimelineFetchFailure

    /** The process answered with [status] instead of 200. */
    data class Refused(override val address: String, val status: Int) : TimelineFetchFailure

    /** The response contains an entry that cannot be decoded; [reason] holds the decoder's message. */
    data class Unreadable(override val address: String, val reason: String) : TimelineFetchFailure
}

/** Fetches the timelines of several processes and prints them merged; fails if one is missing. */
internal class TimelineCommand : CliktCommand(name = "timeline") {
    private val from by option(
        "--from",
        metavar = "HOST:PORT",
        help = "Address of a process; may be repeated",
    ).multiple(required = true)
    private val secret by option("--secret", envvar = "CACTUSPULLEY_SECRET", help = "Secret that the instances share").required()
    private val request by option("--request", help = "Show only events of this request")
    private val workspace by option("--workspace", help = "Show only events of this workspace")
    private val target by option("--target", help = "Show only events of this target")
    private val format by option("--format", help = "Output format: text, json (one entry per line) or html").choice("text", "json", "html")

    override fun help(context: Context): String = "Prints the merged timeline of several processes."

    override fun run() {
        val results = from.distinct().map { fetchTimeline(it, secret) }
        val entries = results.mapNotNull { result -> result.fold({ it }, { null }) }
        val failures = results.mapNotNull { result -> result.fold({ null }, { it }) }
        val filter = TimelineFilter(request?.let(::RequestId), workspace?.let(::WorkspaceId), target?.let(::TargetId))
        printEntries(mergeTimelines(entries).filter(filter::matches))
        failures.forEach { echo("timeline of ${it.address} is missing: $it", err = true) }
        if (failures.isNotEmpty()) throw ProgramResult(ExitStatus.FAILURE)
    }

    private fun printEntries(entries: List<TimelineEntry>) = when (format) {
        "json" -> entries.forEach { echo(TimelineJsonLines.encode(it)) }
        "html" -> echo(htmlPage(entries))
        else -> entries.forEach { echo(textLine(it)) }
    }
}

/** Fetches the timeline of the process at [address] over HTTP. */
internal fun fetchTimeline(address: String, secret: String): Result<List<TimelineEntry>, TimelineFetchFailure> = try {
    val request = HttpRequest.newBuilder(URI("http://$address/operator/timeline"))
        .header("Authorization", "Bearer $secret")
        .timeout(FETCH_TIMEOUT)
        .build()
    val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofLines())
    when (response.statusCode()) {
        HTTP_OK -> Ok(response.body().filter { it.isNotBlank() }.map(TimelineJsonLines::decode).toList())
        else -> Err(TimelineFetchFailure.Refused(address, response.statusCode()))
    }
} catch (failure: IOException) {
    Err(TimelineFetchFailure.Unreachable(address, failure.toString()))
} catch (failure: IllegalArgumentException) {
    Err(
        when (failure) {
            is SerializationException -> TimelineFetchFailure.Unreadable(address, failure.message.orEmpty())
            else -> TimelineFetchFailure.Unreachable(address, failure.toString())
        },
    )
}
