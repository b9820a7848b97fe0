package org.cactuspulley.core.record

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.quarantine.CrashNotice

/** Crashes of targets, for the instances that got no direct message about them. */
@Serializable
@SerialName("quarantine")
public data class QuarantineRecord(val notices: List<CrashNotice>) : LogRecord
