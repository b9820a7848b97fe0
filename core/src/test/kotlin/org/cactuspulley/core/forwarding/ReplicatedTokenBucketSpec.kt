package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Instances in virtual time that admit one workspace's requests and report their consumption to each other every 400 ms. */
private class TokenBucketFleet(instances: Int, private val limit: TokenBucketLimit, private val window: Duration, seed: Int) {
    private val random = Random(seed)
    private val incarnations = LongArray(instances) { 1 }
    private val copies = MutableList(instances) { ReplicatedTokenBucket(limit, MonotonicTime.ZERO) }
    private var steps = 0
    private val admitted = ArrayList<Pair<MonotonicTime, Double>>()
    private var now = MonotonicTime.ZERO
    val total get() = admitted.sumOf { it.second }

    fun restartAll() = copies.indices.forEach(::restart)

    fun restart(instance: Int) {
        incarnations[instance]++
        copies[instance] = ReplicatedTokenBucket(limit, now)
    }

    /** Offers [perSecond] units per second in requests of [cost] for [duration]; [cutOff] instances neither send nor receive reports. */
    fun run(duration: Duration, perSecond: Double, cost: Double, cutOff: Set<Int> = emptySet()) {
        val step = 10.milliseconds
        repeat((duration / step).toInt()) {
            now += step
            val index = steps++
            if (random.nextDouble() < perSecond / cost / 100) admit(cost)
            if (index % 40 == 0 || (index % 10 == 0 && copies.any { it.isRunningLow(now) })) exchangeUsage(cutOff)
        }
    }

    private fun admit(cost: Double) {
        if (copies.random(random).tryConsume(cost, now)) admitted += now to cost
    }

    private fun exchangeUsage(cutOff: Set<Int>) = copies.forEachIndexed { from, copy ->
        val usage = copy.usage(now)
        copies.forEachIndexed { to, other ->
            if (from != to && from !in cutOff &&
                to !in cutOff
            ) {
                other.recordPeerUsage(InstanceId("i-$from"), InstanceIncarnation(incarnations[from]), usage, now)
            }
        }
    }

    /** Returns the most units that were admitted within any window. */
    fun worstWindow(): Double = admitted.maxOf { (at, _) ->
        admitted.filter { it.first >= at && it.first < at + window }.sumOf { it.second }
    }
}

