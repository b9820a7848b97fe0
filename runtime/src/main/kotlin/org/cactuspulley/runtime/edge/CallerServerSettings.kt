package org.cactuspulley.runtime.edge

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Where callers are served and what they may send.
 *
 * @property port 0 for any free port.
 * @property arrivalTimeout how long a request may take from its first byte to its last, and a new connection to send its first.
 * @property idleTimeout how long a connection may stay unused between two requests.
 * @property defaultPatience the deadline of a request that names none, from its arrival.
 * @property maximumPatience the latest deadline that a request may name, from its arrival.
 * @property defaultOutputTokens the most output tokens of a request that names no maximum.
 * @property keyMemory how long idempotency keys are surely remembered; a key whose own time stamp is older is refused.
 */
public data class CallerServerSettings(
    val host: String,
    val port: Int,
    val maximumBodyBytes: Int = 16 shl 20,
    val maximumHeaderBytes: Int = 16 shl 10,
    val maximumRequestLineBytes: Int = 8 shl 10,
    val maximumConnections: Int = 4096,
    val requestReceiveTimeout: Duration = 15.seconds,
    val idleTimeout: Duration = 75.seconds,
    val defaultDeadline: Duration = 2.minutes,
    val maximumDeadline: Duration = 10.minutes,
    val defaultOutputTokens: Int = 512,
    val idempotencyKeyRetention: Duration = 24.hours,
    val tls: TlsSettings? = null,
)

/** PEM files for TLS; a changed file is taken up by the next connection. */
public data class TlsSettings(val certificateChain: Path, val privateKey: Path)
