package org.cactuspulley.runtime.forwarding

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import java.util.zip.Deflater

private fun digest(id: Int) = FleetDigest(
    "front-zone-a-$id", 1_777_000_000_000 + id, 7, "zone-a", "10.1.0.$id:8606", "10.1.0.$id:8700", serves = true,
    uses = (1..13).map { WorkspaceUsage("workspace-$it", it * 1_000.5, it * 10.25, 500_000.0 / id) },
    work = (1..5).map { TargetWork("i-${id * 7_919L + it}", it * 0.15) },
)

@OptIn(ExperimentalSerializationApi::class)
private fun bundle(size: Int) = PeerMessage(
    bundle = DigestBundle(
        "zone-a",
        isForwarded = false,
        (1..size).map { BundledDigest("front-zone-a-$it", 1, 1, 3, peerCodec.encodeToByteArray(FleetDigest.serializer(), digest(it))) },
    ),
)

/** Returns a compressed datagram of [bytes]. */
private fun compressed(bytes: ByteArray): ByteArray = Deflater(Deflater.BEST_SPEED, true).run {
    setInput(bytes)
    finish()
    val output = ByteArray(bytes.size + 64)
    byteArrayOf(DatagramCodec.COMPRESSED) + output.copyOf(deflate(output)).also { end() }
}

@OptIn(ExperimentalSerializationApi::class)
class DatagramCodecSpec : DescribeSpec({
    val codec = DatagramCodec()
    afterSpec { codec.close() }

    /** Decodes [datagram] and lets only the exception pass that the transport handles. */
    fun decodeOrReject(datagram: ByteArray) {
        try {
            codec.decode(datagram)
        } catch (_: SerializationException) {
            return
        }
    }

    describe("a bundle of a zone's digests") {
        // Guards against bundles that fill narrow links: between zones they were most of what instances sent.
        it("takes less than half of its encoded size") {
            val encoded = peerCodec.encodeToByteArray(PeerMessage.serializer(), bundle(16))
            codec.encode(bundle(16)).size shouldBeLessThan encoded.size / 2
        }

        it("is the same after it was sent") {
            val received = codec.decode(codec.encode(bundle(16))).bundle?.digests.orEmpty()
            received.map { peerCodec.decodeFromByteArray(FleetDigest.serializer(), it.encoded) } shouldBe (1..16).map(::digest)
        }
    }

    describe("a small message") {
        it("is sent as it is, so that instances of earlier releases read it") {
            val message = PeerMessage(FleetDigest("i-1", 1, 1, "zone-a", "10.1.0.1:1", "10.1.0.1:2", serves = true))
            codec.encode(message) shouldBe peerCodec.encodeToByteArray(PeerMessage.serializer(), message)
            codec.decode(codec.encode(message)) shouldBe message
        }
    }

    describe("a datagram of another host") {
        // Guards against memory that a few kilobytes of zeros, compressed, would take on every instance.
        it("is rejected if it decompresses to more than the largest message") {
            shouldThrow<SerializationException> { codec.decode(compressed(ByteArray(50_000_000))) }
        }

        it("is rejected if it is truncated") {
            val datagram = codec.encode(bundle(16))
            shouldThrow<SerializationException> { codec.decode(datagram.copyOf(datagram.size / 2)) }
        }

        it("is rejected if it is empty") {
            shouldThrow<SerializationException> { codec.decode(ByteArray(0)) }
        }

        // Guards against bytes that make decoding throw what nobody handles.
        it("with mutated bytes is decoded or rejected") {
            val datagrams = listOf(codec.encode(bundle(16)), codec.encode(PeerMessage(digest(1))))
            val plain = datagrams + peerCodec.encodeToByteArray(PeerMessage.serializer(), bundle(3))
            val config = PropTestConfig(seed = 1, iterations = 3_000)
            checkAll(config, Arb.int(0..2), Arb.int(0..4_000), Arb.byteArray(Arb.int(1..6), Arb.byte())) { index, at, odd ->
                val valid = plain[index]
                val position = at % valid.size
                decodeOrReject(valid.copyOf(position) + odd)
                decodeOrReject(valid.copyOf(position) + odd + valid.drop(position + odd.size))
                decodeOrReject(valid.copyOf(position) + odd + valid.drop(position))
            }
        }
    }
})
