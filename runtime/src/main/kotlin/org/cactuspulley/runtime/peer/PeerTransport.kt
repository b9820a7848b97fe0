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
import java.security.MessageDigest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Carries messages between instances over Ktor sockets. Each instance sends on connections that it
 * opened itself, one to each peer, and receives on those that it accepted. A message to a peer that
 * can't be reached or is too slow is dropped and counted.
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
    private val unproven = AtomicInteger()

    /** What this transport has sent, received and dropped. */
    public val counters: PeerCounters = PeerCounters()

    /** The port that other instances connect to. */
    public val port: Int = (server.localAddress as InetSocketAddress).port

    @Volatile
    private var addresses: Map<InstanceId, HostAndPort> = emptyMap()

    init {
        scope.launch { acceptConnections() }
    }

    /** Carries out [effect] if it concerns peers, and ignores it otherwise. */
    override fun execute(effect: CoreEffect) {
        when (effect) {
            is SendToPeer -> send(effect)
            is UpdatePeerAddresses -> useAddresses(effect.addresses)
            else -> Unit
        }
    }

    private fun useAddresses(texts: Map<InstanceId, String>) {
        val changed = texts.mapNotNull { (id, text) -> HostAndPort.parse(text)?.let { id to it } }.toMap()
        addresses = changed
        links.forEach { (id, link) -> if (changed[id] != link.address && links.remove(id, link)) link.close() }
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
            val socket = server.accept()
            if (unproven.incrementAndGet() > UNPROVEN_CONNECTIONS) {
                unproven.decrementAndGet()
                counters.strangers.increment()
                socket.close()
            } else {
                scope.launch { serve(socket) }
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        socket.use {
            val input = socket.openReadChannel()
            val session = try {
                withTimeout(HANDSHAKE_TIMEOUT) { acceptSession(self, secret, input, socket.openWriteChannel()) }
            } catch (failure: Exception) {
                counters.strangers.increment()
                logger.debug { "peer connection turned away: ${failure.message}" }
                return
            } finally {
                unproven.decrementAndGet()
            }
            receive(session, input)
        }
    }

    private suspend fun receive(session: PeerSession, input: ByteReadChannel) {
        try {
            while (true) {
                val frame = readFrame(input, LARGEST_FRAME_BYTES)
                val payload = authenticated(frame, session)
                counters.received.increment()
                counters.receivedBytes.add(frame.size.toLong())
                deliver(session.peer, payload)
            }
        } catch (failure: CancellationException) {
            throw failure
        } catch (failure: Exception) {
            logger.debug { "connection from ${session.peer} ended: ${failure.message}" }
        }
    }

    private fun authenticated(frame: ByteArray, session: PeerSession): ByteArray {
        if (frame.size < FrameAuthenticator.CODE_BYTES) throw StrangerException("frame without a code")
        val payload = frame.copyOfRange(FrameAuthenticator.CODE_BYTES, frame.size)
        val code = frame.copyOf(FrameAuthenticator.CODE_BYTES)
        if (!MessageDigest.isEqual(code, session.authenticator.nextCode(payload))) throw StrangerException("wrong code of a frame")
        return payload
    }

    private fun deliver(from: InstanceId, payload: ByteArray) {
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
        const val UNPROVEN_CONNECTIONS = 64
        val HANDSHAKE_TIMEOUT = 2.seconds
    }
}

/** The largest message between instances, in bytes. */
internal const val LARGEST_FRAME_BYTES: Int = 64 * 1024 * 1024
