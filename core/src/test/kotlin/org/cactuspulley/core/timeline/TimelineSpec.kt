package org.cactuspulley.core.timeline

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll

class TimelineSpec : DescribeSpec({
    describe("a hybrid logical clock") {
        it("returns strictly increasing readings, whatever the wall clock shows") {
            checkAll(PropTestConfig(seed = 11), Arb.list(Arb.long(0L..50L), 1..100)) { walls ->
                val clock = HybridClock()
                val readings = walls.map(clock::tick)
                readings.zipWithNext().all { (first, second) -> first < second } shouldBe true
            }
        }

        it("orders the receipt of a message after its sending although the local wall clock is behind") {
            val sender = HybridClock()
            val receiver = HybridClock()
            val sent = sender.tick(wallMillis = 5_000)
            receiver.observe(sent, wallMillis = 1_000)
            (receiver.tick(wallMillis = 1_000) > sent) shouldBe true
        }

        it("ignores a reading beyond the maximum lead") {
            val clock = HybridClock()
            clock.observe(HybridTime(HybridClock.MAXIMUM_LEAD_MILLIS + 2, 0), wallMillis = 1)
            clock.tick(wallMillis = 1) shouldBe HybridTime(1, 0)
        }
    }

    describe("a timeline") {
        it("keeps the latest entries and counts the dropped ones") {
            val timeline = Timeline("i1", capacity = 2)
            repeat(5) { timeline.record(ProcessStopped(requestsCut = it), wallMillis = it.toLong()) }
            timeline.snapshot().map { it.event } shouldBe listOf(ProcessStopped(3), ProcessStopped(4))
            timeline.dropped shouldBe 3
        }

        it("is merged with other timelines in order of time") {
            checkAll(PropTestConfig(seed = 12), Arb.list(Arb.int(0..9), 0..40)) { times ->
                val timelines = (1..3).map { Timeline("i$it", capacity = 100) }
                times.forEachIndexed { index, time -> timelines[index % 3].record(ProcessStopRequested, time.toLong()) }
                mergeTimelines(timelines.map { it.snapshot() }).map { it.time }.shouldBeSorted()
            }
        }
    }
})
