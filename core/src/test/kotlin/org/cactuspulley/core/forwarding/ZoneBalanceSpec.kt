package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val OWN = ZoneName("zone-a")
private val OTHER = ZoneName("zone-b")
private val FLOW = ZoneFlow(POOL, grant().route.name)

/** The time between two requests at a load of 50 requests per second. */
private val INTERVAL = 20.milliseconds

private fun terms(now: MonotonicTime, objective: Duration = 800.milliseconds, units: Double = 1.0, bytes: Int = 1_000) =
    RequestTerms(now + objective, now + 5.seconds, units, usualTotal = 2.seconds, bodyBytes = bytes)

/** A balance that has observed that a unit of load takes 100 ms. */
private fun learnedBalance(seed: Int = 1) = ZoneBalance(OWN, Random(seed), minimumTargets = 4).apply {
    (1..100).forEach { recordStart(FLOW, OWN, ExpectedWork(1.0 + it % 5, 0.0), 2.seconds, 100.milliseconds * (1 + it % 5), START) }
}

private class TwoZones(seed: Int = 1, val balance: ZoneBalance? = learnedBalance()) {
    val directory = TargetDirectory().apply {
        (1..4).forEach { upsert(entry("a-$it", zone = "zone-a")) }
        (1..4).forEach { upsert(entry("b-$it", zone = "zone-b")) }
    }
    private val limits = TargetRateLimits(FleetView(fleetMember("i-1")))
    private val selector = TargetSelector(directory, OWN, limits, Random(seed), balance)

    fun target(id: String) = directory[TargetId(id)] ?: error("no target $id")

    fun load(zone: String, units: Double) = directory.all.filter { it.entry.zone.text == zone }.forEach { it.load.add(units) }

    fun target(now: MonotonicTime, tried: Set<TargetId> = emptySet(), prompt: PromptDescription? = prompt(1)): Target {
        val criteria = SelectionCriteria(grant(), prompt, tried, null, null, terms = terms(now))
        return selector.select(criteria, now) ?: error("no target")
    }

    /** The targets of [count] successive requests after [from]. */
    fun targets(
        count: Int,
        from: MonotonicTime,
    ): List<Target> = (1..count).map { target(from + INTERVAL * it, prompt = prompt(it.toLong())) }

    /** The zones of [count] successive requests after [from]. */
    fun zones(count: Int, from: MonotonicTime): List<String> = targets(count, from).map { it.entry.zone.text }
}

