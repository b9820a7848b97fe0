package org.cactuspulley.runtime.platform

import com.github.michaelbull.result.fold
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.platform.WeightsDescription
import java.net.URLEncoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The result of looking up a version of weights in the weight store. */
public sealed interface WeightsLookup {
    /** The version exists. */
    public data class Found(val description: WeightsDescription) : WeightsLookup

    /** The store has no such version. */
    public data object Missing : WeightsLookup

    /** The store refused the request because of its rate limit. */
    public data object RateLimited : WeightsLookup

    /** No store is configured, the store did not respond, or its response has an unexpected status or cannot be decoded. */
    public data class Unavailable(val reason: String) : WeightsLookup
}

/** Looks up versions of weights in the platform's weight store. Only the first of [endpoints] is used. */
public class WeightStoreClient(
    private val endpoints: List<HostAndPort>,
    group: EventLoopGroup,
    private val requestTimeout: Duration = 2_000.milliseconds,
) : AutoCloseable {
    private val client = PlatformHttpClient(group)

    /** Looks up the version [weights] of [model]. [onResult] is called once, on a thread of the event loop group if a request is sent. */
    public fun find(model: ModelName, weights: WeightsVersion, onResult: (WeightsLookup) -> Unit) {
        val endpoint = endpoints.firstOrNull() ?: return onResult(WeightsLookup.Unavailable("no weight store is configured"))
        val request =
            PlatformRequest(
                HttpMethod.GET,
                "/weights/${encodePathSegment(model.text)}/${encodePathSegment(weights.text)}",
                timeout = requestTimeout,
            )
        client.send(endpoint, request) { result ->
            onResult(result.fold(success = ::lookupOf, failure = { WeightsLookup.Unavailable(it.toString()) }))
        }
    }

    private fun encodePathSegment(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")

    private fun lookupOf(response: PlatformResponse): WeightsLookup = when (response.status) {
        200 -> decode(response)
        404 -> WeightsLookup.Missing
        429 -> WeightsLookup.RateLimited
        else -> WeightsLookup.Unavailable("status ${response.status}")
    }

    private fun decode(response: PlatformResponse): WeightsLookup = try {
        WeightsLookup.Found(platformJson.decodeFromString(WeightsDescription.serializer(), response.body.decodeToString()))
    } catch (failure: SerializationException) {
        WeightsLookup.Unavailable("unreadable response: ${failure.message}")
    }

    override fun close() {
        client.close()
    }
}
