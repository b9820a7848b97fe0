package org.cactuspulley.standins.load

import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.standins.server.standinJson
import org.cactuspulley.standins.service.ServiceResponse
import org.cactuspulley.standins.trace.TraceArrival
import org.cactuspulley.standins.trace.TraceCompletion
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodySubscribers
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** One send and, if its answer was a stream that was read to the end, the result of reading it. */
private class SendResult(val send: ObservedSend, val stream: StreamResult? = null)

/**
 * Sends one request until it gets the whole answer, gets a final refusal, or reaches [timeout] or
 * [MAX_SENDS]. Every completion is repeatable and every call carries an idempotency key, so a send
 * without a whole answer can be repeated safely. A refusal is final unless [mayRetry] allows another send.
 */
internal class Caller(
    private val arrival: TraceArrival,
    private val prepared: PreparedRequest,
    private val key: String,
    private val zone: ZoneName,
    private val client: HttpClient,
    private val entryAddresses: EntryAddressCache,
    private val timeout: Duration,
) {
    private val start = System.nanoTime()
    private val sends = ArrayList<ObservedSend>()
    private val failedAddresses = HashSet<String>()
    private val remainingTime: Duration get() = timeout - (System.nanoTime() - start).nanoseconds

    /** Runs the request and returns what the caller observed. */
    suspend fun run(): ObservedRequest {
        while (sends.size < MAX_SENDS && remainingTime > Duration.ZERO) {
            val address = entryAddresses.addresses(arrival.workspace, key, zone, failedAddresses).firstOrNull()
            if (address == null) {
                delay(RETRY_DELAY)
                continue
            }
            val result = send(address)
            sends.add(result.send)
            if (result.send.outcome == SendOutcome.WHOLE) return observedRequest(RequestOutcome.COMPLETED, result.stream)
            if (result.send.outcome == SendOutcome.REFUSED && !mayRetry(result.send)) return observedRequest(RequestOutcome.REFUSED, null)
            failedAddresses.add(address)
            delay(RETRY_DELAY * sends.size)
        }
        val refused = sends.isNotEmpty() && sends.all { it.outcome == SendOutcome.REFUSED && it.notRun == true }
        return observedRequest(if (refused) RequestOutcome.REFUSED else RequestOutcome.FAILED, null)
    }

    private fun mayRetry(send: ObservedSend) = send.status == 502 || send.status == 503 || send.errorType == "request_timeout"

    private suspend fun send(address: String): SendResult {
        val sendStart = System.nanoTime()
        val reader = (prepared as? PreparedRequest.Completion)?.let { AnswerReader(it.answer) }
        var connectionFailed = false
        val response = try {
            withTimeoutOrNull(remainingTime) { client.sendAsync(request(address), bodyHandler(reader)).await() }
        } catch (_: IOException) {
            connectionFailed = true
            null
        }
        val base = ObservedSend(address, sendStart, System.nanoTime(), SendOutcome.TIMED_OUT, response?.statusCode())
        return when {
            response == null && connectionFailed -> SendResult(base.copy(outcome = outcomeOfFailedConnection(reader)))
            response == null -> SendResult(base)
            response.statusCode() != 200 -> SendResult(refusedSend(base, response.body()))
            reader != null -> reader.result().let { SendResult(base.copy(outcome = it.outcome), it) }
            else -> SendResult(base.copy(outcome = outcomeOfCall(response.body())))
        }
    }

    private fun outcomeOfFailedConnection(reader: AnswerReader?): SendOutcome {
        val result = reader?.result()
        return when {
            result?.outcome == SendOutcome.FOREIGN -> SendOutcome.FOREIGN
            result?.firstTokenNanoseconds != null -> SendOutcome.BROKEN
            else -> SendOutcome.NO_ANSWER
        }
    }

    private fun refusedSend(base: ObservedSend, body: String): ObservedSend {
        val error = AnswerReader.parseError(body)?.error
        return base.copy(outcome = SendOutcome.REFUSED, errorType = error?.type, notRun = error?.notRun)
    }

    private fun outcomeOfCall(body: String): SendOutcome = try {
        val answer = standinJson.decodeFromString(ServiceResponse.serializer(), body)
        if (answer.digest == prepared.contentDigest) SendOutcome.WHOLE else SendOutcome.FOREIGN
    } catch (_: SerializationException) {
        SendOutcome.BROKEN
    }

    private fun request(address: String): HttpRequest {
        val builder = HttpRequest.newBuilder(URI("http://$address${prepared.path}"))
            .header("Authorization", "Bearer $key")
            .header("Content-Type", "application/json")
            .header("X-Profile", arrival.profile.text)
            .header("X-Deadline-Ms", remainingTime.inWholeMilliseconds.coerceAtLeast(1).toString())
            .header(TargetHeaders.REQUEST_ID, "${arrival.id}.${sends.size}")
            .POST(BodyPublishers.ofByteArray(prepared.body))
        prepared.idempotencyKey?.let { builder.header(TargetHeaders.IDEMPOTENCY_KEY, it) }
        return builder.build()
    }

    private fun bodyHandler(reader: AnswerReader?) = HttpResponse.BodyHandler<String> { info ->
        if (reader != null && info.statusCode() == 200) {
            BodySubscribers.fromLineSubscriber(reader, { "" }, Charsets.UTF_8, null)
        } else {
            BodySubscribers.ofString(Charsets.UTF_8)
        }
    }

    private fun observedRequest(outcome: RequestOutcome, stream: StreamResult?) = ObservedRequest(
        id = arrival.id,
        workspace = arrival.workspace,
        profile = arrival.profile,
        key = key,
        contentDigest = prepared.contentDigest,
        repeatable = arrival is TraceCompletion,
        idempotencyKey = prepared.idempotencyKey,
        mayWait = (arrival as? TraceCompletion)?.mayWait == true,
        chargedTokens = prepared.chargedTokens,
        usedTokens = if (outcome != RequestOutcome.COMPLETED) 0 else stream?.let { it.promptTokens.toLong() + it.outputTokens } ?: 1,
        promptTokens = prepared.promptTokens,
        cachedTokens = stream?.cachedTokens ?: 0,
        startNanoseconds = start,
        firstTokenNanoseconds = stream?.firstTokenNanoseconds,
        endNanoseconds = System.nanoTime(),
        outcome = outcome,
        sends = sends.toList(),
    )

    private companion object {
        const val MAX_SENDS = 5
        val RETRY_DELAY = 150.milliseconds
    }
}