class ZoneBalanceSpec : DescribeSpec({
    describe("a zone with a quiet load") {
        // Guards against requests that leave because single targets are briefly above the mean load of the whole pool.
        it("serves all of its requests, also while each of its targets is above the mean of the pool") {
            val zones = TwoZones()
            zones.load("zone-a", 3.0)
            zones.zones(500, START).toSet() shouldBe setOf("zone-a")
        }

        // Guards against waiting behind one busy target of the zone although another one there would start in time.
        it("sends a request to another of its targets if the one with the prefix would start it late") {
            val zones = TwoZones()
            zones.load("zone-a", 5.0)
            zones.target("a-1").load.add(3.0)
            zones.targets(200, START).map { it.id.text }.toSet() shouldBe setOf("a-2", "a-3", "a-4")
        }

        // Guards against a few targets that read the prompts of a whole zone and can't make up for one that is lost.
        it("sends its requests to the targets of all zones if it has fewer than the least number of them") {
            val zones = TwoZones(balance = ZoneBalance(OWN))
            zones.zones(50, START).toSet() shouldBe setOf("zone-a", "zone-b")
        }

        it("serves its requests also before anything is known of start latencies") {
            val zones = TwoZones(balance = ZoneBalance(OWN, minimumTargets = 4))
            zones.load("zone-a", 50.0)
            zones.zones(50, START).toSet() shouldBe setOf("zone-a")
        }
    }

    describe("a zone with more load than it can start in time") {
        it("passes on a share that grows gradually, so that not all requests leave at once") {
            val zones = TwoZones()
            zones.load("zone-a", 11.0)
            val sent = zones.zones(200, START)
            sent.take(15).count { it == "zone-b" } shouldBeLessThan 8
            sent.takeLast(100).count { it == "zone-b" } shouldBe 100
        }

        it("passes on nothing that the other zone can't start in time beside its own requests") {
            val zones = TwoZones()
            zones.load("zone-a", 11.0)
            zones.load("zone-b", 6.0)
            zones.zones(200, START).toSet() shouldBe setOf("zone-a")
        }

        it("keeps its requests if the network to the other zone takes what they would gain") {
            val zones = TwoZones()
            zones.load("zone-a", 11.0)
            repeat(100) { zones.balance?.recordStart(FLOW, OTHER, ExpectedWork(1.0, 0.0), 2.seconds, 900.milliseconds, START) }
            zones.zones(200, START).toSet() shouldBe setOf("zone-a")
        }

        it("passes on a request that can only meet its deadline if the other zone can meet it and the own one can't") {
            val zones = TwoZones()
            zones.load("zone-a", 60.0)
            zones.load("zone-b", 20.0)
            zones.zones(200, START).takeLast(100).toSet() shouldBe setOf("zone-b")
        }

        // Guards against paying for the transfer of the largest bodies when smaller ones suffice.
        it("passes on large bodies less often than small ones") {
            val balance = learnedBalance()
            var small = 0
            var large = 0
            repeat(50) { round ->
                val now = START + INTERVAL * round
                if (balance.leaves(FLOW, terms(now, bytes = 1_000), 1.seconds, 100.milliseconds, now)) small++
                if (balance.leaves(FLOW, terms(now, bytes = 50_000), 1.seconds, 100.milliseconds, now)) large++
            }
            small shouldBeGreaterThan large
        }
    }

    describe("a zone that recovers") {
        // Guards against flooding a zone whose targets have just returned.
        it("gets its requests back gradually and then keeps all of them") {
            val zones = TwoZones()
            zones.directory.all.filter { it.entry.zone == OWN }.forEach { it.health.recordFailure(SendFailure.UNREACHABLE, START) }
            zones.zones(30, START).toSet() shouldBe setOf("zone-b")
            zones.balance?.share(FLOW) shouldBe 1.0
            val returned = zones.zones(200, START + 700.milliseconds)
            returned.take(15).count { it == "zone-a" } shouldBeLessThan 9
            returned.takeLast(100).toSet() shouldBe setOf("zone-a")
        }

        // Guards against a load that moves back and forth between the zones.
        it("does not change its share while its own targets start requests just in time") {
            val balance = learnedBalance()
            repeat(20) { balance.leaves(FLOW, terms(START + INTERVAL * it), 1.seconds, 100.milliseconds, START + INTERVAL * it) }
            val share = balance.share(FLOW)
            share.shouldBeBetween(0.1, 0.9, 0.0)
            (20..500).map { START + INTERVAL * it }.forEach { balance.leaves(FLOW, terms(it), 700.milliseconds, 100.milliseconds, it) }
            balance.share(FLOW) shouldBe share
        }
    }

    describe("a request that has failed at all targets of its zone") {
        // Guards against other requests that leave because of one that can't be sent to the zone's targets again.
        it("leaves without a change of the share") {
            val zones = TwoZones()
            val tried = zones.directory.all.filter { it.entry.zone == OWN }.map { it.id }.toSet()
            repeat(20) { zones.target(START + INTERVAL * it, tried).entry.zone shouldBe OTHER }
            zones.balance?.share(FLOW) shouldBe 0.0
        }
    }

    describe("a lost link to the other zone") {
        it("keeps requests in the zone after two requests in a row that got no sign, until a later one gets through") {
            val zones = TwoZones()
            zones.load("zone-a", 11.0)
            zones.zones(100, START).last() shouldBe "zone-b"
            val lostAt = START + 2.seconds
            repeat(2) { zones.balance?.recordFailure(OTHER, SendFailure.UNREACHABLE, lostAt) }
            zones.zones(20, lostAt).toSet() shouldBe setOf("zone-a")
            zones.balance?.recordStart(FLOW, OTHER, ExpectedWork(1.0, 0.0), 2.seconds, 104.milliseconds, lostAt + 500.milliseconds)
            zones.zones(100, lostAt + 500.milliseconds).last() shouldBe "zone-b"
        }

        it("is not assumed because of a single target without a connection") {
            val balance = learnedBalance()
            balance.recordFailure(OTHER, SendFailure.UNREACHABLE, START)
            balance.isReachable(OTHER, START) shouldBe true
        }
    }

    describe("the callers of a zone") {
        it("are sent to other zones while much of its load leaves, and not after that") {
            val balance = learnedBalance()
            balance.hasCapacity(START) shouldBe true
            repeat(64) { balance.recordForcedLeaving(FLOW, START + INTERVAL * it) }
            val later = START + 2.seconds
            balance.hasCapacity(later) shouldBe false
            balance.hasCapacity(later + 10.seconds) shouldBe true
            repeat(200) { balance.leaves(FLOW, terms(later), 100.milliseconds, 100.milliseconds, later + INTERVAL * it) }
            balance.hasCapacity(later + 4.seconds) shouldBe true
        }
    }

    describe("a zone whose load comes from instances that send no digests") {
        // Guards against filling a zone further because the instances of another release or behind a lost link report no load.
        it("passes requests on while its targets report more requests than slots, and takes them back afterwards") {
            val zones = TwoZones()
            val report = ReportedLoad(running = 8, waiting = 8, slots = 8, at = START)
            zones.directory.all.filter { it.entry.zone == OWN }.forEach { it.health.recordLoad(report) }
            zones.zones(19, START).count { it == "zone-b" } shouldBeGreaterThan 3
            zones.zones(200, START + 2.seconds).takeLast(100).toSet() shouldBe setOf("zone-a")
        }
    }

    describe("requests to a plain service") {
        it("wait for the slots of their zone while they are on time, and leave it if they would be late") {
            val zones = TwoZones()
            fun sent(from: MonotonicTime) = (1..100).map { zones.target(from + INTERVAL * it, prompt = null).entry.zone }
            zones.load("zone-a", 30.0)
            sent(START).toSet() shouldBe setOf(OWN)
            zones.load("zone-a", 50.0)
            sent(START + 3.seconds).takeLast(20).toSet() shouldBe setOf(OTHER)
        }
    }

    describe("the selection without zone balancing") {
        it("gives prompts to the targets of all zones alike, as before") {
            val sent = TwoZones(balance = null).zones(400, START)
            sent.count { it == "zone-b" }.toDouble().shouldBeBetween(150.0, 250.0, 0.0)
        }
    }

    describe("reported changes of a share") {
        it("are those of a tenth or more, and the return to zero") {
            val balance = learnedBalance()
            repeat(10) { balance.leaves(FLOW, terms(START), 1.seconds, 100.milliseconds, START + INTERVAL * it) }
            balance.drainShareChanges().map { it.flow } shouldBe listOf(FLOW)
            balance.drainShareChanges() shouldBe emptyList()
            val later = START + 1.seconds
            repeat(100) { balance.leaves(FLOW, terms(later), 100.milliseconds, 100.milliseconds, later + INTERVAL * it) }
            balance.drainShareChanges() shouldBe listOf(ZoneShareChange(FLOW, 0.0))
        }
    }
})