class ReplicatedTokenBucketSpec : DescribeSpec({
    val window = 8.seconds
    val perWindow = 800_000.0
    val limit = TokenBucketLimit(0.9 * perWindow / 8, 0.2 * perWindow)
    // What the platform tolerates: the units of a window, a tenth more (rateOvershoot) and 110,000 tokens (rateSlackTokens).
    val bound = perWindow * 1.1 + 110_000.0

    describe("a token bucket replicated on seven instances") {
        it("keeps the limit in every window under overload from one workspace") {
            (1..20).forEach { seed ->
                val fleet = TokenBucketFleet(7, limit, window, seed)
                fleet.run(10.seconds, perSecond = 30_000.0, cost = 5_000.0)
                fleet.run(24.seconds, perSecond = 700_000.0, cost = 9_000.0)
                fleet.worstWindow() shouldBeLessThanOrEqualTo bound
            }
        }

        it("grants most of what the limit allows") {
            val fleet = TokenBucketFleet(7, limit, window, 1)
            fleet.run(40.seconds, perSecond = 700_000.0, cost = 9_000.0)
            fleet.total shouldBeGreaterThan 0.85 * 0.9 * 100_000 * 40
        }

        it("keeps the limit across a restart of all instances") {
            (1..20).forEach { seed ->
                val fleet = TokenBucketFleet(7, limit, window, seed)
                fleet.run(20.seconds, perSecond = 300_000.0, cost = 9_000.0)
                fleet.restartAll()
                fleet.run(20.seconds, perSecond = 300_000.0, cost = 9_000.0)
                fleet.worstWindow() shouldBeLessThanOrEqualTo bound
            }
        }

        // Guards against units that are granted twice because peers forget what an instance consumed just before and just after its restart.
        it("keeps the limit while all instances are restarted one after another") {
            val manyPerWindow = 2_400_000.0
            val largeLimit = TokenBucketLimit(0.9 * manyPerWindow / 8, 0.2 * manyPerWindow)
            (1..20).forEach { seed ->
                val fleet = TokenBucketFleet(7, largeLimit, window, seed)
                fleet.run(20.seconds, perSecond = 1_500_000.0, cost = 9_000.0)
                repeat(14) { round ->
                    fleet.restart(round % 7)
                    fleet.run(1_110.milliseconds, perSecond = 1_500_000.0, cost = 9_000.0)
                }
                fleet.worstWindow() shouldBeLessThanOrEqualTo manyPerWindow * 1.1 + 110_000.0
            }
        }

        it("keeps the limit while one instance is cut off for a few seconds") {
            (1..20).forEach { seed ->
                val fleet = TokenBucketFleet(7, limit, window, seed)
                fleet.run(20.seconds, perSecond = 300_000.0, cost = 9_000.0)
                fleet.run(3.seconds, perSecond = 300_000.0, cost = 9_000.0, cutOff = setOf(2))
                fleet.run(10.seconds, perSecond = 300_000.0, cost = 9_000.0)
                fleet.worstWindow() shouldBeLessThanOrEqualTo bound
            }
        }
    }

    describe("a single copy of a token bucket") {
        val settled = MonotonicTime.ZERO + 20.seconds

        it("admits everything within the limit") {
            val copy = ReplicatedTokenBucket(limit, MonotonicTime.ZERO)
            (1..20).all { copy.tryConsume(8_000.0, settled) } shouldBe true
            copy.tryConsume(1.0, settled) shouldBe false
            copy.timeUntilAvailable(9_000.0, settled) shouldBe 100.milliseconds
            copy.tryConsume(9_000.0, settled + 100.milliseconds) shouldBe true
        }

        it("applies a lowered limit immediately") {
            val copy = ReplicatedTokenBucket(limit, MonotonicTime.ZERO)
            copy.changeLimit(TokenBucketLimit(1_000.0, 5_000.0), settled)
            copy.tryConsume(5_001.0, settled) shouldBe false
            copy.tryConsume(5_000.0, settled) shouldBe true
        }

        it("returns the units of a request that did not run") {
            val copy = ReplicatedTokenBucket(limit, MonotonicTime.ZERO)
            copy.tryConsume(limit.capacity, settled)
            copy.refund(limit.capacity, settled)
            copy.tryConsume(limit.capacity, settled) shouldBe true
        }

        it("deducts what a restarted peer consumed before its first report") {
            val copy = ReplicatedTokenBucket(limit, MonotonicTime.ZERO)
            copy.recordPeerUsage(InstanceId("i-2"), InstanceIncarnation(1), TokenBucketUsage(50_000.0, 0.0, 0.0), settled)
            copy.recordPeerUsage(InstanceId("i-2"), InstanceIncarnation(2), TokenBucketUsage(20_000.0, 0.0, 0.0), settled)
            copy.available(settled) shouldBe limit.capacity - 20_000.0
        }

        it("deducts what a restarted peer probably consumed after the last report before its restart") {
            val copy = ReplicatedTokenBucket(limit, MonotonicTime.ZERO)
            copy.recordPeerUsage(InstanceId("i-2"), InstanceIncarnation(1), TokenBucketUsage(0.0, 100_000.0, 0.0), settled)
            val restart = settled + 200.milliseconds
            copy.recordPeerUsage(InstanceId("i-2"), InstanceIncarnation(2), TokenBucketUsage(0.0, 0.0, 0.0), restart)
            copy.available(restart) shouldBe limit.capacity - 20_000.0
        }

        // Guards against a workspace that ranks as a heavy one long after the instance that served it was lost.
        it("counts the consumption of all instances, that of a peer as long as its report is recent") {
            val copy = ReplicatedTokenBucket(limit, MonotonicTime.ZERO)
            copy.recordPeerUsage(InstanceId("i-2"), InstanceIncarnation(1), TokenBucketUsage(0.0, 40_000.0, 0.0), settled)
            copy.tryConsume(15_000.0, settled)
            copy.fleetRate(settled) shouldBe 50_000.0
            copy.fleetRate(settled + 60.seconds) shouldBeLessThan 1.0
        }

        // Guards against units that each restarted instance grants from the level and the refill that it assumes before it hears its peers.
        it("replaces the level that it assumed by the one that a peer reports, less what it has consumed") {
            val copy = ReplicatedTokenBucket(limit, settled)
            copy.tryConsume(9_000.0, settled) shouldBe true
            val heard = settled + 200.milliseconds
            copy.recordPeerUsage(InstanceId("i-2"), InstanceIncarnation(1), TokenBucketUsage(50_000.0, 0.0, 15_000.0), heard)
            copy.available(heard) shouldBe 6_000.0
        }

        it("starts almost empty, and adopts the level that a peer reports") {
            val copy = ReplicatedTokenBucket(limit, settled)
            copy.tryConsume(limit.capacity / 8, settled) shouldBe false
            copy.recordPeerUsage(InstanceId("i-2"), InstanceIncarnation(1), TokenBucketUsage(50_000.0, 0.0, 90_000.0), settled)
            copy.tryConsume(90_000.0, settled) shouldBe true
        }
    }
})
