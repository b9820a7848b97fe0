/*
 * Typed identifiers. Each wraps the text or number that is used on the wire, so that the compiler
 * rejects, for example, a workspace where a target is expected.
 */
package org.cactuspulley.core.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies one instance for as long as its address stays the same. */
@Serializable
@JvmInline
public value class InstanceId(public val text: String) {
    override fun toString(): String = text
}

/** Identifies one start of an instance at its address; a later start has a higher number. */
@Serializable
@JvmInline
public value class InstanceIncarnation(public val number: Long) : Comparable<InstanceIncarnation> {
    override fun compareTo(other: InstanceIncarnation): Int = number.compareTo(other.number)
}

/** The name of a zone. */
@Serializable
@JvmInline
public value class ZoneName(public val text: String) {
    override fun toString(): String = text
}

/** Identifies a workspace, which owns keys. */
@Serializable
@JvmInline
public value class WorkspaceId(public val text: String) {
    override fun toString(): String = text
}

/** The name of a profile, which defines rate, burst and handling of requests. */
@Serializable
@JvmInline
public value class ProfileName(public val text: String) {
    override fun toString(): String = text
}

/** The name of a route, which maps a request path to a pool of targets. */
@Serializable
@JvmInline
public value class RouteName(public val text: String) {
    override fun toString(): String = text
}

/** The name of a pool of targets that serve the same requests. */
@Serializable
@JvmInline
public value class PoolName(public val text: String) {
    override fun toString(): String = text
}

/** Identifies a target: an engine, a cache store or a plain service. */
@Serializable
@JvmInline
public value class TargetId(public val text: String) {
    override fun toString(): String = text
}

/** Identifies one start of a target. The target reports it, and every restart changes it. */
@Serializable
@JvmInline
public value class TargetIncarnation(public val number: Long)

/** The name of a language model. */
@Serializable
@JvmInline
public value class ModelName(public val text: String) {
    override fun toString(): String = text
}

/** The name of an adapter that is loaded on top of a model. */
@Serializable
@JvmInline
public value class AdapterName(public val text: String) {
    override fun toString(): String = text
}

/** The name of one version of a model's weights. */
@Serializable
@JvmInline
public value class WeightsVersion(public val text: String) {
    override fun toString(): String = text
}

/** Identifies one request of a caller; unique across all instances. */
@Serializable
@JvmInline
public value class RequestId(public val text: String) {
    override fun toString(): String = text
}

/** Identifies one attempt of a request at one target, which gets it as the request id. */
@Serializable
@JvmInline
public value class AttemptId(public val text: String) {
    override fun toString(): String = text
}

/** The idempotency key that a caller assigns to a request; it is the same on every resend of that request. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val text: String) {
    override fun toString(): String = text
}

/** The SHA-256 digest of a caller's key in lower-case hexadecimal. [toString] shows only its first characters. */
@Serializable
@JvmInline
public value class KeyDigest(public val hexadecimal: String) {
    override fun toString(): String = hexadecimal.take(VISIBLE_CHARACTERS)

    private companion object {
        const val VISIBLE_CHARACTERS = 8
    }
}

/** The offset of a record in a stream of the platform's log; the first record has offset 0. */
@Serializable
@JvmInline
public value class LogOffset(public val number: Long) : Comparable<LogOffset> {
    override fun compareTo(other: LogOffset): Int = number.compareTo(other.number)

    /** The offset that follows this one. */
    public fun next(): LogOffset = LogOffset(number + 1)

    public companion object {
        /** The offset of the first record of every stream. */
        public val FIRST: LogOffset = LogOffset(0)
    }
}

/** The name of a stream of the platform's log. */
@Serializable
@JvmInline
public value class StreamName(public val text: String) {
    override fun toString(): String = text

    public companion object {
        /** The stream of operator records. */
        public val OPERATORS: StreamName = StreamName("operators")

        /** The stream of claims and renewals of rate-limit slots. */
        public val SLOTS: StreamName = StreamName("slots")

        /** The stream of orders to targets. The offset of an order is its fencing number. */
        public val ORDERS: StreamName = StreamName("orders")

        /** The stream of quarantined request fingerprints. */
        public val QUARANTINE: StreamName = StreamName("quarantine")

        /** The stream of the intents and outcomes of non-repeatable requests in one [partition]. */
        public fun intents(partition: Int): StreamName = StreamName("intents-$partition")
    }
}

/** Uniquely identifies an appended record, so that its writer finds it in the log when the answer to the append was lost. */
@Serializable
@JvmInline
public value class RecordId(public val text: String) {
    override fun toString(): String = text
}

/** The index of a slot in the fleet's rate-limit slot table. */
@Serializable
@JvmInline
public value class SlotIndex(public val number: Int)
