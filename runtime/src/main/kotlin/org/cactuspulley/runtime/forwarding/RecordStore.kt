/*
 * The ports of the forwarding instance for the platform's log and for calls to targets.
 */
package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.cactuspulley.core.forwarding.ForwardingConfiguration
import org.cactuspulley.core.forwarding.OrderAnswer
import org.cactuspulley.core.forwarding.RolloutAction
import org.cactuspulley.core.forwarding.TargetEntry
import org.cactuspulley.core.forwarding.TargetReport
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import kotlin.time.Duration

/** The keyed topics of the platform's log that instances use. */
public enum class StoreTopic {
    /** The decisions of operators; only operators write to it. */
    OPERATIONS,

    /** The target registry; only targets write to it, each its own entry. */
    REGISTRY,

    /** The announcements of the instances. */
    INSTANCES,

    /** The claims of the right to issue orders to targets. */
    CLAIMS,

    /** The states of the releases of services' software versions. */
    RELEASES,

    /** The status of releases that is published to operators; only the instances write to it. */
    STATUS,
}

/** A record at [offset] of a topic; a null [value] marks a deleted key. */
public class KeyedRecord(public val key: String, public val offset: Long, public val value: ByteArray?)

/**
 * The result of one read of a topic.
 *
 * @property records the records that were read.
 * @property next the offset after the last record that the read covered; the next read starts there.
 * @property era the era of the store's answer. It rises each time the store is restored from a copy, and offsets of different eras
 *    name different records.
 */
public class RecordBatch(public val records: List<KeyedRecord>, public val next: Long, public val era: Long = 0)

/** An appended record; [offset] names it in [era] only. */
public data class AppendedRecord(val offset: Long, val era: Long = 0)

/** The reason why a call to the store failed. */
public sealed interface StoreFailure {
    /** The store did not answer; a write may have taken effect or may take effect later. */
    public data class Unanswered(val reason: String) : StoreFailure

    /** The store refused the call with the HTTP [status]; the call had no effect. */
    public data class Refused(val status: Int) : StoreFailure

    /** The requested records have been deleted. */
    public data object Compacted : StoreFailure

    /** The topic does not end at the offset that the writer expected. */
    public data object Moved : StoreFailure

    /** The answer can't be parsed. */
    public data class Unreadable(val reason: String) : StoreFailure
}

/** The platform's log. Callbacks run on the event loop. */
public interface RecordStore {
    /** Reads the records of [topic] from offset [from]; if there are none, waits for up to [wait] for one. */
    public fun read(topic: StoreTopic, from: Long, wait: Duration, done: (Result<RecordBatch, StoreFailure>) -> Unit)

    /** Reads the newest record of each key of [topic]. */
    public fun newest(topic: StoreTopic, done: (Result<RecordBatch, StoreFailure>) -> Unit)

    /** Appends [value] under [key], if [expectedEnd] is null or the topic ends there. */
    public fun append(
        topic: StoreTopic,
        key: String,
        value: ByteArray,
        expectedEnd: Long?,
        done: (Result<AppendedRecord, StoreFailure>) -> Unit,
    )

    /** Publishes [status] to operators under the key of its service in [StoreTopic.STATUS]. */
    public fun appendStatus(status: ReleaseStatus, done: (Result<AppendedRecord, StoreFailure>) -> Unit): Unit =
        done(Err(StoreFailure.Refused(STATUS_NOT_IMPLEMENTED)))

    /** Calls [observer] with the era of each answer that carries none to its caller, such as a refusal, before the caller gets it. */
    public fun observeEras(observer: (topic: StoreTopic, era: Long) -> Unit): Unit = Unit

    private companion object {
        /** The HTTP status 501, for a store that publishes nothing to operators. */
        const val STATUS_NOT_IMPLEMENTED = 501
    }
}

/** What operators are told about the progress of a release. */
public enum class ReleaseProgress { RUNNING, COMPLETED, ROLLED_BACK }

/** The [progress] of the release of the software version [target] of [service]. */
public data class ReleaseStatus(val service: PoolName, val target: String, val progress: ReleaseProgress)

/** The change that an operator's record makes. */
public sealed interface OperatorChange {
    /** Replaces the complete configuration. */
    public data class Configuration(val configuration: ForwardingConfiguration) : OperatorChange

    /** Sets the desired [version] of the weights of [model]. */
    public data class Weights(val model: ModelName, val version: Long) : OperatorChange

    /** Orders the release of the software version [target] of [service], which must end within [duration]. */
    public data class Release(val service: PoolName, val target: String, val duration: Duration) : OperatorChange

    /** Does not concern the instance. */
    public data object Other : OperatorChange
}

/** The [reason] why the record with [key] can't be used. */
public data class RecordFailure(val key: String, val reason: String)

/** Decodes the records that operators and targets write to the log. */
public interface RecordDecoder {
    /** Decodes an operator's record. */
    public fun operation(key: String, value: ByteArray): Result<OperatorChange, RecordFailure>

    /** The prefix that precedes a target's id in the key of its record. */
    public val targetKeyPrefix: String

    /** Decodes a target's record. */
    public fun target(key: String, value: ByteArray): Result<TargetEntry, RecordFailure>
}

/** Calls to targets and cache stores that are not requests of callers. Callbacks run on the event loop. */
public interface TargetControl {
    /** Long-polls the cache store at [address] for new events; passes to [done] whether it responded. */
    public fun awaitCacheStore(address: String, done: (Boolean) -> Unit)

    /** Requests the report of [target]; passes null to [done] if there is none. */
    public fun report(target: TargetEntry, done: (TargetReport?) -> Unit)

    /**
     * Sends [order], which [holder] gives, to [target]. It has no effect if the target has accepted other orders since its report. It is
     * not sent or delivered after its deadlines.
     */
    public fun order(target: TargetEntry, order: RolloutAction.Order, holder: InstanceId, done: (OrderAnswer) -> Unit)
}
