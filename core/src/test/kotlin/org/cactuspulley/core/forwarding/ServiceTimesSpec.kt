package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.RouteName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServiceTimesSpec : DescribeSpec({
    describe("observed durations") {
        it("have no quantile while there are few") {
            val durations = RecentDurations()
            repeat(4) { durations.record(20.milliseconds, START) }
            durations.quantile(0.5, START) shouldBe null
            durations.record(20.milliseconds, START)
            durations.quantile(0.5, START) shouldBe 20.milliseconds
        }

        it("have the quantile of the newest") {
            val durations = RecentDurations()
            (1..100).forEach { durations.record(it.milliseconds, START) }
            durations.quantile(0.0, START) shouldBe 1.milliseconds
            durations.quantile(0.5, START) shouldBe 50.milliseconds
            repeat(128) { durations.record(500.milliseconds, START) }
            durations.quantile(0.0, START) shouldBe 500.milliseconds
        }

        // Guards against requests that are refused for good because requests were slow under an earlier load.
        it("are forgotten when they are old") {
            val durations = RecentDurations()
            repeat(20) { durations.record(5.seconds, START) }
            durations.quantile(0.5, START + 29.seconds) shouldBe 5.seconds
            durations.quantile(0.5, START + 30.seconds) shouldBe null
        }
    }

    describe("the service times of a route") {
        it("are zero while nothing is known") {
            ServiceTimes().shortestTotal(START) shouldBe Duration.ZERO
            ServiceTimes().medianTotal(START) shouldBe Duration.ZERO
        }

        it("are kept apart by pool and route, until the configuration has no such route") {
            val registry = ServiceTimesRegistry()
            val times = registry.of(POOL, RouteName("route/ask/"))
            repeat(10) { times.recordTotal(1.seconds, START) }
            registry.of(POOL, RouteName("other")).medianTotal(START) shouldBe Duration.ZERO
            registry.retain(configuration())
            registry.of(POOL, RouteName("route/ask/")).medianTotal(START) shouldBe 1.seconds
            registry.retain(configuration(routes = emptyList()))
            registry.of(POOL, RouteName("route/ask/")).medianTotal(START) shouldBe Duration.ZERO
        }
    }
})
