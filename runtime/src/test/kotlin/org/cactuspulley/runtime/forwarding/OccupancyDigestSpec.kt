package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.forwarding.OccupiedCapacity
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.forwarding.TargetEntry
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.settings.RoutingSettings
import kotlin.time.Duration.Companion.milliseconds

private const val SLOTS = 12

private val enabled = RoutingSettings(capacityAdmission = true)

/** The target that all instances of this spec use. */
private fun ExchangeSimulation.target(instance: Int): Target {
    val entry = TargetEntry(TargetId("t-1"), PoolName("desk"), "10.1.0.1:1", ZoneName("zone-0"), SLOTS, false, 1, 1, emptyMap())
    val directory = instances[instance].state.directory
    if (directory[entry.id] == null) directory.upsert(entry)
    return checkNotNull(directory[entry.id])
}

/** Lets [instance] send [count] requests to the target. */
private fun ExchangeSimulation.send(instance: Int, count: Int): List<OccupiedCapacity?> =
    List(count) { instances[instance].state.capacity.recordStart(target(instance), null) }

private fun ExchangeSimulation.hasRoom(instance: Int) = instances[instance].state.capacity.fits(target(instance), null, now)

/** A digest as instances of the previous release read it: it has no occupancy. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
private class DigestWithoutOccupancy(
    val id: String,
    val incarnation: Long,
    val sequence: Long,
    val zone: String,
    val callerAddress: String,
    val peerAddress: String,
    val serves: Boolean,
    val work: List<TargetWork> = emptyList(),
    @SerialName("relays") val relayedRanges: List<RelayedRange> = emptyList(),
)

@OptIn(ExperimentalSerializationApi::class)
class OccupancyDigestSpec : DescribeSpec({
    describe("three instances that fill a target with 12 slots") {
        it("each have no room there as soon as they have heard of each other, and have room again when requests end") {
            simulate(3, zones = 1, routing = enabled) {
                run(3)
                val sent = (0..2).map { send(it, SLOTS / 3) }
                hasRoom(0) shouldBe true
                run(1)
                (0..2).map { hasRoom(it) } shouldBe listOf(false, false, false)
                sent[1].forEach { instances[1].state.capacity.recordEnd(target(1), it, now) }
                run(1)
                (0..2).map { hasRoom(it) } shouldBe listOf(true, true, true)
            }
        }

        // Guards against slots that stay occupied after the instance that used them was lost halfway.
        it("have room again within a second after one of them is lost") {
            simulate(3, zones = 1, routing = enabled) {
                run(3)
                target(0)
                send(1, SLOTS)
                run(1)
                hasRoom(0) shouldBe false
                instances[1].isDown = true
                advanceTime(899.milliseconds)
                hasRoom(0) shouldBe false
                advanceTime(1.milliseconds)
                hasRoom(0) shouldBe true
            }
        }

        // Guards against a digest that was delayed on its way and undoes what a newer one said.
        it("do not apply a stale digest after a newer one") {
            simulate(2, zones = 1, routing = enabled) {
                run(3)
                target(0)
                val digest = FleetDigest("i-1", 1, 1_000, "zone-0", "10.0.0.1:1", "10.0.0.1:2", serves = true)
                val free = digest.copy(sequence = 1_001, occupancy = emptyList())
                val full = digest.copy(occupancy = listOf(TargetOccupancyNotice("t-1", SLOTS, 0)))
                instances[0].exchange.receive(PeerMessage(free))
                instances[0].exchange.receive(PeerMessage(full))
                hasRoom(0) shouldBe true
                instances[0].exchange.receive(PeerMessage(full.copy(sequence = 1_002)))
                hasRoom(0) shouldBe false
                // A digest that only relays records says nothing about what is in flight.
                instances[0].exchange.receive(PeerMessage(digest.copy(sequence = 1_003)))
                hasRoom(0) shouldBe false
            }
        }
    }

    describe("an instance of the previous release") {
        // Guards against peers that can't read each other's digests while a new release is rolled out.
        it("reads digests with occupancy, and its own are read without") {
            val digest = FleetDigest(
                "i-1", 1, 7, "zone-0", "10.0.0.1:1", "10.0.0.1:2", serves = true,
                work = listOf(TargetWork("t-1", 0.5)), occupancy = listOf(TargetOccupancyNotice("t-1", 3, 9_000)),
            )
            val bytes = peerCodec.encodeToByteArray(FleetDigest.serializer(), digest)
            val previous = peerCodec.decodeUntrusted(DigestWithoutOccupancy.serializer(), bytes)
            previous.work shouldBe digest.work
            val returned = peerCodec.encodeToByteArray(DigestWithoutOccupancy.serializer(), previous)
            peerCodec.decodeUntrusted(FleetDigest.serializer(), returned) shouldBe digest.copy(occupancy = null)
            peerCodec.decodeUntrusted(FleetDigest.serializer(), bytes) shouldBe digest
        }

        it("counts as one that has nothing in flight, until the target's own reports say otherwise") {
            simulate(2, zones = 1, routing = enabled) {
                run(3)
                target(0)
                val digest = FleetDigest("i-1", 1, 1_000, "zone-0", "10.0.0.1:1", "10.0.0.1:2", serves = true)
                instances[0].exchange.receive(PeerMessage(digest))
                hasRoom(0) shouldBe true
            }
        }
    }

    describe("instances whose settings do not ask for admission by capacity") {
        it("count nothing and send no occupancy, and ignore what others in flight have") {
            simulate(2, zones = 1) {
                run(3)
                target(0)
                target(1)
                send(0, 5 * SLOTS).toSet() shouldBe setOf(null)
                run(1)
                target(1).occupancy.local.requests shouldBe 0
                val full = FleetDigest(
                    "i-1",
                    1,
                    1_000,
                    "zone-0",
                    "10.0.0.1:1",
                    "10.0.0.1:2",
                    serves = true,
                    occupancy = listOf(TargetOccupancyNotice("t-1", SLOTS, 0)),
                )
                instances[0].exchange.receive(PeerMessage(full))
                hasRoom(0) shouldBe true
            }
        }
    }
})
