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
 * Sends and receives peer messages as UDP datagrams, so that there are no connections to maintain or to fail silently.
 * Records that do not fit into a datagram are omitted and logged; the peer then reads them from the store.
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

    /** Queues [message] for [peers]; drops it if the queue is full. */
    fun send(message: PeerMessage, peers: List<HostAndPort>) {
        if (peers.isNotEmpty() && outgoing.trySend(Outgoing(peers, message)).isFailure) logger.warn { "Send queue full; digest dropped" }
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
                logger.debug { "Failed to send a digest to $peer: ${failure.message}" }
            }
        }
    }

    /**
     * Splits a message that is too large: a bundle into halves, a digest with records of several topics into one digest for each
     * topic. A digest with records of one topic is sent without them.
     */
    private suspend fun transmitParts(outgoing: Outgoing, size: Int) {
        val parts = outgoing.message.digest?.let(::partsOf) ?: outgoing.message.bundle?.let(::partsOf).orEmpty()
        if (parts.isEmpty()) return logger.warn { "A message of $size bytes does not fit into a datagram and was not sent" }
        logger.debug { "A message of $size bytes does not fit into a datagram; sending ${parts.size} parts" }
        for (part in parts) transmit(Outgoing(outgoing.peers, part))
    }

    private fun partsOf(digest: FleetDigest): List<PeerMessage> = when (digest.relayedRanges.size) {
        0 -> emptyList()
        1 -> listOf(PeerMessage(digest.copy(relayedRanges = emptyList())))
        else -> digest.relayedRanges.map { PeerMessage(digest.copy(relayedRanges = listOf(it))) }
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
                logger.warn { "Failed to decode a digest: ${failure.message}" }
            } catch (failure: Exception) {
                logger.warn { "Failed to receive a digest: ${failure.message}" }
            }
        }
    }

    override fun close() {
        scope.cancel()
        socket.close()
        selector.close()
    }

    private companion object {
        /** The maximum number of messages that wait to be sent, equal to a few seconds of traffic. */
        const val QUEUE_CAPACITY = 64

        /** The maximum payload of a UDP datagram over IPv4, less a margin for headers. */
        const val MAX_DATAGRAM_BYTES = 65_000
    }
}
