/*
 * Effects that the core requests. Each part of the core has its own sealed subinterface of
 * [CoreEffect] in a file of this package. The runtime executes effects in order.
 */
package org.cactuspulley.core.effect

import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.timeline.TimelineEvent

/** An action that the core requests from the runtime. */
public sealed interface CoreEffect

/** Passes [event] to every part of this core before `InstanceCore.handle` returns. The runtime never gets this effect. */
public data class Publish(val event: CoreEvent) : CoreEffect

/** Sends a message to another instance. Delivery is at most once and not guaranteed. */
public data class SendToPeer(val peer: InstanceId, val message: PeerMessage) : CoreEffect

/** Appends a record to a stream; answered by `AppendAcknowledged` or `AppendUncertain`. */
public data class AppendRecord(val stream: StreamName, val recordId: RecordId, val record: LogRecord) : CoreEffect

/** Reads a stream from offset [from] on until [UnfollowStream]; answered by `RecordsRead` and `ReadFailed`. */
public data class FollowStream(val stream: StreamName, val from: LogOffset) : CoreEffect

/** Stops reading a stream. */
public data class UnfollowStream(val stream: StreamName) : CoreEffect

/** Records an event on this process's timeline. */
public data class RecordOnTimeline(val event: TimelineEvent) : CoreEffect
