package org.cactuspulley.core.membership

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.configuration.FleetSimulation
import org.cactuspulley.core.configuration.servingFleet
import org.cactuspulley.core.event.InstancesListed
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.message.Heartbeat
import org.cactuspulley.core.message.InstanceSpread
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import kotlin.time.Duration.Companion.seconds

class MembershipPartSpec : DescribeSpec({
    fun FleetSimulation.SimulatedInstance.sees(id: InstanceId): InstanceState? = membership.membership.instances[id]?.state

    describe("an instance that crashes") {
        it("is suspected by its neighbours before the list drops it") {
            val fleet = servingFleet(seed = 1)
            val crashed = fleet.instances[4]
            fleet.instances.count { it.sees(crashed.id) == InstanceState.LIVE } shouldBe 8
            crashed.crash()
            fleet.run(4.seconds)
            fleet.instanceList.read(fleet.now).any { it.id == crashed.id } shouldBe true
            (fleet.instances - crashed).any { it.sees(crashed.id) == null } shouldBe true
        }

        it("is known to every instance again after its restart") {
            val fleet = servingFleet(seed = 2)
            fleet.instances[4].crash()
            fleet.run(20.seconds)
            fleet.instances[4].start()
            fleet.runUntil(10.seconds) { fleet.instances.all { it.sees(fleet.instances[4].id) == InstanceState.LIVE } }.shouldNotBeNull()
        }
    }

    describe("an instance that starts again at another address") {
        val part = MembershipPart(Instance(InstanceId("i0"), InstanceIncarnation(1), "10.0.0.1:80", "10.0.0.1:70", ZoneName("z0")))
        val restarted = Instance(InstanceId("i1"), InstanceIncarnation(2), "10.0.0.3:80", "10.0.0.3:70", ZoneName("z0"))
        val former = restarted.copy(
            incarnation = InstanceIncarnation(1),
            address = "10.0.0.2:80",
            peerAddress = "10.0.0.2:70",
            state = InstanceState.LEAVING,
        )
        val now = MonotonicTime.ZERO + 100.seconds

        fun receive(message: PeerMessage) = part.handle(PeerMessageReceived(restarted.id, message), now)

        // Guards against entry answers that name the address of a process that has ended.
        it("is not known as live at its former address when its heartbeat arrives before its announcement") {
            part.handle(InstancesListed(listOf(former), 1, now), now)
            receive(Heartbeat(1, restarted.incarnation, InstanceState.LIVE, 0, 0, 0, needsEvidence = false))
            part.membership.live.map { it.address } shouldBe listOf("10.0.0.1:80")
            receive(InstanceSpread(restarted))
            part.membership.instances[restarted.id] shouldBe restarted
        }
    }

    describe("an instance that leaves") {
        it("is known to be leaving on every instance within 1 s, although the list lags") {
            val fleet = servingFleet(seed = 3)
            fleet.instanceList.lag = 8.seconds
            fleet.instances[1].handle(StopRequested(fleet.now + 60.seconds))
            fleet.runUntil(5.seconds) { fleet.instances.all { it.sees(fleet.instances[1].id) == InstanceState.LEAVING } }
                .shouldNotBeNull() shouldBeLessThanOrEqualTo 1.seconds
        }

        it("is not marked live again by a lagging list") {
            val fleet = servingFleet(seed = 4)
            fleet.instanceList.lag = 8.seconds
            fleet.instances[1].handle(StopRequested(fleet.now + 60.seconds))
            repeat(20) {
                fleet.run(1.seconds)
                fleet.instances.map { it.sees(fleet.instances[1].id) }.toSet() shouldBe setOf(InstanceState.LEAVING)
            }
        }
    }

    describe("an outage of the instance list") {
        it("does not remove live instances") {
            val fleet = servingFleet(seed = 5)
            fleet.instanceList.isUp = false
            fleet.run(60.seconds)
            fleet.instances.map { it.membership.membership.live.size }.toSet() shouldBe setOf(8)
        }
    }

    describe("a pause of an instance") {
        it("does not make it suspect its neighbours") {
            val fleet = servingFleet(seed = 6)
            val paused = fleet.instances[0]
            paused.pause(6.seconds)
            fleet.run(7.seconds)
            paused.membership.membership.live.size shouldBe 8
        }
    }

    describe("the neighbour graph") {
        for (size in listOf(2, 5, 8, 60, 410)) {
            it("of $size instances is connected, with short paths from the first instance and a small out-degree") {
                val instances = (0 until size).map {
                    Instance(InstanceId("i$it"), InstanceIncarnation(1), "", "", ZoneName("z${it % 5}"))
                }
                val links = instances.associate { from -> from.id to neighboursOf(from, instances).map { it.id } }
                links.values.maxOf { it.size } shouldBeLessThanOrEqualTo MAX_NEIGHBOURS
                eccentricityOfFirst(links) shouldBeLessThanOrEqualTo 6
            }
        }
    }
})

/** Returns the maximum distance between the first instance and any other, with links followed in both directions. */
private fun eccentricityOfFirst(links: Map<InstanceId, List<InstanceId>>): Int {
    val adjacency = links.flatMap { (from, to) -> to.flatMap { listOf(from to it, it to from) } }.groupBy({ it.first }, { it.second })
    val reached = mutableSetOf(links.keys.first())
    var frontier: Set<InstanceId> = reached.toSet()
    var steps = 0
    while (reached.size < links.size) {
        frontier = frontier.flatMap { adjacency.getValue(it) }.toSet() - reached
        check(frontier.isNotEmpty()) { "the graph is not connected" }
        reached += frontier
        steps += 1
    }
    return steps
}
