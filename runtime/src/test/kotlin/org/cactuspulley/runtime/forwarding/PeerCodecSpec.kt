package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** The fields without defaults of a digest, and one more, as an instance of an earlier release knows them. */
@Serializable
private data class DigestWithoutSpeeds(
    val id: String,
    val incarnation: Long,
    val sequence: Long,
    val zone: String,
    val callerAddress: String,
    val peerAddress: String,
    val serves: Boolean,
    val loading: List<String> = emptyList(),
)

@OptIn(ExperimentalSerializationApi::class)
class PeerCodecSpec : DescribeSpec({
    /** Decodes [bytes] and lets only the exception pass that all who decode records handle. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray) {
        try {
            Cbor.decodeUntrusted(serializer, bytes)
        } catch (_: SerializationException) {
            return
        }
    }

    describe("an announcement or a claim") {
        // Guards against a claim that stays open for ever, because decoding the newest one threw what its reader does not handle.
        it("with mutated bytes is decoded or results in a serialization exception") {
            val announcement = Announcement("i-1", 1_777_000_000_000, "zone-a", "10.0.0.1:1", "10.0.0.1:2")
            val announcementBytes = Cbor.encodeToByteArray(Announcement.serializer(), announcement)
            val claimBytes = Cbor.encodeToByteArray(ClaimRecord.serializer(), ClaimRecord("i-1", 1_777_000_000_000))
            checkAll(Arb.int(0..announcementBytes.size), Arb.int(0..claimBytes.size), Arb.byteArray(Arb.int(0..6), Arb.byte())) {
                    first,
                    second,
                    odd,
                ->
                decode(Announcement.serializer(), announcementBytes.copyOf(first) + odd)
                decode(Announcement.serializer(), announcementBytes.copyOf(first) + odd + announcementBytes.drop(first + odd.size))
                decode(ClaimRecord.serializer(), claimBytes.copyOf(second) + odd)
                decode(ClaimRecord.serializer(), claimBytes.copyOf(second) + odd + claimBytes.drop(second + odd.size))
            }
        }
    }

    describe("a digest of the previous release") {
        // Guards against instances of two releases that can't read each other's digests during an upgrade.
        it("has no speeds of targets, and a new digest is readable without them") {
            val digest = FleetDigest(
                "i-1",
                1,
                1,
                "zone-a",
                "10.0.0.1:1",
                "10.0.0.1:2",
                serves = true,
                speeds = listOf(TargetSlowdown("t-1", 1.7)),
            )
            val bytes = peerCodec.encodeToByteArray(FleetDigest.serializer(), digest)
            peerCodec.decodeUntrusted(FleetDigest.serializer(), bytes).speeds shouldBe digest.speeds
            val previous = peerCodec.decodeUntrusted(DigestWithoutSpeeds.serializer(), bytes)
            previous.id shouldBe "i-1"
            val previousBytes = peerCodec.encodeToByteArray(DigestWithoutSpeeds.serializer(), previous)
            peerCodec.decodeUntrusted(FleetDigest.serializer(), previousBytes).speeds shouldBe emptyList()
        }
    }

    describe("bytes for which the library throws another exception") {
        // Guards against a record or datagram that ends what reads it, because its exception is not the one that is caught.
        it("result in a serialization exception") {
            val digest = FleetDigest(
                "i-1", 1, 1, "zone-a", "10.0.0.1:1", "10.0.0.1:2", serves = true,
                uses = listOf(WorkspaceUsage("a", 1.0, 1.0, 1.0)),
                work = listOf(TargetWork("t-1", 0.5)),
            )
            val valid = peerCodec.encodeToByteArray(FleetDigest.serializer(), digest)
            val config = PropTestConfig(seed = 1, iterations = 20_000)
            checkAll(config, Arb.int(valid.indices), Arb.byteArray(Arb.int(1..6), Arb.byte())) { at, odd ->
                val bytes = valid.copyOf(at) + odd + valid.drop(at)
                try {
                    peerCodec.decodeUntrusted(FleetDigest.serializer(), bytes)
                } catch (_: SerializationException) {
                    return@checkAll
                }
            }
        }
    }
})
