package org.cactuspulley.runtime.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import org.cactuspulley.runtime.platform.HostAndPort

private val logger = KotlinLogging.logger {}

/**
 * Carries digests between instances as datagrams, so that no connection has to be kept or can go silent.
 * Records that do not fit are left out and logged; the peer then reads them itself.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class DigestTransport(listen: HostAndPort, private val receive: (PeerMessage) -> Unit) : AutoCloseable {
    private class Outgoing(val peers: List<HostAndPort>, val message: PeerMessage)

    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val socket: BoundDatagramSocket =
        runBlocking { aSocket(selector).udp().bind(InetSocketAddress(listen.host, listen.port)) { reuseAddress = true } }
    private val outgoing = Channel<Outgoing>(QUEUE_CAPACITY)

    init {
        scope.launch { receiveAll() }
        scope.launch { for (message in outgoing) transmit(message) }
    }

    /** Sends [message] to [peers] soon; drops it while too many wait. */
    fun send(message: PeerMessage, peers: List<HostAndPort>) {
        if (peers.isNotEmpty() && outgoing.trySend(Outgoing(peers, message)).isFailure) logger.warn { "a digest was dropped" }
    }

    private suspend fun transmit(outgoing: Outgoing) {
        val bytes = peerCodec.encodeToByteArray(PeerMessage.serializer(), outgoing.message)
        if (bytes.size > MAX_DATAGRAM_BYTES) return transmitParts(outgoing, bytes.size)
        for (peer in outgoing.peers) {
            try {
                socket.send(Datagram(Buffer().apply { write(bytes) }, InetSocketAddress(peer.host, peer.port)))
            } catch (failure: CancellationException) {
                throw failure
            } catch (failure: Exception) {
                logger.debug { "digest to $peer not sent: ${failure.message}" }
            }
        }
    }

    /** Sends halves of a bundle, the records of each topic by themselves, or a digest without its only topic's. */
    private suspend fun transmitParts(outgoing: Outgoing, size: Int) {
        val parts = outgoing.message.digest?.let(::partsOf) ?: outgoing.message.bundle?.let(::partsOf).orEmpty()
        if (parts.isEmpty()) return logger.warn { "a message of $size bytes does not fit a datagram" }
        logger.debug { "a message of $size bytes is sent in ${parts.size} parts" }
        for (part in parts) transmit(Outgoing(outgoing.peers, part))
    }

    private fun partsOf(digest: FleetDigest): List<PeerMessage> = when (digest.relays.size) {
        0 -> emptyList()
        1 -> listOf(PeerMessage(digest.copy(relays = emptyList())))
        else -> digest.relays.map { PeerMessage(digest.copy(relays = listOf(it))) }
    }

    private fun partsOf(bundle: DigestBundle): List<PeerMessage> =
        if (bundle.digests.size < 2) {
            emptyList()
        } else {
            bundle.digests.chunked((bundle.digests.size + 1) / 2).map { PeerMessage(bundle = bundle.copy(digests = it)) }
        }

    private suspend fun receiveAll() {
        while (scope.isActive) {
            try {
                receive(peerCodec.decodeFromByteArray(PeerMessage.serializer(), socket.receive().packet.readByteArray()))
            } catch (failure: CancellationException) {
                throw failure
            } catch (failure: SerializationException) {
                logger.warn { "unreadable digest: ${failure.message}" }
            } catch (failure: Exception) {
                logger.warn { "digest not received: ${failure.message}" }
            }
        }
    }

    override fun close() {
        scope.cancel()
        socket.close()
        selector.close()
    }

    private companion object {
        /** Digests that wait to be sent; a few seconds' worth. */
        const val QUEUE_CAPACITY = 64

        /** The most that a datagram carries over IPv4, less headers. */
        const val MAX_DATAGRAM_BYTES = 65_000
    }
}
