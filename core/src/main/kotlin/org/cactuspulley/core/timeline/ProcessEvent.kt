package org.cactuspulley.core.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An event that concerns the whole process. */
@Serializable
public sealed interface ProcessEvent : TimelineEvent

/** The process in [zone] began to serve callers at [address]. */
@Serializable
@SerialName("process_started")
public data class ProcessStarted(val address: String, val zone: String) : ProcessEvent

/** The process was asked to stop. It keeps serving until its last request has ended or the stop deadline has passed. */
@Serializable
@SerialName("stop_requested")
public data object ProcessStopRequested : ProcessEvent

/** The process ended; [requestsCut] requests had not ended by the stop deadline and were cut off. */
@Serializable
@SerialName("process_stopped")
public data class ProcessStopped(val requestsCut: Int) : ProcessEvent
