/*
 * Records of the platform's log. Each part of the core declares its records in its own file of this
 * package; a part with several records has a sealed subinterface of [LogRecord].
 */
package org.cactuspulley.core.record

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.RecordId

/** The content of one record. */
@Serializable
public sealed interface LogRecord

/** A record in the log, with its offset and its id. */
public data class StoredRecord(val offset: LogOffset, val id: RecordId, val record: LogRecord)

/** Stands for a record whose bytes this version cannot decode. It is skipped and counted. */
@Serializable
public data object UnreadableRecord : LogRecord

/** The reason why bytes cannot be decoded as a record. */
public data class RecordUnreadable(val reason: String)

/** Encodes records as CBOR and decodes them. */
@OptIn(ExperimentalSerializationApi::class)
public object LogRecordCodec {
    private val format = Cbor { ignoreUnknownKeys = true }

    /** Returns the CBOR encoding of [record]. */
    public fun encode(record: LogRecord): ByteArray = format.encodeToByteArray(LogRecord.serializer(), record)

    /** Returns the record that [bytes] encode, or why they cannot be decoded. */
    public fun decode(bytes: ByteArray): Result<LogRecord, RecordUnreadable> = try {
        Ok(format.decodeFromByteArray(LogRecord.serializer(), bytes))
    } catch (failure: SerializationException) {
        Err(RecordUnreadable(failure.message.orEmpty()))
    } catch (failure: IllegalArgumentException) {
        Err(RecordUnreadable(failure.message.orEmpty()))
    } catch (failure: IndexOutOfBoundsException) {
        // The decoder raises it for an array that is shorter or longer than the type it stands for.
        Err(RecordUnreadable(failure.toString()))
    }
}
