package org.cactuspulley.runtime.upstream

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.cactuspulley.core.effect.TargetAddress
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.requests.AttemptOutcome

/** What kind of answer an attempt expects. */
public enum class ResponseKind { ENGINE_STREAM, ENGINE_BUFFERED, SERVICE }

/**
 * One request to one target, ready to be sent.
 *
 * @property answerId the id that the caller sees in place of the attempt's.
 * @property headers what the target may see; the client adds framing and the attempt's id.
 * @property resumeFrom the number of output tokens that the caller already has.
 * @property repeatable whether a failure that the target reports may be tried elsewhere; if not, it is the answer.
 * @property keepAnswer whether the outcome carries a copy of the answer.
 * @property handOver cached blocks to move to the target first, or null.
 * @property startBefore the request is not sent at or after this time.
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

/** Hears of one attempt. All functions are called on the event loop that the attempt was started on. */
public interface AttemptListener {
    /** The answer began. */
    public fun onFirstByte()

    /** One checked event of a streamed answer, with its framing, is next for the caller. */
    public fun onEvent(event: ByteArray)

    /** The attempt ended; [responseEnd] is what the caller still has to get if the answer is whole. Called once. */
    public fun onFinished(outcome: AttemptOutcome, responseEnd: ResponseEnd?)
}

/** The part of a whole answer that is held back until the control thread has taken note of it. */
public sealed interface ResponseEnd {
    /** All of an answer that is not streamed. */
    public class Buffered(public val status: Int, public val headers: HttpHeaders, public val body: ByteArray) : ResponseEnd

    /** The last events of a streamed answer, with the terminal marker. */
    public class StreamTail(public val events: ByteArray) : ResponseEnd
}

/** A running attempt. Its functions are called on the event loop that it was started on. */
public interface RunningAttempt {
    /** Ends the attempt; the listener hears `Cancelled` unless it has ended. */
    public fun cancel()

    /** Reads on, or pauses while the caller is slow. */
    public fun setReadEnabled(enabled: Boolean)
}
