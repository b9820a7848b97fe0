package org.cactuspulley.standins.log

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.platform.AppendAnswer
import org.cactuspulley.core.platform.LogPage
import org.cactuspulley.core.platform.LogPageRecord
import org.cactuspulley.standins.server.FaultControl
import org.cactuspulley.standins.server.HttpExchange
import org.cactuspulley.standins.server.HttpServer
import org.cactuspulley.standins.server.StandinThreads
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The faults of the log.
 *
 * @property down whether the connection of every call is closed without a response; such calls have no effect.
 * @property delayMillis the delay of every response in milliseconds.
 * @property loseAppendAnswers the number of next appends that are stored and whose connection is closed without a response.
 * @property overloaded whether every append is rejected with status 429.
 */
@Serializable
public data class LogFaults(
    val down: Boolean = false,
    @SerialName("delay_ms") val delayMillis: Long = 0,
    @SerialName("lose_append_answers") val loseAppendAnswers: Int = 0,
    val overloaded: Boolean = false,
)

/**
 * The behaviour of the log without faults.
 *
 * @property keptRecords the maximum number of records that a stream retains.
 * @property keptMillis the time in milliseconds for which a record is retained.
 * @property appendsPerSecond the number of appends that are accepted per second, over all streams.
 */
public data class LogSettings(
    val keptRecords: Int = Int.MAX_VALUE,
    val keptMillis: Long = Long.MAX_VALUE,
    val appendsPerSecond: Int = 500,
)

/** A stand-in for the platform's append-only log service. */
public class LogStandin(host: String = "127.0.0.1", port: Int = 0, private val settings: LogSettings = LogSettings()) : AutoCloseable {
    private val streams = HashMap<String, LogStream>()
    private val control = FaultControl(LogFaults(), LogFaults.serializer()) { if (it.down) closeWaitingReads() }
    private var rateWindowSecond = 0L
    private var appendsInWindow = 0
    private val server = HttpServer(host, port, ::handle)

    /** The address of this stand-in as `host:port`. */
    public val address: String get() = server.address

    /** The injected faults; a new value applies at once. */
    public var faults: LogFaults by control::faults

    /** Returns the number of records ever appended to [stream], which is the offset of its next record. */
    public fun tail(stream: String): Long = synchronized(this) { streams[stream]?.tail ?: 0 }

    /** Returns the records that [stream] retains. */
    public fun records(
        stream: String,
    ): List<LogPageRecord> = synchronized(this) { streams[stream]?.page(0, Int.MAX_VALUE)?.records.orEmpty() }

    /** The number of records ever appended to all streams. */
    public val appendCount: Long get() = synchronized(this) { streams.values.sumOf { it.tail } }

    override fun close(): Unit = server.close()

    private fun handle(exchange: HttpExchange) {
        if (control.handle(exchange)) return
        val currentFaults = faults
        if (currentFaults.down) return exchange.disconnect()
        val stream = STREAM_PATH.matchEntire(exchange.path)?.groupValues?.get(1)
        when {
            stream == null -> exchange.respondError(404, "not_found")
            exchange.method == "POST" -> append(stream, exchange, currentFaults)
            exchange.method == "GET" -> read(stream, exchange)
            else -> exchange.respondError(405, "method_not_allowed")
        }
    }

    private fun append(stream: String, exchange: HttpExchange, currentFaults: LogFaults) {
        val id = exchange.header("X-Record-Id") ?: return exchange.respondError(400, "record_id_missing")
        if (currentFaults.overloaded || !tryAcquireAppend()) {
            return exchange.respondError(429, "overloaded", headers = mapOf("Retry-After" to "1"))
        }
        val offset = synchronized(this) { getOrCreateStream(stream).append(id, exchange.body) }
        if (consumeLostResponse()) return exchange.disconnect()
        runDelayed(currentFaults.delayMillis.milliseconds) { exchange.respondJson(201, AppendAnswer.serializer(), AppendAnswer(offset)) }
    }

    private fun tryAcquireAppend(): Boolean = synchronized(this) {
        val second = System.nanoTime() / NANOSECONDS_PER_SECOND
        if (second != rateWindowSecond) {
            rateWindowSecond = second
            appendsInWindow = 0
        }
        appendsInWindow++ < settings.appendsPerSecond
    }

