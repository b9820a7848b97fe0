package org.cactuspulley.core.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val WINDOW = 4.seconds
private val ID = TargetId("t-1")

/** The requests that a target with [limit] may get in [WINDOW]. */
private fun allowed(limit: Double) = 1.5 * limit * (WINDOW / 1.seconds) + 5

/** The rate limits at each of [size] instances that all know each other as live and serving until [now] and shortly after. */
private fun fleet(size: Int, now: MonotonicTime = START): List<TargetRateLimits> = views(size, now).map(::TargetRateLimits)

private fun views(size: Int, now: MonotonicTime): List<FleetView> {
    val members = (1..size).map { fleetMember("i-$it") }
    val views = members.map { FleetView(it, livenessTimeout = 100.seconds).apply { selfServes = true } }
    for (view in views) for (member in members) view.recordContact(member, serves = true, reachesStore = true, now)
    return views
}

private fun target(startedAt: Long = 1_000): Target {
    val directory = TargetDirectory()
    directory.upsert(entry("t-1", startedAt = startedAt))
    return checkNotNull(directory[ID])
}

private fun report(limit: Double?, at: Duration = Duration.ZERO, startedAt: Long = 1_000) = RateLimitReport(startedAt, limit, START + at)

/** Takes as many tokens as there are and returns their number. */
private fun TargetRateLimits.takeAll(target: Target, now: MonotonicTime): Int =
    generateSequence { admit(target, now) }.takeWhile { it is RateLimitAdmission.Granted }.count()

