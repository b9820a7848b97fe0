package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.encodeToByteArray
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.quarantine.CrashVerdict
import org.cactuspulley.core.quarantine.RequestTrait
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val OBSERVER = InstanceId("i-observer")

private fun request(number: Long): Set<RequestTrait> = setOf(RequestTrait.PathAndBody(number))

private fun encoded(traits: Set<RequestTrait>) = EncodedTraits.of(traits)

/** The notices of three targets that crashed on a request with [traits], a second apart. */
private fun threeCrashes(traits: Set<RequestTrait>) = CrashNotices(
    crashes = (1L..3L).map { TargetCrashNotice("t-${traits.hashCode()}-$it", 1, 0, encoded(traits), it * 1_000) },
    served = emptyList(),
    quarantines = emptyList(),
)

private val ExchangeSimulation.SimulatedInstance.holdsPoison: (MonotonicTime) -> Boolean
    get() = { now -> quarantine.verdict(request(1), now) is CrashVerdict.Held }

@OptIn(ExperimentalSerializationApi::class)
class CrashQuarantineExchangeSpec : DescribeSpec({
    for (size in listOf(7, 95)) {
        for (loss in listOf(0.0, 0.3)) {
            describe("a fleet of $size that loses $loss of its datagrams") {
                // Guards against instances that forget, one after another, which request crashes targets.
                it("still holds a request back after all instances have been replaced in turn") {
                    simulate(size, random = Random(size)) {
                        runTimers(2.seconds)
                        instances.first().quarantine.receive(OBSERVER, threeCrashes(request(1)), now)
                        lossRate = loss
                        runTimers(6.seconds)
                        instances.count { it.holdsPoison(now) } shouldBe size
                        for (instance in instances) {
                            instance.restart()
                            while (instance.quarantine.isAwaitingPeers(now)) runTimers(100.milliseconds)
                            instance.holdsPoison(now) shouldBe true
                        }
                    }
                }
            }
        }
    }

    describe("an instance that has just started") {
        it("waits for its peers no longer than some of their answers may be lost") {
            simulate(7) {
                runTimers(2.seconds)
                (instances - instances.first()).forEach { it.isDown = true }
                instances.first().restart()
                instances.first().quarantine.isAwaitingPeers(now) shouldBe true
                runTimers(400.milliseconds)
                instances.first().quarantine.isAwaitingPeers(now) shouldBe false
            }
        }

        it("hears everything at once, although regular digests carry many quarantines in turn") {
            simulate(7) {
                runTimers(2.seconds)
                for (number in 1L..60L) instances[1].quarantine.receive(OBSERVER, threeCrashes(request(number)), now)
                runTimers(6.seconds)
                instances.first().restart()
                (1L..60L).count { instances.first().quarantine.verdict(request(it), now) is CrashVerdict.Held } shouldBe 60
            }
        }
    }

    describe("an instance that missed that a request was served") {
        // Guards against a request that one instance refuses for ten minutes more, and that others learn to refuse from it.
        it("is told by those that it tells of its quarantine") {
            simulate(7) {
                runTimers(2.seconds)
                instances.forEach { it.quarantine.receive(OBSERVER, threeCrashes(request(1)), now) }
                instances.first().losesDatagrams = true
                instances[1].quarantine.served(request(1), now)
                runTimers(3.seconds)
                instances.map { it.holdsPoison(now) } shouldBe listOf(true) + List(6) { false }
                instances.first().losesDatagrams = false
                runTimers(2.seconds)
                instances.count { it.holdsPoison(now) } shouldBe 0
            }
        }
    }

    describe("a trial after the end of a quarantine") {
        fun ExchangeSimulation.admitted(): Int = instances.count {
            it.quarantine.admit(request(1), now + 1.seconds, now) !is CrashVerdict.Held
        }

        // Guards against a request that comes to all instances at the moment when its quarantine ends.
        it("is begun by one instance, and by no other until its result is known") {
            simulate(7) {
                run(5)
                instances.first().quarantine.receive(OBSERVER, threeCrashes(request(1)), now)
                run(5)
                admitted() shouldBe 0
                run((10.minutes / 400.milliseconds).toInt())
                admitted() shouldBe 1
                admitted() shouldBe 0
                run(20)
                admitted() shouldBe 1
            }
        }
    }

    describe("a quarantine that no instance can have reported") {
        // Guards against damaged bytes that make every later decision fail, or hold requests back for ever.
        it("is ignored") {
            simulate(2) {
                val notices =
                    listOf(QuarantineNotice(encoded(request(1)), 1, 0, 1_000), QuarantineNotice(encoded(request(1)), 1, 1, Long.MAX_VALUE))
                instances.first().quarantine.receive(OBSERVER, CrashNotices(emptyList(), emptyList(), notices), now)
                instances.first().quarantine.verdict(request(1), now) shouldBe CrashVerdict.Clear
            }
        }
    }

    describe("a digest with many quarantines") {
        fun ExchangeSimulation.encodedBytes(isComplete: Boolean): Int {
            val notices = instances.first().quarantine.notices(now, isComplete)
            val digest = FleetDigest("i-0", 1, 1, "zone-0", "10.0.0.9:1", "10.0.0.9:2", serves = true)
            return peerCodec.encodeToByteArray(digest.copy(crashNotices = notices)).size - peerCodec.encodeToByteArray(digest).size
        }

        // Guards against digests that fill the links of a large fleet, and against notices that peers cannot read.
        it("stays below a kilobyte, and is read as it was written") {
            simulate(2) {
                for (number in 1L..64L) {
                    val traits = request(Long.MAX_VALUE - number) + RequestTrait.WholeRequest(Long.MIN_VALUE + number)
                    instances.first().quarantine.receive(OBSERVER, threeCrashes(traits), now)
                }
                encodedBytes(isComplete = false) shouldBeLessThan 1_024
                val complete = instances.first().quarantine.notices(now, isComplete = true)
                complete.quarantines.size shouldBe 64
                val digest = FleetDigest("i-0", 1, 1, "zone-0", "a:1", "a:2", serves = true, crashNotices = complete)
                peerCodec.decodeUntrusted(FleetDigest.serializer(), peerCodec.encodeToByteArray(digest)) shouldBe digest
                println("64 quarantines: ${encodedBytes(true)} bytes, in turn ${encodedBytes(false)}")
            }
        }

        it("is read as it was written if only some kinds of notices are present") {
            val some = listOf(
                CrashNotices(emptyList(), listOf(ServedNotice(encoded(request(1)), 5)), emptyList()),
                threeCrashes(request(1)),
                CrashNotices(emptyList(), emptyList(), listOf(QuarantineNotice(encoded(request(1)), 1, 2, 3))),
            )
            for (notices in some) {
                val digest = FleetDigest("i-0", 1, 1, "zone-0", "a:1", "a:2", serves = true, crashNotices = notices)
                peerCodec.decodeUntrusted(FleetDigest.serializer(), peerCodec.encodeToByteArray(digest)) shouldBe digest
            }
        }
    }
})
