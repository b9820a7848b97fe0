package org.cactuspulley.core.journal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The id of an intent, unique across all instances. */
@Serializable
@JvmInline
public value class IntentId(public val text: String)

/** One entry about a non-idempotent request. */
@Serializable
public sealed interface JournalEntry {
    /** The intent that the entry records or ends. */
    public val intent: IntentId

    /** The key of the request. */
    public val key: JournalKey

    /** The hash of the request body, by which a reuse of the key for a different request is detected. */
    public val fingerprint: Long

    /** The writer wants to run the request. Only the first intent for a key takes effect. */
    @Serializable
    @SerialName("intent")
    public data class Intent(
        override val intent: IntentId,
        override val key: JournalKey,
        override val fingerprint: Long,
    ) : JournalEntry

    /**
     * The request of [intent] ended. Only the writer of the intent writes this entry.
     *
     * @property outcome how the request ended.
     */
    @Serializable
    @SerialName("outcome")
    public data class Outcome(
        override val intent: IntentId,
        override val key: JournalKey,
        override val fingerprint: Long,
        val outcome: JournalOutcome,
    ) : JournalEntry
}
