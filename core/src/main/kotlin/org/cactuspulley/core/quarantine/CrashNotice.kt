package org.cactuspulley.core.quarantine

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.AttemptId

/**
 * Reports that a request crashed its target.
 *
 * @property fingerprint the fingerprint of the request.
 * @property attempt the attempt that crashed the target.
 * @property remainingMillis the time for which the crash still counts, in milliseconds from the send of the notice.
 */
@Serializable
public data class CrashNotice(val fingerprint: Fingerprint, val attempt: AttemptId, val remainingMillis: Long)
