/*
 * The calls that targets recorded. The promise checker compares them with the records of the callers.
 */
package org.cactuspulley.standins.server

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.TargetId

/** The state of a call at a target: it still runs, or how it ended. */
@Serializable
public enum class CallOutcome { RUNNING, COMPLETED, CANCELLED, CRASHED, CUT, REFUSED }

/**
 * One call as a target recorded it.
 *
 * @property target the target that received the call.
 * @property incarnation the incarnation of the target at that time.
 * @property attempt the attempt id from the request id header.
 * @property method the request method.
 * @property path the request path without the query.
 * @property contentDigest a digest of the request without its headers; every resend has the same digest.
 * @property idempotencyKey the value of the idempotency key header, or null.
 * @property headers the request headers by lower-case name.
 * @property startNanoseconds the arrival time of the call in nanoseconds of the process's monotonic clock.
 * @property endNanoseconds the end time of the call on the same clock; null while the call runs.
 * @property outcome the state of the call.
 * @property promptTokens the number of prompt tokens; 0 at plain HTTP services.
 * @property cachedTokens the number of prompt tokens that were taken from the prefix cache.
 * @property outputTokens the number of tokens that a completed call generated.
 * @property oracleTokens the number of prompt tokens that the engine with the longest matching prefix had cached on arrival.
 * @property pieces the chained hashes of the full pieces of the prompt.
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

/** Records the calls of one target in the order of their arrival. Thread-safe. */
public class CallRecorder {
    private val calls = ArrayList<ObservedCall>()

    /** Returns a copy of all calls recorded so far. */
    public fun snapshot(): List<ObservedCall> = synchronized(calls) { calls.toList() }

    /** Adds a call and returns its index. */
    public fun begin(call: ObservedCall): Int = synchronized(calls) {
        calls.add(call)
        calls.size - 1
    }

    /** Replaces the call at [index] by the result of [change]. */
    public fun update(index: Int, change: (ObservedCall) -> ObservedCall) {
        synchronized(calls) { calls[index] = change(calls[index]) }
    }

    /** Records the end of the call at [index], unless it has already ended. */
    public fun end(index: Int, outcome: CallOutcome) {
        update(index) {
            if (it.endNanoseconds != null) it else it.copy(endNanoseconds = System.nanoTime(), outcome = outcome)
        }
    }
}
