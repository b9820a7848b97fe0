package org.cactuspulley.core.journal

import kotlinx.serialization.Serializable
import org.cactuspulley.core.requests.RecordedAnswer

/** The outcome of a request whose claim was granted or abandoned. */
@Serializable
public sealed interface JournalOutcome {
    /** The target answered with [answer]. */
    @Serializable
    public data class Answered(val answer: RecordedAnswer) : JournalOutcome

    /** The target answered, but the answer is not kept, for example because it is too large. */
    @Serializable
    public data object AnsweredNotKept : JournalOutcome

    /** The request was sent, and it is not known whether it ran. */
    @Serializable
    public data object Unknown : JournalOutcome

    /** The request was never sent and never will be, so its key can be claimed again. */
    @Serializable
    public data object NeverSent : JournalOutcome
}
