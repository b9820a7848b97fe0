package org.cactuspulley.core.record

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.quarantine.CrashNotice

/** Reports crashes of targets to the instances that got no direct message about them. */
@Serializable
@SerialName("quarantine")
public data class QuarantineRecord(val notices: List<CrashNotice>) : LogRecord
