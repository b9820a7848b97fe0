package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.settings.FleetBounds
import org.cactuspulley.runtime.settings.RoutingSettings

class RoutingSwitchesSpec : DescribeSpec({
    fun state(routing: RoutingSettings) = ForwardingState(
        FleetMember(InstanceId("i-1"), InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2"),
        FleetBounds(),
        MonotonicTime.ZERO,
        routing = routing,
    )

    describe("the state of an instance") {
        // Guards against deployments whose routing changes although their settings do not ask for it.
        it("has no part that selects targets by zone or speed unless the settings ask for it") {
            val usual = state(RoutingSettings())
            (usual.zoneBalance to usual.targetSpeeds) shouldBe (null to null)
            val zones = state(RoutingSettings(zoneBalancing = true))
            ((zones.zoneBalance != null) to (zones.targetSpeeds != null)) shouldBe (true to false)
            val speeds = state(RoutingSettings(targetSpeed = true))
            ((speeds.zoneBalance != null) to (speeds.targetSpeeds != null)) shouldBe (false to true)
        }
    }
})
