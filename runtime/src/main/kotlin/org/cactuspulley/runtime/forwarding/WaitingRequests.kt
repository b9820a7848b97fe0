package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.Urgency
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The requests that wait for a target. Whenever they look for one, the most urgent is first, so that it gets the first place that becomes
 * free. Confined to the event loop.
 */
internal class WaitingRequests(
    private val schedule: (Duration, () -> Unit) -> Unit,
    private val execute: (() -> Unit) -> Unit,
    private val beforeRetries: () -> Unit = {},
) {
    private class Waiting(val urgency: Urgency, val retry: () -> Unit)

    private var waiting = mutableListOf<Waiting>()

    /** Calls [retry] once, after the more urgent ones, when the requests next look for a target. */
    fun add(urgency: Urgency, retry: () -> Unit) {
        if (waiting.isEmpty()) schedule(POLL_INTERVAL, ::retryAll)
        waiting += Waiting(urgency, retry)
    }

    private fun retryAll() {
        val due = waiting
        waiting = mutableListOf()
        beforeRetries()
        // Each runs as a task of its own, so that one that fails does not end the wait of the others.
        due.sortedBy { it.urgency }.forEach { execute(it.retry) }
    }

    private companion object {
        /** How often waiting requests look for a target; it is about the processing time of a plain service. */
        val POLL_INTERVAL = 20.milliseconds
    }
}
