package org.cactuspulley.core.quarantine

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.WorkspaceId

/**
 * Identifies the requests of one workspace that have the same body.
 *
 * @property workspace the workspace, or null on a route that is open to all.
 * @property bodyHash the hash of the request body.
 */
@Serializable
public data class Fingerprint(val workspace: WorkspaceId?, val bodyHash: Long)

/** The decision whether a request may run, considering the targets that crashed. */
public sealed interface QuarantineVerdict {
    /** No crash counts, so requests run without a trial. */
    public data object Clear : QuarantineVerdict

    /** One target crashed, so at most one trial may run at a time in the whole fleet. */
    public data object Suspect : QuarantineVerdict

    /** Two targets crashed, so no request runs before [until]. */
    public data class Quarantined(val until: MonotonicTime) : QuarantineVerdict
}
