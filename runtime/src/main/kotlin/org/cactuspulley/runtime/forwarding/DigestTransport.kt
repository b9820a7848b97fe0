package org.cactuspulley.runtime.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.cactuspulley.runtime.platform.HostAndPort
import java.net.InetSocketAddress

private val logger = KotlinLogging.logger {}

/**
 * Sends and receives peer messages as UDP datagrams, so that there are no connections to maintain or to fail silently.
 * Records that do not fit into a datagram are omitted and logged; the peer then reads them from the store.
 *
 * It is confined to the event loop of its instance, because a handover between threads costs more than the messages themselves.
 *
 * @param receive called on the event loop with each message that could be decoded.
 */
internal class DigestTransport(listen: HostAndPort, loop: EventLoop, private val receive: (PeerMessage) -> Unit) : AutoCloseable {
    private val codec = DatagramCodec()
    private val addresses = HashMap<HostAndPort, InetSocketAddress>()
    private val channel: Channel = Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(MAX_MESSAGES_PER_READ))
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(MAX_QUEUED_BYTES / 2, MAX_QUEUED_BYTES))
        .handler(Receiver())
        .bind(InetSocketAddress(listen.host, listen.port))
        .syncUninterruptibly()
        .channel()

    /** Sends [message] to [peers]; drops it if too much is queued already, because the network does not keep up. */
    fun send(message: PeerMessage, peers: List<HostAndPort>) {
        if (peers.isEmpty()) return
        if (!channel.isWritable) return logger.warn { "Send queue full; digest dropped" }
        transmit(message, peers)
        channel.flush()
    }

    private fun transmit(message: PeerMessage, peers: List<HostAndPort>) {
        val bytes = codec.encode(message)
        if (bytes.size > MAX_DATAGRAM_BYTES) return transmitParts(message, bytes.size, peers)
        val content = channel.alloc().directBuffer(bytes.size).writeBytes(bytes)
        try {
            for (peer in peers) {
                channel.write(DatagramPacket(content.retainedDuplicate(), addressOf(peer))).addListener { future ->
                    if (!future.isSuccess) logger.debug { "Failed to send a digest to $peer: ${future.cause()?.message}" }
                }
            }
        } finally {
            content.release()
        }
    }

    private fun addressOf(peer: HostAndPort): InetSocketAddress {
        if (addresses.size >= MAX_CACHED_ADDRESSES) addresses.clear()
        return addresses.getOrPut(peer) { InetSocketAddress(peer.host, peer.port) }
    }

    /**
     * Splits a message that is too large: a bundle into halves, a digest with records of several topics into one digest for each
     * topic. A digest with records of one topic is sent without them.
     */
    private fun transmitParts(message: PeerMessage, size: Int, peers: List<HostAndPort>) {
        val parts = message.digest?.let(::partsOf) ?: message.bundle?.let(::partsOf).orEmpty()
        if (parts.isEmpty()) return logger.warn { "A message of $size bytes does not fit into a datagram and was not sent" }
        logger.debug { "A message of $size bytes does not fit into a datagram; sending ${parts.size} parts" }
        for (part in parts) transmit(part, peers)
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

    override fun close() {
        channel.close().addListener { codec.close() }
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            decode(packet.content())?.let(receive)
        }

        /** Any host can send a datagram, so whatever it makes the decoder throw must not reach the channel. */
        private fun decode(content: ByteBuf): PeerMessage? = try {
            codec.decode(ByteBufUtil.getBytes(content))
        } catch (failure: Exception) {
            unreadable(failure)
        } catch (failure: StackOverflowError) {
            unreadable(failure)
        }

        private fun unreadable(failure: Throwable): PeerMessage? {
            logger.warn { "Failed to decode a digest: $failure" }
            return null
        }

        @Deprecated("Overrides a deprecated Netty method that has no replacement.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            logger.warn { "Failed to receive a digest: $cause" }
        }
    }

    private companion object {
        /** The bytes that may wait to be sent, equal to about a second of traffic. */
        const val MAX_QUEUED_BYTES = 512 * 1024

        /** The number of datagrams that are received before other channels have their turn. */
        const val MAX_MESSAGES_PER_READ = 8

        /** The number of resolved addresses to keep; more than the instances of a fleet, of which some come and go. */
        const val MAX_CACHED_ADDRESSES = 2_000

        /** The maximum payload of a UDP datagram over IPv4, less a margin for headers. */
        const val MAX_DATAGRAM_BYTES = 65_000
    }
}
