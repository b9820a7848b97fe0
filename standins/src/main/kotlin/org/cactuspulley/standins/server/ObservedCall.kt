/*
 * What targets saw. The checker of promises judges from these records and from those of callers.
 */
package org.cactuspulley.standins.server

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.TargetId

/** How a call ended at a target. */
@Serializable
public enum class CallOutcome { RUNNING, COMPLETED, CANCELLED, CRASHED, CUT, REFUSED }

/**
 * One call as a target saw it.
 *
 * @property contentDigest what was asked for, apart from headers; the same on every resend.
 * @property startNanoseconds when the call arrived, on the monotonic clock of the process.
 * @property endNanoseconds when the call ended; null while it runs.
 * @property promptTokens tokens of the prompt; 0 at plain services.
 * @property cachedTokens prompt tokens that were not computed again.
 * @property oracleTokens prompt tokens that the engine with the longest match had cached when the call came.
 * @property pieces the chained hashes of the prompt's whole pieces.
 */
@Serializable
public data class ObservedCall(
    val target: TargetId,
    val incarnation: Long,
    val attempt: String,
    val method: String,
    val path: String,
    val contentDigest: String,
    val idempotencyKey: String? = null,
    val headers: Map<String, String> = emptyMap(),
    val startNanoseconds: Long,
    val endNanoseconds: Long? = null,
    val outcome: CallOutcome = CallOutcome.RUNNING,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val outputTokens: Int = 0,
    val oracleTokens: Int = 0,
    val pieces: List<Long> = emptyList(),
)

/** Keeps the calls of one target in the order of their arrival; safe for all threads. */
public class CallRecorder {
    private val calls = ArrayList<ObservedCall>()

    /** All calls so far. */
    public fun snapshot(): List<ObservedCall> = synchronized(calls) { calls.toList() }

    /** Adds a call and returns its number. */
    public fun begin(call: ObservedCall): Int = synchronized(calls) {
        calls.add(call)
        calls.size - 1
    }

    /** Replaces the call with [index] by what [change] makes of it. */
    public fun update(index: Int, change: (ObservedCall) -> ObservedCall) {
        synchronized(calls) { calls[index] = change(calls[index]) }
    }

    /** Ends the call with [index], unless it has ended already. */
    public fun end(index: Int, outcome: CallOutcome) {
        update(index) {
            if (it.endNanoseconds != null) it else it.copy(endNanoseconds = System.nanoTime(), outcome = outcome)
        }
    }
}