    private fun consumeLostResponse(): Boolean = synchronized(this) {
        val remaining = faults.loseAppendAnswers
        if (remaining > 0) faults = faults.copy(loseAppendAnswers = remaining - 1)
        remaining > 0
    }

    private fun read(stream: String, exchange: HttpExchange) {
        val from = exchange.parameter("from")?.toLongOrNull() ?: 0
        val limit = exchange.parameter("limit")?.toIntOrNull() ?: DEFAULT_PAGE_RECORDS
        val wait = (exchange.parameter("wait_ms")?.toLongOrNull() ?: 0).milliseconds
        val respond = { page: LogPage ->
            runDelayed(faults.delayMillis.milliseconds) { exchange.respondJson(200, LogPage.serializer(), page) }
        }
        val page = synchronized(this) {
            val found = getOrCreateStream(stream).page(from, limit)
            if (found.records.isEmpty() && wait > Duration.ZERO) {
                getOrCreateStream(stream).addWaitingRead(WaitingRead(from, limit, exchange, respond))
                null
            } else {
                found
            }
        }
        if (page != null) respond(page) else StandinThreads.schedule(wait) { completeWaitingRead(stream, exchange) }
    }

    private fun completeWaitingRead(stream: String, exchange: HttpExchange) {
        synchronized(this) { getOrCreateStream(stream).completeWaitingRead(exchange) }
    }

    private fun closeWaitingReads() {
        synchronized(this) { streams.values.forEach(LogStream::closeWaitingReads) }
    }

    private fun getOrCreateStream(name: String): LogStream = streams.getOrPut(name) { LogStream(settings) }

    private fun runDelayed(delay: Duration, action: () -> Unit) {
        if (delay > Duration.ZERO) StandinThreads.schedule(delay, action) else action()
    }

    private companion object {
        val STREAM_PATH = Regex("/streams/([^/]+)/records")
        const val DEFAULT_PAGE_RECORDS = 1000
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}

/** A long poll that waits for the record at offset [from]. */
private class WaitingRead(val from: Long, val limit: Int, val exchange: HttpExchange, val respond: (LogPage) -> Unit)

/** The retained records of one stream and the reads that wait for later ones. Guarded by the lock of the [LogStandin]. */
private class LogStream(private val settings: LogSettings) {
    private val records = ArrayDeque<LogPageRecord>()
    private val waitingReads = ArrayList<WaitingRead>()

    var tail = 0L
        private set

    fun append(id: String, bytes: ByteArray): Long {
        val offset = tail++
        records.addLast(LogPageRecord(offset, id, System.currentTimeMillis(), Base64.getEncoder().encodeToString(bytes)))
        val ready = waitingReads.filter { it.from <= offset }
        waitingReads.removeAll(ready)
        ready.forEach { it.respond(page(it.from, it.limit)) }
        return offset
    }

    fun page(from: Long, limit: Int): LogPage {
        discardOldRecords()
        val firstRetained = tail - records.size
        val start = (maxOf(from, firstRetained) - firstRetained).coerceAtMost(records.size.toLong()).toInt()
        val end = minOf(records.size.toLong(), start.toLong() + limit).toInt()
        return LogPage(records.subList(start, end).toList(), firstRetained, tail)
    }

    fun addWaitingRead(read: WaitingRead) {
        waitingReads.add(read)
    }

    fun completeWaitingRead(exchange: HttpExchange) {
        val read = waitingReads.find { it.exchange === exchange } ?: return
        waitingReads.remove(read)
        read.respond(page(read.from, read.limit))
    }

    fun closeWaitingReads() {
        waitingReads.forEach { it.exchange.disconnect() }
        waitingReads.clear()
    }

    private fun discardOldRecords() {
        val oldest = if (settings.keptMillis == Long.MAX_VALUE) Long.MIN_VALUE else System.currentTimeMillis() - settings.keptMillis
        while (records.isNotEmpty() && (records.size > settings.keptRecords || records.first().timeMillis < oldest)) {
            records.removeFirst()
        }
    }
}
