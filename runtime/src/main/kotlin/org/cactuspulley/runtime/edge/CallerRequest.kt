package org.cactuspulley.runtime.edge

import com.dynatrace.hash4j.hashing.Hashing
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.QueryStringDecoder
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.requests.RefusalKind
import org.cactuspulley.core.requests.RequestDescription
import org.cactuspulley.runtime.http.CollectedRequest
import kotlin.time.Duration.Companion.milliseconds

/**
 * A parsed request of a caller, which is kept until the response ends.
 *
 * @property description the part of the request that the control thread needs for its decisions.
 * @property uri the request URI without query parameters that contain credentials.
 * @property headers all headers of the request, before filtering.
 * @property key the caller's API key, or null if the request has none.
 * @property correlationId the caller's `X-Request-Id`, or the request id if it sent no valid one. It is returned only to the caller.
 */
internal class CallerRequest(
    val description: RequestDescription,
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val key: CallerKey?,
    val correlationId: String,
)

/** Parses and validates the requests of callers. */
internal class CallerRequestParser(
    private val settings: CallerServerSettings,
    private val wallClockMillis: () -> Long,
) {
    /** Parses [collected], which arrived at [now] and gets [id], or returns the reason to refuse it. */
    fun parse(collected: CollectedRequest, id: RequestId, now: MonotonicTime): Result<CallerRequest, RefusalKind> {
        val request = collected.head
        val body = collected.body
        val key = CallerKey.fromHeaders(request.headers())
        val path = QueryStringDecoder(request.uri()).path()
        val idempotencyKey = request.headers().get(TargetHeaders.IDEMPOTENCY_KEY)
        val deadlineMillis = deadlineMillis(request.headers()) ?: return Err(RefusalKind.MALFORMED_REQUEST)
        if (key != null && (key.occursIn(path) || key.occursIn(body))) return Err(RefusalKind.KEY_IN_REQUEST)
        idempotencyKey?.let(::validateIdempotencyKey)?.let { return Err(it) }
        val base = RequestDescription(
            id = id,
            key = key?.digest,
            profile = request.headers().get(CallerHeaders.PROFILE)?.let(::ProfileName),
            method = request.method().name(),
            path = path,
            model = null,
            adapter = null,
            prompt = emptyList(),
            maximumOutputTokens = 0,
            streaming = false,
            idempotencyKey = idempotencyKey?.let(::IdempotencyKey),
            fingerprint = fingerprint(request, body),
            deadline = now + deadlineMillis.milliseconds,
        )
        val description = if (path in MODEL_PATHS) parseModelRequest(base, body) else base
        if (description == null) return Err(RefusalKind.MALFORMED_REQUEST)
        val uri = removeCredentialParameters(request.uri(), key)
        return Ok(CallerRequest(description, request.method(), uri, request.headers(), body, key, correlationId(request, id)))
    }

    private fun deadlineMillis(headers: HttpHeaders): Long? {
        val requested = headers.get(CallerHeaders.DEADLINE_MILLIS) ?: return settings.defaultDeadline.inWholeMilliseconds
        return requested.toLongOrNull()?.takeIf { it > 0 }?.coerceAtMost(settings.maximumDeadline.inWholeMilliseconds)
    }

    private fun validateIdempotencyKey(key: String): RefusalKind? = when {
        !isValidId(key) -> RefusalKind.MALFORMED_REQUEST
        isExpired(key) -> RefusalKind.IDEMPOTENCY_KEY_EXPIRED
        else -> null
    }

    private fun isValidId(id: String): Boolean = id.length in 1..MAXIMUM_ID_CHARACTERS && id.all { it in PRINTABLE_ASCII }

    private fun isExpired(key: String): Boolean {
        val createdAtMillis = idempotencyKeyTimestampMillis(key) ?: return false
        return wallClockMillis() - createdAtMillis > settings.idempotencyKeyRetention.inWholeMilliseconds
    }

    private fun fingerprint(request: HttpRequest, body: ByteArray): Long = Hashing.xxh3_64().hashStream()
        .putString(request.method().name())
        .putString(request.uri())
        .putByteArray(body)
        .asLong

    private fun correlationId(request: HttpRequest, id: RequestId): String =
        request.headers().get(TargetHeaders.REQUEST_ID)?.takeIf(::isValidId) ?: id.text

    private fun parseModelRequest(base: RequestDescription, body: ByteArray): RequestDescription? {
        val request = ModelRequestReader(isChat = base.path == CHAT_PATH).read(body) ?: return null
        return base.copy(
            model = ModelName(request.model),
            adapter = request.adapter?.let(::AdapterName),
            prompt = request.prompt,
            maximumOutputTokens = request.maximumOutputTokens ?: settings.defaultOutputTokens,
            streaming = request.streaming,
        )
    }

    companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val COMPLETIONS_PATH = "/v1/completions"
        val MODEL_PATHS = setOf(CHAT_PATH, COMPLETIONS_PATH)
        private const val MAXIMUM_ID_CHARACTERS = 128
        private val PRINTABLE_ASCII = '!'..'~'
    }
}
