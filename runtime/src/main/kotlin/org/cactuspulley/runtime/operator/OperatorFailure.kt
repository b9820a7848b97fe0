package org.cactuspulley.runtime.operator

import org.cactuspulley.core.configuration.ConfigurationConflict
import org.cactuspulley.core.model.RecordId

/** Why an operator's wish was not fulfilled. */
public sealed interface OperatorFailure {
    /** One line for the operator. */
    public val message: String

    /** The log did not answer; nothing was changed. */
    public data class LogUnavailable(val reason: String) : OperatorFailure {
        override val message: String get() = "the log is not available, nothing was changed: $reason"
    }

    /** The change was sent, but its record was not read back in time; it may still be accepted. */
    public data class OutcomeUnknown(val record: RecordId) : OperatorFailure {
        override val message: String get() = "the outcome of record ${record.text} is unknown; it may still be accepted"
    }

    /** The change was refused by its place in the log. */
    public data class Conflict(val conflict: ConfigurationConflict) : OperatorFailure {
        override val message: String get() = "refused: $conflict"
    }

    /** The log dropped records and holds no snapshot that covers them. */
    public data object RecordsLost : OperatorFailure {
        override val message: String get() = "the log dropped records that no snapshot covers"
    }

    /** There is no such value to change. */
    public data class ValueUnknown(val kind: String, val name: String) : OperatorFailure {
        override val message: String get() = "there is no $kind $name"
    }

    /** Neither the log nor an instance took the withdrawal. */
    public data class WithdrawalFailed(val reason: String) : OperatorFailure {
        override val message: String get() = "the key still works, nobody took the withdrawal: $reason"
    }
}
