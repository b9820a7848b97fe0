/*
 * Reconstructs the history of a request from the decision logs of all processes.
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
 * A decision that was read from the log of a process. A decision concerns either one request or a change of the
 * process's state, such as the removal of a target.
 *
 * @property process the name of the log that contains the decision.
 * @property atMillis the wall-clock time of the process in Unix milliseconds.
 * @property event the name of the decision.
 * @property details the key-value pairs of the log line, in their original order.
 */
public data class LoggedDecision(val process: String, val atMillis: Long, val event: String, val details: Map<String, String>) {
    /** The ID of the request that the decision concerns; null for a state change. */
    public val request: String? get() = details["request"]
}

/** Parses [line] of the log of [process]; returns null if it is not a decision. Text before the first brace is ignored. */
public fun parseDecision(process: String, line: String): LoggedDecision? {
    val start = line.indexOf('{')
    if (start < 0) return null
    return try {
        decisionOf(process, Json.parseToJsonElement(line.substring(start)).jsonObject)
    } catch (_: SerializationException) {
        // The log also contains other output of the process, such as crash reports.
        null
    } catch (_: IllegalArgumentException) {
        // The line is JSON, but does not have the structure of a decision.
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
 * Returns all decisions that concern [request], ordered by wall-clock time. For each process that made one, the result
 * also contains its state changes from [lookbackMillis] before its first decision on the request until its last one.
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

/** State changes from before a rollout or a registry outage rarely affect a request. */
private const val STATE_CHANGE_LOOKBACK_MILLIS = 5_000L
