package org.cactuspulley.runtime.upstream

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.cactuspulley.core.effect.TargetAddress
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.requests.AttemptOutcome

/** The kind of response that an attempt expects. */
public enum class ResponseKind { ENGINE_STREAM, ENGINE_BUFFERED, SERVICE }

/**
 * A request that is ready to be sent to one target.
 *
 * @property attempt the attempt id, which the target receives as `X-Request-Id` and must return.
 * @property responseId the id that replaces the attempt id in the response to the caller.
 * @property headers the filtered headers for the target. The client adds `Host`, `Content-Length` and the attempt id.
 * @property kind the kind of response that the request expects.
 * @property resumeFrom the number of output tokens that the caller has already received.
 * @property repeatable whether the request may be retried on another target after a failure. If not, a response with
 *     status 429 or 5xx is forwarded to the caller.
 * @property recordResponse whether the outcome includes a copy of the response.
 * @property startBefore the time before which the request must be sent. From then on, the attempt ends as `NotSent`.
 * @property kvCacheTransfer the KV cache blocks to transfer to the target first, or null.
 */
public class AttemptRequest(
    public val attempt: AttemptId,
    public val responseId: RequestId,
    public val target: TargetAddress,
    public val method: HttpMethod,
    public val uri: String,
    public val headers: HttpHeaders,
    public val body: ByteArray,
    public val kind: ResponseKind,
    public val resumeFrom: Int = 0,
    public val repeatable: Boolean = true,
    public val recordResponse: Boolean = false,
    public val startBefore: MonotonicTime,
    public val kvCacheTransfer: KvCacheTransferRequest? = null,
)

/** Receives the events of one attempt on the event loop on which it was started. */
public interface AttemptListener {
    /** Called when the response head has been received. */
    public fun onFirstByte()

    /** Called with the next validated server-sent event of a streamed response, including its framing. */
    public fun onEvent(event: ByteArray)

    /** Called once when the attempt has ended. If the response is complete, [responseEnd] is the part still to be sent to the caller. */
    public fun onFinished(outcome: AttemptOutcome, responseEnd: ResponseEnd?)
}

/** The part of a complete response that is withheld until the control thread has processed its outcome. */
public sealed interface ResponseEnd {
    /** A complete response that is not streamed. */
    public class Buffered(public val status: Int, public val headers: HttpHeaders, public val body: ByteArray) : ResponseEnd

    /** The final events of a streamed response, including the terminal marker. */
    public class StreamTail(public val events: ByteArray) : ResponseEnd
}

/** Controls a running attempt. Its functions must be called on the event loop on which it was started. */
public interface RunningAttempt {
    /** Cancels the attempt. The listener receives `Cancelled` unless the attempt has already ended. */
    public fun cancel()

    /** Enables or pauses reading the response, which limits buffering for a slow caller. */
    public fun setReadEnabled(enabled: Boolean)
}
