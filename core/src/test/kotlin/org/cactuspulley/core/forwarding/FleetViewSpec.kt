package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun member(name: String, incarnation: Long, zone: String = "zone-a", address: String = "$name:1") =
    FleetMember(InstanceId(name), InstanceIncarnation(incarnation), ZoneName(zone), address, "$name:2")

private fun at(time: Duration) = MonotonicTime.ZERO + time

class FleetViewSpec : DescribeSpec({
    describe("a peer") {
        it("is live until the timeout after the last contact") {
            val fleet = FleetView(member("self", 1))
            fleet.recordContact(member("peer", 5), serves = true, reachesStore = true, at(1.seconds)) shouldBe true
            fleet.callerAddresses(null, at(2.seconds)) shouldBe listOf("peer:1")
            fleet.callerAddresses(null, at(3.seconds)).shouldBeEmpty()
        }

        it("of an older incarnation is ignored while the newer one is live") {
            val fleet = FleetView(member("self", 1))
            fleet.recordContact(member("peer", 5, address = "new:1"), serves = true, reachesStore = true, at(1.seconds))
            fleet.recordContact(
                member("peer", 4, address = "old:1"),
                serves = true,
                reachesStore = true,
                at(1_200.milliseconds),
            ) shouldBe false
            fleet.callerAddresses(null, at(1_300.milliseconds)) shouldBe listOf("new:1")
        }

        it("becomes live again after a restart with its clock set back") {
            val fleet = FleetView(member("self", 1))
            fleet.recordContact(member("peer", 9_000), serves = true, reachesStore = true, at(1.seconds))
            fleet.recordContact(member("peer", 7_000, address = "again:1"), serves = true, reachesStore = true, at(4.seconds)) shouldBe true
            fleet.callerAddresses(null, at(4.seconds)) shouldBe listOf("again:1")
        }
    }

    describe("the store readers") {
        fun fleets(reachable: Set<Int>, size: Int = 20): List<Boolean> = (1..size).map { own ->
            FleetView(member("i-$own", 1)).also { fleet ->
                (1..size).forEach { fleet.recordContact(member("i-$it", 1), serves = true, reachesStore = it in reachable, at(1.seconds)) }
            }.isStoreReader(at(1.seconds))
        }

        it("are three instances in fleets of any size") {
            fleets((1..20).toSet()).count { it } shouldBe 3
            fleets((1..100).toSet(), 100).count { it } shouldBe 3
        }

        it("are replaced by other instances when they lose the store") {
            val readers = fleets((1..20).toSet()).withIndex().filter { it.value }.map { it.index + 1 }
            val rest = (1..20).toSet() - readers.toSet()
            fleets(rest).filterIndexed { index, _ -> index + 1 in rest }.count { it } shouldBe 3
        }

        it("include an instance without contact to its peers") {
            val fleet = FleetView(member("self", 1))
            (1..20).forEach { fleet.recordContact(member("i-$it", 1), serves = true, reachesStore = true, at(1.seconds)) }
            fleet.isStoreReader(at(5.seconds)) shouldBe true
        }
    }

    describe("the relays of a zone") {
        // Guards against relays whose links are filled by what they pass on, so that news of targets and operators is lost.
        it("are those with the fastest links, in an order on which all instances agree") {
            fun instance(number: Int) = member("i-$number", 1).copy(linkMegabits = if (number in setOf(4, 13)) 140.0 else 7.0)
            val relays = (1..20).map { own ->
                val fleet = FleetView(instance(own))
                (1..20).forEach { fleet.recordContact(instance(it), serves = true, reachesStore = true, at(1.seconds)) }
                fleet.zoneRelays(ZoneName("zone-a"), at(1.seconds)).map { it.id.text }
            }.toSet()
            relays.single().toSet() shouldBe setOf("i-4", "i-13")
        }

        it("are replaced by others when they are not live") {
            val fleet = FleetView(member("self", 1))
            fleet.recordContact(member("fast", 1).copy(linkMegabits = 140.0), serves = true, reachesStore = true, at(1.seconds))
            (1..5).forEach { fleet.recordContact(member("i-$it", 1), serves = true, reachesStore = true, at(4.seconds)) }
            fleet.zoneRelays(ZoneName("zone-a"), at(4.seconds)).map { it.id.text }.contains("fast") shouldBe false
        }
    }

    describe("the addresses for callers") {
        it("name live serving instances, those in the caller's zone first") {
            val fleet = FleetView(member("self", 1))
            fleet.recordContact(member("far", 1, "zone-b"), serves = true, reachesStore = true, at(1.seconds))
            fleet.recordContact(member("starting", 1), serves = false, reachesStore = true, at(1.seconds))
            fleet.callerAddresses(null, at(1.seconds)) shouldBe listOf("far:1")
            fleet.selfServes = true
            fleet.callerAddresses(ZoneName("zone-a"), at(1.seconds)) shouldBe listOf("self:1", "far:1")
            fleet.callerAddresses(ZoneName("zone-b"), at(1.seconds)) shouldBe listOf("far:1", "self:1")
            fleet.callerAddresses(null, at(3.seconds)) shouldBe listOf("self:1")
        }

        // Guards against callers of a zone that all depend on one instance.
        it("are only those of the caller's zone if it suffices and five instances serve there") {
            val fleet = FleetView(member("self", 1))
            fleet.selfServes = true
            fleet.recordContact(member("far", 1, "zone-b"), serves = true, reachesStore = true, at(1.seconds))
            fleet.callerAddresses(ZoneName("zone-a"), at(1.seconds), zoneSuffices = true) shouldBe listOf("self:1", "far:1")
            val near = (1..4).map { "near-$it" }
            near.dropLast(1).forEach { fleet.recordContact(member(it, 1), serves = true, reachesStore = true, at(2.seconds)) }
            fleet.callerAddresses(ZoneName("zone-a"), at(2.seconds), zoneSuffices = true).last() shouldBe "far:1"
            fleet.recordContact(member(near.last(), 1), serves = true, reachesStore = true, at(2.seconds))
            val addresses = fleet.callerAddresses(ZoneName("zone-a"), at(2.seconds), zoneSuffices = true)
            addresses.toSet() shouldBe near.map { "$it:1" }.toSet() + "self:1"
            fleet.callerAddresses(ZoneName("zone-a"), at(2.seconds), zoneSuffices = false).size shouldBe 6
            fleet.callerAddresses(null, at(2.seconds), zoneSuffices = true).size shouldBe 6
        }
    }
})
