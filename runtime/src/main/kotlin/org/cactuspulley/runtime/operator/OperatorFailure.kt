package org.cactuspulley.runtime.operator

import org.cactuspulley.core.configuration.ConfigurationConflict
import org.cactuspulley.core.model.RecordId

/** Describes why an operation of the [OperatorClient] failed. */
public sealed interface OperatorFailure {
    /** A one-line description for the operator. */
    public val message: String

    /** The log did not respond, or rejected the request. The configuration was not changed. */
    public data class LogUnavailable(val reason: String) : OperatorFailure {
        override val message: String get() = "the log is not available, and nothing was changed: $reason"
    }

    /** The record was sent but not read back in time. The change may still be accepted. */
    public data class OutcomeUnknown(val record: RecordId) : OperatorFailure {
        override val message: String get() = "the outcome of record ${record.text} is unknown; it may still be accepted"
    }

    /** The change conflicts with the configuration that results from the records before it. */
    public data class Conflict(val conflict: ConfigurationConflict) : OperatorFailure {
        override val message: String get() = "refused: $conflict"
    }

    /** The log has deleted records, and no snapshot in the log covers them. */
    public data object RecordsLost : OperatorFailure {
        override val message: String get() = "the log has deleted records that no snapshot covers"
    }

    /** The value that the change refers to does not exist. */
    public data class ValueUnknown(val kind: String, val name: String) : OperatorFailure {
        override val message: String get() = "there is no $kind $name"
    }

    /** Neither the log nor an instance confirmed the withdrawal. */
    public data class WithdrawalFailed(val reason: String) : OperatorFailure {
        override val message: String get() = "the key is still valid, neither the log nor an instance accepted the withdrawal: $reason"
    }
}
