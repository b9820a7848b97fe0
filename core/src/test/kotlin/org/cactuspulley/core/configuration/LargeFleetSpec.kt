package org.cactuspulley.core.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import org.cactuspulley.core.membership.MembershipTiming
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.record.PutProfile
import kotlin.time.Duration.Companion.seconds

class LargeFleetSpec : DescribeSpec({
    describe("410 instances of which only one reads the log") {
        it("apply a change on every instance within 18 s") {
            val timing = ConfigurationTiming(freshnessLimit = 15.seconds, heartbeatInterval = 2.seconds)
            val membershipTiming = MembershipTiming(pollInterval = 5.seconds, registerInterval = 5.seconds, suspicionTimeout = 10.seconds)
            val fleet = FleetSimulation(seed = 1, size = 410, zones = 5, timing = timing, membershipTiming = membershipTiming)
            deploymentRecords(keys = 3).forEach { fleet.log.append(it) }
            fleet.startAll()
            fleet.run(15.seconds)
            fleet.instances.drop(1).forEach { it.readsLog = false }
            fleet.run(3.seconds)
            val offset = fleet.log.append(PutProfile(deskProfile.copy(weight = 7), LogOffset(0)))
            val took = fleet.runUntil(30.seconds) { fleet.instances.all { it.configuration.effective.next > offset } }
            took.shouldNotBeNull() shouldBeLessThanOrEqualTo 18.seconds
            println("the change was in force on 410 instances after $took of virtual time")
        }
    }
})
