package org.cactuspulley.runtime.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Sends messages to one peer through a bounded queue and a connection that is reopened after a failure. Messages that
 * are still queued when it is reopened are dropped, so that the peer does not receive outdated messages.
 */
internal class PeerLink(
    private val self: InstanceId,
    private val peer: InstanceId,
    val address: HostAndPort,
    private val secret: PeerSecret,
    private val selector: SelectorManager,
    scope: CoroutineScope,
    private val counters: PeerCounters,
) {
    private val queue = Channel<PeerMessage>(QUEUE_CAPACITY)
    private val job: Job = scope.launch { run() }

    /** Queues [message], or drops it if the queue is full. */
    fun offer(message: PeerMessage) {
        if (!queue.trySend(message).isSuccess) counters.dropped.increment()
    }

    /** Closes the connection and stops reconnecting. */
    fun close() {
        job.cancel()
    }

    private suspend fun CoroutineScope.run() {
        var backoff = MIN_BACKOFF
        while (isActive) {
            try {
                connect { backoff = MIN_BACKOFF }
            } catch (failure: CancellationException) {
                if (!isActive) throw failure
            } catch (failure: Exception) {
                logger.debug { "connection to $peer failed: ${failure.message}" }
            }
            delay(backoff)
            backoff = (backoff * 2).coerceAtMost(MAX_BACKOFF)
            dropQueued()
        }
    }

    private suspend fun connect(onOpen: () -> Unit) {
        val socket = withTimeout(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true } }
        socket.use {
            val output = socket.openWriteChannel()
            val session = withTimeout(CONNECT_TIMEOUT) { openSession(self, peer, secret, socket.openReadChannel(), output) }
            onOpen()
            for (message in queue) withTimeout(WRITE_TIMEOUT) { write(message, session, output) }
        }
    }

    private suspend fun write(message: PeerMessage, session: PeerSession, output: ByteWriteChannel) {
        val payload = encodeFrame(PeerEnvelope.serializer(), PeerEnvelope(PEER_PROTOCOL_VERSION, message))
        writeFrame(output, session.authenticator.nextTag(payload) + payload)
        counters.sent.increment()
        counters.sentBytes.add(payload.size.toLong() + FrameAuthenticator.TAG_BYTES)
    }

    private fun dropQueued() {
        while (queue.tryReceive().isSuccess) counters.dropped.increment()
    }

    private companion object {
        const val QUEUE_CAPACITY = 512
        val CONNECT_TIMEOUT: Duration = 1.seconds
        val WRITE_TIMEOUT: Duration = 2.seconds
        val MIN_BACKOFF: Duration = 50.milliseconds
        val MAX_BACKOFF: Duration = 1.seconds
    }
}
