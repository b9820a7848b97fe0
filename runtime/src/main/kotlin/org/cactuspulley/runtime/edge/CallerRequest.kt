package org.cactuspulley.runtime.edge

import com.dynatrace.hash4j.hashing.Hashing
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.requests.RefusalKind
import org.cactuspulley.core.requests.RequestDescription
import org.cactuspulley.core.routing.splitPrompt
import kotlin.time.Duration.Companion.milliseconds

/**
 * A caller's request as the edge keeps it while it is served.
 *
 * @property correlationId the caller's own id, which is echoed to it and to nobody else.
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

/** Makes requests of what callers send, or says what is wrong with it. */
internal class CallerRequestReader(
    private val settings: CallerServerSettings,
    private val wallClockMillis: () -> Long,
) {
    /** Reads [request], which arrived at [now] and gets [id]. */
    fun read(request: FullHttpRequest, id: RequestId, now: MonotonicTime): Result<CallerRequest, RefusalKind> {
        val key = CallerKey.of(request.headers())
        val body = ByteBufUtil.getBytes(request.content())
        val path = QueryStringDecoder(request.uri()).path()
        val idempotencyKey = request.headers().get(TargetHeaders.IDEMPOTENCY_KEY)
        val patience = patience(request.headers()) ?: return Err(RefusalKind.MALFORMED_REQUEST)
        if (key != null && (key.isIn(path) || key.isIn(body))) return Err(RefusalKind.KEY_IN_REQUEST)
        idempotencyKey?.let(::idempotencyKeyFailure)?.let { return Err(it) }
        val plain = RequestDescription(
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
            deadline = now + patience.milliseconds,
        )
        val description = if (path in MODEL_PATHS) modelRequest(plain, body) else plain
        if (description == null) return Err(RefusalKind.MALFORMED_REQUEST)
        val uri = withoutKeyParameters(request.uri(), key)
        return Ok(CallerRequest(description, request.method(), uri, request.headers().copy(), body, key, correlationId(request, id)))
    }

    private fun patience(headers: HttpHeaders): Long? {
        val named = headers.get(CallerHeaders.DEADLINE_MILLIS) ?: return settings.defaultPatience.inWholeMilliseconds
        return named.toLongOrNull()?.takeIf { it > 0 }?.coerceAtMost(settings.maximumPatience.inWholeMilliseconds)
    }

    private fun idempotencyKeyFailure(key: String): RefusalKind? = when {
        !isUsable(key) -> RefusalKind.MALFORMED_REQUEST
        isExpired(key) -> RefusalKind.IDEMPOTENCY_KEY_EXPIRED
        else -> null
    }

    private fun isUsable(key: String): Boolean = key.length in 1..MAXIMUM_ID_CHARACTERS && key.all { it in VISIBLE }

    private fun isExpired(key: String): Boolean {
        val madeAt = idempotencyKeyMillis(key) ?: return false
        return wallClockMillis() - madeAt > settings.keyMemory.inWholeMilliseconds
    }

    private fun fingerprint(request: FullHttpRequest, body: ByteArray): Long = Hashing.xxh3_64().hashStream()
        .putString(request.method().name())
        .putString(request.uri())
        .putByteArray(body)
        .asLong

    private fun correlationId(request: FullHttpRequest, id: RequestId): String =
        request.headers().get(TargetHeaders.REQUEST_ID)?.takeIf(::isUsable) ?: id.text

    private fun modelRequest(plain: RequestDescription, body: ByteArray): RequestDescription? {
        val json = parse(body) ?: return null
        val model = json.text("model") ?: return null
        val prompt = if (plain.path == CHAT_PATH) chatPrompt(json) else json.text("prompt")
        if (prompt == null) return null
        val maximum = json["max_completion_tokens"] ?: json["max_tokens"]
        val maximumOutput = if (maximum == null) settings.defaultOutputTokens else (maximum as? JsonPrimitive)?.intOrNull
        if (maximumOutput == null || maximumOutput < 1) return null
        return plain.copy(
            model = ModelName(model),
            adapter = json.text("adapter")?.let(::AdapterName),
            prompt = splitPrompt(prompt),
            maximumOutputTokens = maximumOutput,
            streaming = (json["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
        )
    }

    private fun parse(body: ByteArray): JsonObject? = try {
        Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true)) as? JsonObject
    } catch (_: SerializationException) {
        null
    } catch (_: CharacterCodingException) {
        null
    }

    private fun chatPrompt(json: JsonObject): String? {
        val messages = json["messages"] as? JsonArray ?: return null
        if (messages.isEmpty()) return null
        val contents = messages.map { (it as? JsonObject)?.get("content")?.let(::contentText) ?: return null }
        return contents.joinToString("\n")
    }

    private fun contentText(content: JsonElement): String? = when (content) {
        is JsonPrimitive -> content.contentOrNull.takeIf { content.isString }
        is JsonArray -> content.map { (it as? JsonObject)?.text("text") }.takeIf { null !in it }?.joinToString("\n")
        is JsonObject -> null
    }

    private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

    companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val COMPLETIONS_PATH = "/v1/completions"
        val MODEL_PATHS = setOf(CHAT_PATH, COMPLETIONS_PATH)
        private const val MAXIMUM_ID_CHARACTERS = 128
        private val VISIBLE = '!'..'~'
    }
}