class TargetRateLimitsSpec : DescribeSpec({
    describe("what a target says about its limit") {
        fun limits(vararg reports: RateLimitReport) = fleet(1).single().apply { reports.forEach { record(ID, it, START) } }

        it("holds until the target says something else") {
            limits(report(5.0)).limit(target()) shouldBe 5.0
            limits(report(5.0), report(2.0, 1.seconds)).limit(target()) shouldBe 2.0
            limits(report(5.0), report(9.0, 1.seconds)).limit(target()) shouldBe 9.0
            limits(report(5.0), report(null, 1.seconds)).limit(target()) shouldBe null
            limits(report(5.0), report(null, 1.seconds), report(5.0, 2.seconds)).limit(target()) shouldBe 5.0
        }

        // Guards against a limit that the response to a request from before it lifts.
        it("is not changed by what it said before") {
            limits(report(5.0), report(null, (-1).seconds)).limit(target()) shouldBe 5.0
            limits(report(5.0), report(null)).limit(target()) shouldBe 5.0
            limits(report(5.0), report(9.0, (-1).seconds)).limit(target()) shouldBe 5.0
            limits(report(5.0), report(null, 2.seconds), report(5.0, 1.seconds)).limit(target()) shouldBe null
        }

        it("is only about its present start") {
            val limits = limits(report(5.0))
            limits.limit(target(startedAt = 2_000)) shouldBe null
            limits.record(ID, report(7.0, startedAt = 500, at = 9.seconds), START) shouldBe false
            limits.record(ID, report(3.0, startedAt = 2_000, at = (-9).seconds), START) shouldBe true
            limits.limit(target(startedAt = 2_000)) shouldBe 3.0
            limits.limit(target()) shouldBe null
        }

        it("is a change only if it differs") {
            val limits = limits()
            limits.record(ID, report(null), START) shouldBe false
            limits.isKnown(ID) shouldBe false
            limits.record(ID, report(5.0), START) shouldBe true
            limits.record(ID, report(5.0, 1.seconds), START) shouldBe false
            limits.record(ID, report(null, 2.seconds), START) shouldBe true
            limits.record(ID, report(null, 3.seconds), START) shouldBe false
        }

        it("has to be confirmed when it is old") {
            val limits = limits(report(5.0))
            limits.isUnconfirmed(target(), START + 1.seconds) shouldBe false
            limits.isUnconfirmed(target(), START + 3.seconds) shouldBe true
            limits(report(5.0), report(null, 1.seconds)).isUnconfirmed(target(), START + 9.seconds) shouldBe false
        }
    }

    describe("a target without a limit") {
        it("is not limited") {
            val limits = fleet(7).first()
            limits.admit(target(), START) shouldBe RateLimitAdmission.Unlimited
            limits.availableFrom(target(), START) shouldBe START
            limits.share(target(), START) shouldBe null
        }
    }

    describe("the shares of all instances") {
        for (size in listOf(1, 2, 7, 95)) {
            for (limit in listOf(0.3, 1.0, 1.3, 5.0, 40.0, 1e9)) {
                it("add up to the limit, $limit, with $size instances") {
                    val shares = fleet(size).map { limits ->
                        limits.record(ID, report(limit), START)
                        checkNotNull(limits.share(target(), START))
                    }
                    shares.sumOf { it.requestsPerSecond } shouldBe (limit plusOrMinus limit * 1e-9)
                    shares.map { it.owners }.toSet() shouldBe setOf(shares.count { it.requestsPerSecond > 0 })
                }

                // Guards against instances whose shares, or whose tokens together, exceed what a target takes from all of them.
                it("never permit more than the target takes, $limit, with $size instances that ask all the time") {
                    val fleet = fleet(size)
                    fleet.forEach { it.record(ID, report(limit), START) }
                    val step = 20.milliseconds
                    // With a large limit, taking each single token would last for hours.
                    if (limit <= 40) {
                        val counts = (0..500).map { number -> fleet.sumOf { it.takeAll(target(), START + step * number) } }
                        counts.windowed((WINDOW / step).toInt() + 1).forEach {
                            withClue("requests") { it.sum().toDouble() shouldBeLessThanOrEqual allowed(limit) }
                        }
                        counts.sum() shouldBeGreaterThan 0
                    }
                }
            }
        }

        it("permit a rare request while the target takes none") {
            val fleet = fleet(7)
            fleet.forEach { it.record(ID, report(0.0), START) }
            val counts = (0..1_000).map { number -> fleet.sumOf { it.takeAll(target(), START + 20.milliseconds * number) } }
            counts.windowed(201).forEach { it.sum().toDouble() shouldBeLessThanOrEqual allowed(0.0) }
            counts.sum() shouldBeGreaterThan 1
        }

        it("leave nothing to an instance that does not serve callers") {
            val view = views(1, START).single().apply { selfServes = false }
            val limits = TargetRateLimits(view).apply { record(ID, report(5.0), START) }
            limits.admit(target(), START + 9.seconds) shouldBe RateLimitAdmission.Denied
            limits.availableFrom(target(), START + 9.seconds) shouldBe null
        }

        it("change when an instance is lost") {
            val view = FleetView(fleetMember("i-1")).apply { selfServes = true }
            (2..8).forEach { view.recordContact(fleetMember("i-$it"), serves = true, reachesStore = true, START) }
            val limits = TargetRateLimits(view).apply { record(ID, report(8.0), START) }
            limits.share(target(), START)?.owners shouldBe 8
            limits.share(target(), START + 2.seconds) shouldBe RateLimitShare(1, 8.0)
        }
    }

    describe("the tokens of an instance") {
        fun limits(limit: Double) = fleet(1).single().apply { record(ID, report(limit), START) }

        // Guards against a burst of all instances when a limit becomes known.
        it("are none at first") {
            limits(40.0).takeAll(target(), START) shouldBe 0
        }

        it("are no more after a long time than the depth of the bucket") {
            limits(5.0).takeAll(target(), START + 1_000.seconds) shouldBe 7
        }

        // Guards against tokens of the former limit that are used in addition to those of a lower one.
        it("are lost when the limit falls or is lifted, and kept when it rises") {
            val now = START + 9.seconds
            limits(40.0).apply { record(ID, report(1.0, 8.seconds), now) }.takeAll(target(), now) shouldBe 0
            val named = limits(5.0).apply {
                takeAll(target(), START + 8.seconds)
                record(ID, report(null, 8.seconds), now)
                record(ID, report(5.0, 9.seconds), now)
            }
            named.takeAll(target(), now) shouldBe 0
            val risen = limits(5.0).apply {
                admit(target(), now)
                record(ID, report(6.0, 9.seconds), now)
            }
            risen.takeAll(target(), now) shouldBe 6
        }

        it("may be given back") {
            val limits = limits(1.0)
            val now = START + 1.seconds
            val admission = limits.admit(target(), now)
            limits.admits(target(), now) shouldBe false
            limits.giveBack(admission)
            limits.admits(target(), now) shouldBe true
        }

        // Guards against requests whose connections are established together after a delay, and are all sent then.
        it("are valid for a short time") {
            val limits = limits(1.0)
            val now = START + 1.seconds
            val admission = limits.admit(target(), now).shouldBeInstanceOf<RateLimitAdmission.Granted>()
            limits.renew(target(), admission, now + 400.milliseconds) shouldBe admission
            limits.renew(target(), admission, now + 600.milliseconds) shouldBe RateLimitAdmission.Denied
            limits.renew(target(), admission, now + 1_500.milliseconds) shouldNotBe admission
        }

        it("are needed by a request that was started before the limit was known") {
            val limits = limits(1.0)
            limits.renew(target(), RateLimitAdmission.Unlimited, START) shouldBe RateLimitAdmission.Denied
            limits.renew(target(), RateLimitAdmission.Unlimited, START + 2.seconds).shouldBeInstanceOf<RateLimitAdmission.Granted>()
            limits.record(ID, report(null, 3.seconds), START + 3.seconds)
            limits.renew(target(), RateLimitAdmission.Denied, START + 3.seconds) shouldBe RateLimitAdmission.Unlimited
        }

        it("are left to the requests that wait for them") {
            val limits = limits(1.0)
            limits.availableFrom(target(), START) shouldBe START + 1.seconds
            limits.reserve(ID)
            limits.availableFrom(target(), START) shouldBe START + 2.seconds
            limits.admits(target(), START + 1.seconds) shouldBe false
            limits.clearReservations()
            limits.admits(target(), START + 1.seconds) shouldBe true
        }
    }

    describe("the target of a request") {
        fun selector(limits: TargetRateLimits, targets: Int): TargetSelector {
            val directory = TargetDirectory().apply { (1..targets).forEach { upsert(entry("t-$it")) } }
            return TargetSelector(directory, ZoneName("zone-a"), limits, Random(1))
        }

        fun limitAll(limits: TargetRateLimits, targets: Int, limit: Double = 1.0) =
            (1..targets).forEach { limits.record(TargetId("t-$it"), report(limit), START) }

        val streams = (1L..20L).map { SelectionCriteria(grant(), prompt(it), emptySet(), null, null) }
        val plain = SelectionCriteria(grant(), null, emptySet(), null, null)

        // Guards against requests to a target whose limit leaves no room, also as the last resort or by prompt affinity.
        it("is never one whose limit leaves no room") {
            val limits = fleet(1).single()
            val selector = selector(limits, 2)
            limits.record(ID, report(1.0), START)
            for (criteria in streams + plain) {
                selector.select(criteria, START)?.id shouldBe TargetId("t-2")
                val onlyLimited = criteria.copy(excluded = setOf(TargetId("t-2")), isLastResort = true)
                selector.select(onlyLimited, START) shouldBe null
            }
        }

        it("is available when the limit leaves room, or elsewhere only") {
            val single = fleet(1).single().also { limitAll(it, 2) }
            selector(single, 2).availability(plain, START) shouldBe Availability.From(START + 1.seconds, ID)
            val fleet = fleet(95).onEach { limitAll(it, 1) }
            val availabilities = fleet.map { selector(it, 1).availability(plain, START) }
            availabilities.count { it == Availability.Elsewhere } shouldBe 92
            availabilities.count { it == Availability.From(START + 3.seconds, ID) } shouldBe 3
        }

        // Guards against a limit that was lifted and still holds for long, because no request happens to choose its target.
        it("is one whose limit has not been confirmed for long") {
            val limits = fleet(1).single()
            val selector = selector(limits, 9)
            limits.record(ID, report(1.0), START)
            for (criteria in streams + plain) selector.select(criteria, START + 3.seconds)?.id shouldBe ID
            limits.record(ID, report(1.0, 3.seconds), START + 3.seconds)
            streams.any { selector.select(it, START + 3.seconds)?.id != ID } shouldBe true
        }

        it("is limited as a pool only if all targets are, and then in proportion to the instances") {
            val limits = fleet(7).first()
            val selector = selector(limits, 2)
            limits.record(ID, report(1.0), START)
            selector.limitedInterval(POOL, START) shouldBe null
            limits.record(TargetId("t-2"), report(2.5), START)
            selector.limitedInterval(POOL, START) shouldBe 2.seconds
        }
    }

    describe("callers that are refused because of limits") {
        // Guards against refused callers that all return at the same moment and are refused again.
        it("return at different times") {
            val schedule = ReturnSchedule()
            val delays = List(6) { schedule.delay(1.seconds, START) }
            delays shouldBe listOf(50.milliseconds, 50.milliseconds, 50.milliseconds, 1.seconds, 2.seconds, 3.seconds)
        }

        it("return immediately if there are few") {
            val schedule = ReturnSchedule()
            (0..9).forEach { schedule.delay(1.seconds, START + 1.seconds * it) shouldBe 50.milliseconds }
        }

        // Guards against callers who return before any place can be free for them, or all when the first one is.
        it("return one after another from the time on at which the first can be served, if that is known") {
            val schedule = ReturnSchedule()
            val delays = List(3) { schedule.delay(100.milliseconds, START, notBefore = START + 1.seconds) }
            delays shouldBe listOf(1_000.milliseconds, 1_100.milliseconds, 1_200.milliseconds)
        }

        it("never wait for long") {
            val schedule = ReturnSchedule()
            List(100) { schedule.delay(10.seconds, START) }.max() shouldBe 5.seconds
            schedule.delay(10.seconds, START + 60.seconds) shouldBe 50.milliseconds
        }
    }
})
