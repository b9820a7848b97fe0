package org.cactuspulley.standins.load

import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.standins.server.standinJson
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** The response to an address lookup: addresses that a caller may use for [validForMillis], best first. */
@Serializable
internal data class EntryResponse(val addresses: List<EntryAddress>, @SerialName("valid_for_ms") val validForMillis: Long)

/** One instance address (host and port) of an [EntryResponse]. */
@Serializable
internal data class EntryAddress(val address: String)

/** Addresses from one lookup and the time on the monotonic clock at which they expire. */
private class CachedAddresses(val addresses: List<String>, val expiresAtNanoseconds: Long)

/** Looks up the instance addresses for each workspace and caches them until they expire. */
internal class EntryAddressCache(private val client: HttpClient, private val bootstrapAddresses: () -> List<String>) {
    private val cache = ConcurrentHashMap<WorkspaceId, CachedAddresses>()
    private val nextCandidate = AtomicInteger()

    /** Addresses for [workspace] without [failedAddresses]. If all of them failed, drops the cached entry and returns all. */
    suspend fun addresses(workspace: WorkspaceId, key: String, zone: ZoneName, failedAddresses: Set<String>): List<String> {
        val cached = cache[workspace]?.takeIf { it.expiresAtNanoseconds > System.nanoTime() }
        val current = cached ?: requestAddresses(key, zone, failedAddresses)?.also { cache[workspace] = it }
        val available = current?.addresses.orEmpty()
        return available.filter { it !in failedAddresses }.ifEmpty {
            cache.remove(workspace)
            available
        }
    }

    private suspend fun requestAddresses(key: String, zone: ZoneName, failedAddresses: Set<String>): CachedAddresses? {
        val candidates = bootstrapAddresses()
        val first = nextCandidate.getAndIncrement()
        val order = candidates.indices.map { candidates[(first + it).mod(candidates.size)] }.sortedBy { it in failedAddresses }
        return order.firstNotNullOfOrNull { requestFrom(it, key, zone) }
    }

    private suspend fun requestFrom(address: String, key: String, zone: ZoneName): CachedAddresses? = try {
        val requestStart = System.nanoTime()
        val request = HttpRequest.newBuilder(URI("http://$address/v1/entry?zone=${zone.text}"))
            .header("Authorization", "Bearer $key")
            .build()
        val response = withTimeoutOrNull(REQUEST_TIMEOUT) { client.sendAsync(request, BodyHandlers.ofString()).await() }
        response?.takeIf { it.statusCode() == 200 }
            ?.let { standinJson.decodeFromString(EntryResponse.serializer(), it.body()) }
            ?.takeIf { it.addresses.isNotEmpty() }
            ?.let {
                CachedAddresses(it.addresses.map(EntryAddress::address), requestStart + it.validForMillis * NANOSECONDS_PER_MILLISECOND)
            }
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        val REQUEST_TIMEOUT = 2.seconds
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
