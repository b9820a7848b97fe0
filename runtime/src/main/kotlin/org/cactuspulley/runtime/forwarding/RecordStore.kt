/*
 * The platform's log as the forwarding instance needs it.
 */
package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Result
import org.cactuspulley.core.forwarding.ForwardingConfiguration
import org.cactuspulley.core.forwarding.NamedWeights
import org.cactuspulley.core.forwarding.OrderAnswer
import org.cactuspulley.core.forwarding.RunsDuringLoad
import org.cactuspulley.core.forwarding.TargetEntry
import org.cactuspulley.core.forwarding.TargetReport
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.ModelName
import kotlin.time.Duration

/** The keyed topics that instances use. */
public enum class StoreTopic {
    /** What operators decide; written by them only. */
    OPERATIONS,

    /** What targets say of themselves; written by them only. */
    REGISTRY,

    /** Instances' own announcements. */
    INSTANCES,

    /** Claims to give orders. */
    CLAIMS,
}

/** One record; a null [value] says that the key is dropped. */
public class KeyedRecord(public val key: String, public val offset: Long, public val value: ByteArray?)

/**
 * Records of a topic.
 *
 * @property next the offset that follows the last record of the topic that the batch covers.
 */
public class RecordBatch(public val records: List<KeyedRecord>, public val next: Long)

/** Why a call of the store gave nothing. */
public sealed interface StoreFailure {
    /** It did not answer; a write may have taken effect or take effect later. */
    public data class Unanswered(val reason: String) : StoreFailure

    /** It refused; nothing was done. */
    public data class Refused(val status: Int) : StoreFailure

    /** The records that were asked for are deleted. */
    public data object Compacted : StoreFailure

    /** The topic does not end where the writer expected. */
    public data object Moved : StoreFailure

    /** The answer can't be read. */
    public data class Unreadable(val reason: String) : StoreFailure
}

/** The platform's log. Callbacks come on the event loop. */
public interface RecordStore {
    /** Reads records of [topic] from [from] on; waits up to [wait] for one. */
    public fun read(topic: StoreTopic, from: Long, wait: Duration, done: (Result<RecordBatch, StoreFailure>) -> Unit)

    /** Reads the newest record of each key. */
    public fun newest(topic: StoreTopic, done: (Result<RecordBatch, StoreFailure>) -> Unit)

    /** Appends [value] under [key]; with [expectedEnd] only if the topic ends there. Gives the record's offset. */
    public fun append(topic: StoreTopic, key: String, value: ByteArray, expectedEnd: Long?, done: (Result<Long, StoreFailure>) -> Unit)
}

/** What an operator's record says. */
public sealed interface OperatorChange {
    /** The whole configuration. */
    public data class Configuration(val configuration: ForwardingConfiguration) : OperatorChange

    /** New weights are named. */
    public data class Weights(val model: ModelName, val version: Long) : OperatorChange

    /** Something that does not concern the instance. */
    public data object Other : OperatorChange
}

/** Why a record can't be used. */
public data class RecordFailure(val key: String, val reason: String)

/** Reads what others write into the log. */
public interface RecordDecoder {
    /** What an operator's record says. */
    public fun operation(key: String, value: ByteArray): Result<OperatorChange, RecordFailure>

    /** What precedes a target's name in the key of its record. */
    public val targetKeyPrefix: String

    /** What a target says of itself. */
    public fun target(key: String, value: ByteArray): Result<TargetEntry, RecordFailure>
}

/** Calls of a target that are no requests of callers. */
public interface TargetControl {
    /** Waits a while for news of the store of cached pieces at [address]; whether it answered. */
    public fun awaitCacheStore(address: String, done: (Boolean) -> Unit)

    /** Asks [target] for its report; null if there is none. */
    public fun report(target: TargetEntry, done: (TargetReport?) -> Unit)

    /** Orders [target] to take [weights], if it has accepted [ordersAccepted] orders so far. */
    public fun order(
        target: TargetEntry,
        weights: NamedWeights,
        holder: InstanceId,
        fence: Long,
        ordersAccepted: Long,
        runs: RunsDuringLoad,
        done: (OrderAnswer) -> Unit,
    )
}
