/*
 * Tells a request's story from the decision logs of all processes.
 */
package org.cactuspulley.runtime.logging

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/**
 * One decision as a process logged it.
 *
 * @property process the name of the log that it stands in.
 * @property atMillis the process's wall clock in Unix milliseconds.
 * @property details what decided it, in the order of the line.
 */
public data class LoggedDecision(val process: String, val atMillis: Long, val event: String, val details: Map<String, String>) {
    /** The request that the decision is about; null for a change of belief. */
    public val request: String? get() = details["request"]
}

/** The decision in [line] of the log of [process]; null if the line is none. Text before the first brace is passed over. */
public fun parseDecision(process: String, line: String): LoggedDecision? {
    val start = line.indexOf('{')
    if (start < 0) return null
    return try {
        decisionOf(process, Json.parseToJsonElement(line.substring(start)).jsonObject)
    } catch (_: SerializationException) {
        // Other output of the process, such as a crash report, stands in the same log.
        null
    } catch (_: IllegalArgumentException) {
        // JSON of another shape is no decision either.
        null
    }
}

private fun decisionOf(process: String, line: JsonObject): LoggedDecision? {
    val event = (line["message"] as? JsonPrimitive)?.content ?: return null
    val at = (line["timestamp"] as? JsonPrimitive)?.longOrNull ?: return null
    val details = line["kvpList"]?.jsonArray.orEmpty().flatMap { it.jsonObject.entries }.associate {
        it.key to
            it.value.jsonPrimitive.content
    }
    return LoggedDecision(process, at, event, details)
}

/**
 * All decisions on [request], and what the processes that decided on it had changed their minds about in the
 * [lookbackMillis] before, in the order of their wall clocks.
 */
public fun requestHistory(
    request: String,
    decisions: List<LoggedDecision>,
    lookbackMillis: Long = STATE_CHANGE_LOOKBACK_MILLIS,
): List<LoggedDecision> {
    val requestDecisions = decisions.filter { it.request == request }
    val firstByProcess = requestDecisions.groupBy { it.process }.mapValues { (_, lines) -> lines.minOf { it.atMillis } }
    val lastByProcess = requestDecisions.groupBy { it.process }.mapValues { (_, lines) -> lines.maxOf { it.atMillis } }
    val stateChanges = decisions.filter { decision ->
        val first = firstByProcess[decision.process]
        val last = lastByProcess[decision.process]
        decision.request == null && first != null && last != null && decision.atMillis in first - lookbackMillis..last
    }
    return (requestDecisions + stateChanges).sortedBy { it.atMillis }
}

/** Beliefs older than a rollout or a lapse of the registry rarely decide a request. */
private const val STATE_CHANGE_LOOKBACK_MILLIS = 5_000L
