package org.cactuspulley.standins.deployment

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.ConfigurationConflict
import org.cactuspulley.core.configuration.RecordOutcome
import org.cactuspulley.core.configuration.applyRecord
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.platform.LogPage
import org.cactuspulley.core.platform.LogPageRecord
import org.cactuspulley.core.record.LogRecordCodec
import org.cactuspulley.core.record.OperatorRecord
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.record.UnreadableRecord
import org.cactuspulley.standins.server.standinJson
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.Base64
import java.util.UUID

/** Why a configuration change was not confirmed. */
public sealed interface OperatorFailure {
    /** A request to the log failed, or its response could not be parsed. The log may still have stored the change. */
    public data class LogUnreachable(val reason: String) : OperatorFailure

    /** The change was rejected because it conflicts with the configuration at its offset. */
    public data class Conflict(val conflict: ConfigurationConflict) : OperatorFailure

    /** The log dropped records before this client read them. */
    public data object RecordsLost : OperatorFailure
}

/**
 * Changes the configuration as an operator, by appending records to the log. A change counts as
 * accepted only when its record has been read back and applied. All functions block.
 */
public class OperatorLogClient(private val address: String) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build()

    /** The configuration built from the records that this client has read so far. */
    public var configuration: Configuration = Configuration()
        private set

    /**
     * Reads to the end of the log, appends the record that [change] returns for the current
     * configuration, and reads on until that record is accepted or rejected.
     */
    @Synchronized
    public fun change(change: (Configuration) -> OperatorRecord): Result<LogOffset, OperatorFailure> = try {
        readUntil(null)
        val id = RecordId(UUID.randomUUID().toString())
        append(id, change(configuration))
        readUntil(id)
    } catch (failure: IOException) {
        Err(OperatorFailure.LogUnreachable(failure.toString()))
    } catch (failure: SerializationException) {
        Err(OperatorFailure.LogUnreachable(failure.toString()))
    }

    private fun append(id: RecordId, record: OperatorRecord) {
        val request = HttpRequest.newBuilder(URI("http://$address/streams/${StreamName.OPERATORS.text}/records"))
            .timeout(TIMEOUT)
            .header("X-Record-Id", id.text)
            .POST(BodyPublishers.ofByteArray(LogRecordCodec.encode(record)))
            .build()
        try {
            send(request)
        } catch (_: UnknownAppendOutcomeException) {
            return
        }
    }

    private fun readUntil(awaitedId: RecordId?): Result<LogOffset, OperatorFailure> {
        while (true) {
            val page = fetchPage(configuration.next)
            if (page.firstKept > configuration.next.number) return Err(OperatorFailure.RecordsLost)
            for (record in page.records) {
                val stored = decode(record)
                val step = configuration.applyRecord(stored)
                configuration = step.configuration
                if (stored.id == awaitedId) return resultOf(stored.offset, step.outcome)
            }
            if (awaitedId == null && configuration.next.number >= page.tail) return Ok(configuration.next)
            if (awaitedId != null && page.records.isEmpty()) throw IOException("the appended record does not appear in the log")
        }
    }

    private fun resultOf(offset: LogOffset, outcome: RecordOutcome): Result<LogOffset, OperatorFailure> = when (outcome) {
        is RecordOutcome.Rejected -> Err(OperatorFailure.Conflict(outcome.conflict))
        RecordOutcome.Accepted, RecordOutcome.Ignored -> Ok(offset)
    }

    private fun fetchPage(from: LogOffset): LogPage {
        val uri = URI("http://$address/streams/${StreamName.OPERATORS.text}/records?from=${from.number}&limit=$PAGE_RECORDS")
        val response = send(HttpRequest.newBuilder(uri).timeout(TIMEOUT).build())
        return standinJson.decodeFromString(LogPage.serializer(), response.body())
    }

    private fun send(request: HttpRequest): HttpResponse<String> {
        val response = try {
            client.send(request, BodyHandlers.ofString())
        } catch (failure: IOException) {
            throw if (request.method() == "POST") UnknownAppendOutcomeException(failure) else failure
        }
        if (response.statusCode() >= FIRST_ERROR_STATUS) throw IOException("the log answered with status ${response.statusCode()}")
        return response
    }

    private fun decode(record: LogPageRecord): StoredRecord {
        val content = LogRecordCodec.decode(Base64.getDecoder().decode(record.data)).getOrElse { UnreadableRecord }
        return StoredRecord(LogOffset(record.offset), RecordId(record.id), content)
    }

    /** An append got no response, so only reading the log shows whether the record was stored. */
    private class UnknownAppendOutcomeException(cause: IOException) : IOException(cause)

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(2)
        const val PAGE_RECORDS = 1000
        const val FIRST_ERROR_STATUS = 400
    }
}
