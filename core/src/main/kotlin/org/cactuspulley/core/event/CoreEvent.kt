/*
 * Events that the core handles. Each part of the core has its own sealed subinterface of [CoreEvent] in
 * a file of this package. A part ignores the events that do not concern it.
 */
package org.cactuspulley.core.event

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.record.StoredRecord

/** An event that is passed to [org.cactuspulley.core.instance.InstanceCore]. */
public sealed interface CoreEvent

/** Time passed. The runtime passes this event no later than the core's next deadline. */
public data object TimerFired : CoreEvent

/** A newer configuration is in force on this instance. Published by the configuration part. */
public data class ConfigurationChanged(val configuration: Configuration) : CoreEvent

/** The set or the state of the known instances changed. Published by the membership part. */
public data class MembershipChanged(val membership: Membership) : CoreEvent

/** A message from another instance arrived. */
public data class PeerMessageReceived(val from: InstanceId, val message: PeerMessage) : CoreEvent

/** The process was asked to stop. It keeps serving until its last request has ended, or until [stopDeadline]. */
public data class StopRequested(val stopDeadline: MonotonicTime) : CoreEvent

/** An answer of the log service, or its absence. */
public sealed interface LogEvent : CoreEvent

/**
 * Records of a stream were read, in log order.
 *
 * @property next the offset after the last record of [records].
 * @property firstKept the lowest offset that the log still holds.
 * @property reachedTail whether [records] reached the end of the stream when the read was answered.
 * @property askedAt the time at which the read was sent. The state that was read is at least as new as this time.
 */
public data class RecordsRead(
    val stream: StreamName,
    val records: List<StoredRecord>,
    val next: LogOffset,
    val firstKept: LogOffset,
    val reachedTail: Boolean,
    val askedAt: MonotonicTime,
) : LogEvent

/** A read of a stream failed or timed out. */
public data class ReadFailed(val stream: StreamName) : LogEvent

/** The log acknowledged an append. */
public data class AppendAcknowledged(val stream: StreamName, val recordId: RecordId, val offset: LogOffset) : LogEvent

/**
 * An append was not acknowledged. Unless [certainlyNotAppended] is true, the record may be in the log or
 * may still be appended.
 */
public data class AppendUncertain(
    val stream: StreamName,
    val recordId: RecordId,
    val certainlyNotAppended: Boolean = false,
) : LogEvent
