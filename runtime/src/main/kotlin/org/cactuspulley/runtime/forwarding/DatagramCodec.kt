package org.cactuspulley.runtime.forwarding

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * Encodes peer messages as datagrams. Large messages are compressed: the digests of a bundle mostly repeat each other's field names
 * and addresses, traffic between zones is expensive, and some links are narrow.
 *
 * A compressed datagram begins with [COMPRESSED], which begins no CBOR map. The codec is confined to one thread.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class DatagramCodec : AutoCloseable {
    private val deflater = Deflater(Deflater.BEST_SPEED, true)
    private val inflater = Inflater(true)

    /** Returns the datagram of [message]. */
    fun encode(message: PeerMessage): ByteArray {
        val encoded = peerCodec.encodeToByteArray(PeerMessage.serializer(), message)
        return if (encoded.size < MIN_COMPRESSED_BYTES) encoded else compress(encoded) ?: encoded
    }

    /** Returns [bytes] compressed; null if that makes them no smaller. */
    private fun compress(bytes: ByteArray): ByteArray? {
        val compressed = ByteArray(bytes.size)
        compressed[0] = COMPRESSED
        deflater.reset()
        deflater.setInput(bytes)
        deflater.finish()
        val length = deflater.deflate(compressed, 1, compressed.size - 1)
        return if (deflater.finished()) compressed.copyOf(1 + length) else null
    }

    /**
     * Returns the message of a [datagram]. Any host can send one.
     *
     * @throws SerializationException if the datagram is no message, or if its message is too large.
     */
    fun decode(datagram: ByteArray): PeerMessage {
        val encoded = if (datagram.firstOrNull() == COMPRESSED) decompress(datagram) else datagram
        return peerCodec.decodeUntrusted(PeerMessage.serializer(), encoded)
    }

    private fun decompress(datagram: ByteArray): ByteArray = try {
        inflater.reset()
        inflater.setInput(datagram, 1, datagram.size - 1)
        var bytes = ByteArray(datagram.size * TYPICAL_RATIO)
        var length = inflater.inflate(bytes)
        while (!inflater.finished()) {
            if (length < bytes.size) throw SerializationException("the compressed message is truncated")
            if (length >= MAX_MESSAGE_BYTES) throw SerializationException("the message is larger than $MAX_MESSAGE_BYTES bytes")
            bytes = bytes.copyOf(minOf(2 * length, MAX_MESSAGE_BYTES))
            length += inflater.inflate(bytes, length, bytes.size - length)
        }
        bytes.copyOf(length)
    } catch (failure: DataFormatException) {
        throw SerializationException("the compressed message is damaged", failure)
    }

    override fun close() {
        deflater.end()
        inflater.end()
    }

    internal companion object {
        /** The first byte of a compressed datagram. */
        const val COMPRESSED: Byte = 0

        /** Smaller messages fit into one packet of most networks as they are. */
        const val MIN_COMPRESSED_BYTES = 1_024

        /** The size of a message in multiples of its compressed size, for most bundles. */
        private const val TYPICAL_RATIO = 4

        /** The largest message that is decompressed: ten times the largest configuration or bundle that is in use. */
        const val MAX_MESSAGE_BYTES = 1_048_576
    }
}
