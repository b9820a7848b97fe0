/*
 * This file builds the responses that this instance creates itself.
 */
package org.cactuspulley.runtime.edge

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.json.Json
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.platform.ErrorBody
import org.cactuspulley.core.platform.ErrorDetail
import org.cactuspulley.core.requests.Refusal
import kotlin.time.DurationUnit

private const val JSON_CONTENT_TYPE = "application/json"

/** Returns the JSON error body that describes [refusal]. */
internal fun errorJson(refusal: Refusal): String = Json.encodeToString(
    ErrorBody.serializer(),
    ErrorBody(ErrorDetail(refusal.kind.type, refusal.kind.message, refusal.notRun)),
)

/** Returns the error response that describes [refusal], with `Retry-After` in seconds if a retry time is known. */
internal fun refusalResponse(refusal: Refusal, now: MonotonicTime): FullHttpResponse {
    val response = fullResponse(refusal.kind.status, errorJson(refusal).toByteArray(), JSON_CONTENT_TYPE)
    refusal.retryAt?.let { retryAt ->
        val seconds = (retryAt - now).toDouble(DurationUnit.SECONDS)
        response.headers().set(HttpHeaderNames.RETRY_AFTER, kotlin.math.ceil(seconds).toLong().coerceAtLeast(1))
    }
    return response
}

/** Returns a complete response with `Content-Length`. */
internal fun fullResponse(status: Int, body: ByteArray, contentType: String?): FullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body))
    contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
    HttpUtil.setContentLength(response, body.size.toLong())
    return response
}
