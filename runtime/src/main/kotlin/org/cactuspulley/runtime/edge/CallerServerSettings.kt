package org.cactuspulley.runtime.edge

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the listening socket for callers and limits of their requests.
 *
 * @property host the host name or IP address to bind to.
 * @property port the TCP port to bind to, or 0 for any free port.
 * @property maximumBodyBytes the maximum size of a request body in bytes.
 * @property maximumHeaderBytes the maximum size of all request headers in bytes.
 * @property maximumRequestLineBytes the maximum size of a request line in bytes.
 * @property requestMemoryBytes the memory of all requests that are held at the same time, in bytes.
 * @property maximumConnections the maximum number of open connections; the descriptors of the process may permit fewer.
 * @property requestReceiveTimeout the maximum time from the first to the last byte of a request, and from the opening of a connection to
 *     its first byte.
 * @property idleTimeout the maximum time that a connection may be idle between two requests.
 * @property defaultDeadline the time from arrival to the deadline of a request that specifies none.
 * @property maximumDeadline the maximum time from arrival to a deadline that a request specifies. A later deadline is reduced to it.
 * @property defaultOutputTokens the maximum number of output tokens of a request that specifies no maximum.
 * @property idempotencyKeyRetention the guaranteed retention of idempotency keys. A key whose own timestamp is older is refused.
 * @property tls the certificate files, or null for plain HTTP.
 */
public data class CallerServerSettings(
    val host: String,
    val port: Int,
    val maximumBodyBytes: Int = 16 shl 20,
    val maximumHeaderBytes: Int = 16 shl 10,
    val maximumRequestLineBytes: Int = 8 shl 10,
    val requestMemoryBytes: Long = defaultRequestMemoryBytes(maximumBodyBytes),
    val maximumConnections: Int = 4096,
    val requestReceiveTimeout: Duration = 15.seconds,
    val idleTimeout: Duration = 75.seconds,
    val defaultDeadline: Duration = 2.minutes,
    val maximumDeadline: Duration = 10.minutes,
    val defaultOutputTokens: Int = 512,
    val idempotencyKeyRetention: Duration = 24.hours,
    val tls: TlsSettings? = null,
)

/** Returns a quarter of the heap, or what one request with the largest body takes while it arrives if that is more. */
internal fun defaultRequestMemoryBytes(maximumBodyBytes: Int): Long =
    maxOf(Runtime.getRuntime().maxMemory() / REQUEST_MEMORY_DIVISOR, LARGEST_REQUEST_FACTOR * maximumBodyBytes)

/** The part of the heap for requests; the rest is for the state of the instance and for copies of a request. */
private const val REQUEST_MEMORY_DIVISOR = 4

/** A body that grows has twice its size; as much again is kept for other requests. */
private const val LARGEST_REQUEST_FACTOR = 3L

/**
 * PEM files for TLS. Changed files are reloaded for the next connection.
 *
 * @property certificateChain the path of the certificate chain.
 * @property privateKey the path of the private key.
 */
public data class TlsSettings(val certificateChain: Path, val privateKey: Path)
