package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a whole request takes; changes count after half of it. */
private val REQUEST_TIME = 1.seconds
private val PERIOD = 50.milliseconds
private val PEER = InstanceId("i-2")

/** Reports [slowdowns] one after the other, one in each [PERIOD] from [from] on; returns the time after the last one. */
private fun TargetSpeed.report(slowdowns: List<Double>, from: MonotonicTime = START): MonotonicTime {
    slowdowns.forEachIndexed { index, slowdown -> recordReport(slowdown, REQUEST_TIME, from + PERIOD * index) }
    return from + PERIOD * slowdowns.size
}

class TargetSpeedSpec : DescribeSpec({
    describe("the slowdown of a target") {
        it("is usual while fewer than three responses say otherwise") {
            val speed = TargetSpeed()
            speed.slowdown(START) shouldBe 1.0
            speed.report(listOf(5.0, 5.0))
            speed.slowdown(START + 100.milliseconds) shouldBe 1.0
        }

        // Guards against moving prefixes away from a target because of figures that jump from response to response.
        it("is not changed by single outliers") {
            val speed = TargetSpeed()
            val end = speed.report((1..40).map { if (it % 4 == 0) 9.0 else 1.0 })
            speed.slowdown(end) shouldBe 1.0
        }

        it("follows a change that lasts longer than half of a request, and not a shorter one") {
            val speed = TargetSpeed()
            val changedAt = speed.report(List(40) { 1.0 })
            val soonAfter = speed.report(List(5) { 3.0 }, changedAt)
            speed.slowdown(soonAfter) shouldBe 1.0
            val later = speed.report(List(10) { 3.0 }, soonAfter)
            speed.slowdown(later) shouldBe 3.0
        }

        it("follows the start latencies of a target that reports no figure") {
            val speed = TargetSpeed()
            repeat(10) { speed.recordStart(2.5, REQUEST_TIME, START + PERIOD * it) }
            speed.slowdown(START + 500.milliseconds) shouldBe 2.5
        }

        it("is limited, whatever a target or a peer reports") {
            val speed = TargetSpeed()
            val end = speed.report(List(10) { 1e6 })
            speed.slowdown(end) shouldBe 10.0
            val other = TargetSpeed()
            listOf(Double.NaN, 0.0, -1.0, Double.POSITIVE_INFINITY).forEach { other.recordPeer(PEER, it, START + 1.seconds) }
            other.slowdown(START) shouldBe 1.0
        }
    }

    describe("the changes for operators") {
        it("are those by half or more") {
            val speed = TargetSpeed()
            val end = speed.report(List(10) { 1.3 })
            speed.drainChange(end) shouldBe null
            val later = speed.report(List(20) { 2.0 }, end)
            speed.drainChange(later) shouldBe 2.0
            speed.drainChange(later) shouldBe null
        }
    }

    describe("the estimate of a peer") {
        it("counts for a target that this instance has not observed, until the peer is lost") {
            val speed = TargetSpeed()
            speed.recordPeer(PEER, 2.0, START + 900.milliseconds)
            speed.slowdown(START) shouldBe 2.0
            speed.slowdown(START + 900.milliseconds) shouldBe 1.0
        }

        it("does not outweigh what this instance observes itself") {
            val speed = TargetSpeed()
            val end = speed.report(List(10) { 1.0 })
            speed.recordPeer(PEER, 4.0, end + 1.seconds)
            speed.slowdown(end) shouldBe 1.0
        }

        it("is sent only if it is fresh and differs from usual by more than the noise") {
            val slow = TargetSpeed()
            val end = slow.report(List(10) { 1.7 })
            slow.reportToPeers(end) shouldBe 1.7
            slow.reportToPeers(end + 1.seconds) shouldBe null
            val usual = TargetSpeed()
            usual.report(List(10) { 1.1 })
            usual.reportToPeers(end) shouldBe null
        }
    }

    describe("a pool with a target at a third of the usual speed") {
        fun directory() = TargetDirectory().apply { (1..4).forEach { upsert(entry("t-$it")) } }

        fun selector(directory: TargetDirectory, speeds: TargetSpeeds?) =
            TargetSelector(directory, ZoneName("zone-a"), TargetRateLimits(FleetView(fleetMember("i-1"))), Random(1), speeds = speeds)

        fun criteria(subject: Long) = SelectionCriteria(grant(), prompt(subject), emptySet(), null, null)

        /** How many of [count] unfinished requests each target has got. */
        fun sent(directory: TargetDirectory, speeds: TargetSpeeds?, count: Int, subject: (Int) -> Long): Map<String, Int> {
            val selector = selector(directory, speeds)
            return (1..count).map { number ->
                val now = START + 500.milliseconds
                val target = selector.select(criteria(subject(number)), now) ?: error("no target")
                target.load.add(1.0)
                target.id.text
            }.groupingBy { it }.eachCount()
        }

        it("gives it about a third of the requests of the others, and as many as the others while the setting is off") {
            val slow = directory().apply { get(TargetId("t-1"))?.speed?.report(List(10) { 3.0 }) }
            val shares = sent(slow, TargetSpeeds(), 300) { it.toLong() }
            shares.getValue("t-1").toDouble().shouldBeBetween(15.0, 45.0, 0.0)
            val off = directory().apply { get(TargetId("t-1"))?.speed?.report(List(10) { 3.0 }) }
            sent(off, null, 300) { it.toLong() }.getValue("t-1").toDouble().shouldBeBetween(50.0, 100.0, 0.0)
        }

        it("spreads a hot prefix over more targets if the first one for it is slow") {
            val first = selector(directory(), null).select(criteria(7), START)?.id ?: error("no target")
            val slow = directory().apply { get(first)?.speed?.report(List(10) { 3.0 }) }
            val onSlow = sent(slow, TargetSpeeds(), 40) { 7L }.getOrDefault(first.text, 0)
            onSlow shouldBeLessThan sent(directory(), null, 40) { 7L }.getValue(first.text)
            onSlow shouldBeGreaterThan 0
        }

        // Guards against a target that is never used again because nothing shows that it has recovered.
        it("probes a slow target that has received nothing, with one request at a time, until it has recovered") {
            val directory = directory()
            val slow = directory[TargetId("t-1")] ?: error("no target")
            val end = slow.speed.report(List(10) { 10.0 })
            val selector = selector(directory, TargetSpeeds())
            (1..20).count { selector.select(criteria(it.toLong()), end) === slow } shouldBe 0
            val probeAt = end + 1.seconds
            (1..20).count { selector.select(criteria(it.toLong()), probeAt + 1.milliseconds * it) === slow } shouldBe 1
            repeat(3) { slow.speed.recordReport(1.0, REQUEST_TIME, probeAt + 100.milliseconds * (it + 1)) }
            slow.speed.slowdown(probeAt + 300.milliseconds) shouldBe 1.0
            slow.speed.needsProbe(probeAt + 2.seconds) shouldBe false
        }

        it("does not probe a slow target that still has more load than the others") {
            val directory = directory()
            val slow = directory[TargetId("t-1")] ?: error("no target")
            val end = slow.speed.report(List(10) { 3.0 })
            slow.load.add(50.0)
            (1..20).count { selector(directory, TargetSpeeds()).select(criteria(it.toLong()), end + 1.seconds) === slow } shouldBe 0
        }
    }

    describe("start latencies of a pool") {
        it("show a target that takes twice as long for the same work, however much work the requests bring") {
            val directory = TargetDirectory().apply { (1..4).forEach { upsert(entry("t-$it")) } }
            val speeds = TargetSpeeds()
            val flow = ZoneFlow(POOL, grant().route.name)
            val targets = directory.all.toList()
            repeat(400) { number ->
                val work = 1.0 + number % 7
                val factor = if (number % 4 == 0) 2.0 else 1.0
                val latency: Duration = 100.milliseconds * work * factor
                val at = START + 10.milliseconds * number
                speeds.recordStart(flow, targets[number % 4], ExpectedWork(work, 0.0), REQUEST_TIME, latency, at)
            }
            val end = START + 4.seconds
            targets[0].speed.slowdown(end) shouldBe (2.0 plusOrMinus 0.4)
            targets[1].speed.slowdown(end) shouldBe (1.0 plusOrMinus 0.2)
        }
    }
})
