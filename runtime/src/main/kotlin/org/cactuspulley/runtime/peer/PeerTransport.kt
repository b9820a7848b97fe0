package org.cactuspulley.runtime.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.effect.UpdatePeerAddresses
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.runtime.control.EffectExecutor
import org.cactuspulley.runtime.platform.HostAndPort
import java.io.IOException
import java.security.MessageDigest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Sends and receives messages between instances over Ktor sockets. An instance sends on the connections that it
 * opened, one to each peer, and receives on those that it accepted. Messages to a peer that is unreachable or too slow
 * are dropped and counted.
 */
public class PeerTransport(
    private val self: InstanceId,
    listen: HostAndPort,
    private val secret: PeerSecret,
    private val submit: (CoreEvent) -> Unit,
) : EffectExecutor, AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val server: ServerSocket = runBlocking { aSocket(selector).tcp().bind(listen.host, listen.port) { reuseAddress = true } }
    private val links = ConcurrentHashMap<InstanceId, PeerLink>()

    /** The accepted connections whose handshakes are not complete, the oldest first. */
    private val pendingHandshakes = ConcurrentLinkedDeque<Socket>()

    /** The traffic counters of this transport. */
    public val counters: PeerCounters = PeerCounters()

    /** The local port that other instances connect to. */
    public val port: Int = (server.localAddress as InetSocketAddress).port

    @Volatile
    private var addresses: Map<InstanceId, HostAndPort> = emptyMap()

    init {
        scope.launch { acceptConnections() }
    }

    /** Executes [effect] if it concerns peers; ignores it otherwise. */
    override fun execute(effect: CoreEffect) {
        when (effect) {
            is SendToPeer -> send(effect)
            is UpdatePeerAddresses -> useAddresses(effect.addresses)
            else -> Unit
        }
    }

    private fun useAddresses(texts: Map<InstanceId, String>) {
        val parsed = texts.mapNotNull { (id, text) -> HostAndPort.parse(text)?.let { id to it } }.toMap()
        addresses = parsed
        links.forEach { (id, link) -> if (parsed[id] != link.address && links.remove(id, link)) link.close() }
    }

    private fun send(effect: SendToPeer) {
        val address = addresses[effect.peer]
        if (address == null) {
            counters.dropped.increment()
            return
        }
        links.computeIfAbsent(effect.peer) { PeerLink(self, it, address, secret, selector, scope, counters) }.offer(effect.message)
    }

    private suspend fun acceptConnections() {
        while (scope.isActive) {
            val socket = accept() ?: continue
            pendingHandshakes.addLast(socket)
            // A crowd that stays silent must not keep peers out.
            if (pendingHandshakes.size > MAX_PENDING_HANDSHAKES) pendingHandshakes.pollFirst()?.close()
            scope.launch { serve(socket) }
        }
    }

    /** Accepts a connection; returns null after a failure, such as a lack of descriptors, which passes. */
    private suspend fun accept(): Socket? = try {
        server.accept()
    } catch (failure: IOException) {
        logger.warn { "failed to accept a peer connection: ${failure.message}" }
        delay(ACCEPT_RETRY_DELAY)
        null
    }

    private suspend fun serve(socket: Socket) {
        socket.use {
            val input = socket.openReadChannel()
            val session = try {
                withTimeout(HANDSHAKE_TIMEOUT) { acceptSession(self, secret, input, socket.openWriteChannel()) }
            } catch (failure: Exception) {
                counters.rejectedConnections.increment()
                logger.debug { "rejected peer connection: ${failure.message}" }
                return
            } finally {
                pendingHandshakes.remove(socket)
            }
            receive(session, input)
        }
    }

    private suspend fun receive(session: PeerSession, input: ByteReadChannel) {
        try {
            while (true) {
                val frame = readFrame(input, MAX_RECEIVED_FRAME_BYTES)
                val payload = authenticate(frame, session)
                counters.received.increment()
                counters.receivedBytes.add(frame.size.toLong())
                submitMessage(session.peer, payload)
            }
        } catch (failure: CancellationException) {
            throw failure
        } catch (failure: Exception) {
            logger.debug { "connection from ${session.peer} closed: ${failure.message}" }
        }
    }

    private fun authenticate(frame: ByteArray, session: PeerSession): ByteArray {
        if (frame.size < FrameAuthenticator.TAG_BYTES) throw PeerRejectedException("frame without an authentication tag")
        val payload = frame.copyOfRange(FrameAuthenticator.TAG_BYTES, frame.size)
        val tag = frame.copyOf(FrameAuthenticator.TAG_BYTES)
        if (!MessageDigest.isEqual(tag, session.authenticator.nextTag(payload))) {
            throw PeerRejectedException("frame with an invalid authentication tag")
        }
        return payload
    }

    private fun submitMessage(from: InstanceId, payload: ByteArray) {
        try {
            val envelope = decodeFrame(PeerEnvelope.serializer(), payload)
            submit(PeerMessageReceived(from, envelope.message))
        } catch (failure: SerializationException) {
            counters.unreadable.increment()
            logger.debug { "unreadable message from $from: ${failure.message}" }
        }
    }

    override fun close() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private companion object {
        const val MAX_PENDING_HANDSHAKES = 64
        val HANDSHAKE_TIMEOUT = 2.seconds

        /** Bounds the log lines while connections cannot be accepted. */
        val ACCEPT_RETRY_DELAY = 500.milliseconds
    }
}

/** The maximum size in bytes of a frame from another instance, which is held as a whole: an eighth of the heap, 64 MiB at most. */
internal val MAX_RECEIVED_FRAME_BYTES: Int = (Runtime.getRuntime().maxMemory() / 8).coerceAtMost(64L * 1024 * 1024).toInt()
