package org.cactuspulley.core.requests

import kotlinx.serialization.Serializable

/** The outcome of an attempt at its target. */
public sealed interface AttemptOutcome {
    /** Whether any part of the attempt may have run at the target. */
    public val mayHaveRun: Boolean get() = true

    /** No byte was sent to the target: it could not be connected to, or the attempt ended before it was sent. */
    public data object NotSent : AttemptOutcome {
        override val mayHaveRun: Boolean get() = false
    }

    /** The target refused the attempt because it serves another weights version; nothing has run. */
    public data object WrongWeights : AttemptOutcome {
        override val mayHaveRun: Boolean get() = false
    }

    /**
     * The answer is complete and valid.
     *
     * @property status the HTTP status of the answer.
     * @property promptTokens the number of prompt tokens that the target reported, or 0 if it reported none.
     * @property cachedTokens the number of prompt tokens that the engine reused from its cache, or null if it did not report it.
     * @property outputTokens the number of tokens in the whole answer, including those before a resume.
     * @property answer a copy for the journal, or null if none was requested or the answer is too large to keep.
     */
    public data class Completed(
        val status: Int,
        val promptTokens: Int,
        val cachedTokens: Int?,
        val outputTokens: Int,
        val answer: RecordedAnswer? = null,
    ) : AttemptOutcome

    /** The target answered with an error [status] that another target might not return. */
    public data class TargetFailed(val status: Int) : AttemptOutcome

    /**
     * The connection broke before the answer was complete, or the answer was empty.
     *
     * @property deliveredTokens the number of output tokens that the caller has, including those of earlier attempts.
     */
    public data class Crashed(val deliveredTokens: Int) : AttemptOutcome

    /** The answer was invalid for [reason]; the invalid part was not delivered to the caller. [deliveredTokens] is as in [Crashed]. */
    public data class Invalid(val reason: InvalidAnswer, val deliveredTokens: Int) : AttemptOutcome

    /**
     * This instance cancelled the attempt; [sent] tells whether the request had been sent to the target. [deliveredTokens] is as
     * in [Crashed].
     */
    public data class Cancelled(val deliveredTokens: Int, val sent: Boolean) : AttemptOutcome {
        override val mayHaveRun: Boolean get() = sent
    }
}

/** The reason for which an answer is invalid. */
public enum class InvalidAnswer {
    /** The answer belongs to another attempt. */
    FOREIGN_REQUEST,

    /** Tokens are missing, repeated or out of order. */
    OUT_OF_ORDER,

    /** The answer cannot be parsed. */
    UNREADABLE,

    /** The answer or one of its events exceeds the size limit. */
    TOO_LARGE,
}

/** A complete answer that is kept for later sends with the same idempotency key. */
@Serializable
public data class RecordedAnswer(val status: Int, val headers: List<AnswerHeader>, val body: AnswerBody)

/** A header of a recorded answer. */
@Serializable
public data class AnswerHeader(val name: String, val value: String)

/** The body of a recorded answer, compared by content. */
@Serializable
public class AnswerBody(public val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean = other is AnswerBody && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "AnswerBody(${bytes.size} bytes)"
}
