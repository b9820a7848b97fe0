package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetSelectorSpec : DescribeSpec({
    fun directory(count: Int = 8) = TargetDirectory().apply { (1..count).forEach { upsert(entry("t-$it")) } }

    fun selector(directory: TargetDirectory, seed: Int = 1) =
        TargetSelector(directory, ZoneName("zone-a"), TargetRateLimits(FleetView(fleetMember("i-1"))), Random(seed))

    fun criteria(subject: Long, excluded: Set<TargetId> = emptySet(), minimum: Long? = null, preferred: Long? = null) =
        SelectionCriteria(grant(), prompt(subject), excluded, minimum, preferred)

    describe("the target for a prompt") {
        it("is the same on all instances, and prompts are spread over all targets") {
            val first = selector(directory(), 1)
            val second = selector(directory(), 2)
            val targets = (1L..100L).map { subject ->
                val chosen = first.select(criteria(subject), START)?.id
                second.select(criteria(subject), START)?.id shouldBe chosen
                chosen
            }
            targets.toSet().size shouldBe 8
        }

        it("changes only for prompts of a removed target") {
            val directory = directory()
            val before = (1L..100L).associateWith { selector(directory).select(criteria(it), START)?.id }
            directory.remove(TargetId("t-3"), START)
            before.filterValues { it != TargetId("t-3") }.forEach { (subject, target) ->
                selector(directory).select(criteria(subject), START)?.id shouldBe target
            }
        }

        it("is another one if the first is loaded far beyond the mean") {
            val directory = directory()
            val first = selector(directory).select(criteria(7), START) ?: error("no target")
            first.load.add(40.0)
            (selector(directory).select(criteria(7), START)?.id == first.id) shouldBe false
        }

        // Guards against prompts that wait behind more work than their shared pieces are worth.
        it("is the first one while the work there is less than prefilling its shared pieces, and another one beyond that") {
            val directory = directory(100)
            val first = selector(directory).select(criteria(7), START) ?: error("no target")
            first.load.add(0.95)
            selector(directory).select(criteria(7), START)?.id shouldBe first.id
            first.load.add(0.1)
            (selector(directory).select(criteria(7), START)?.id == first.id) shouldBe false
        }

        it("has the preferred weights while such targets have capacity") {
            val directory = directory(2)
            directory.upsert(entry("t-2", weights = 2, reportNumber = 2))
            selector(directory).select(criteria(7, preferred = 2), START)?.id shouldBe TargetId("t-2")
            directory[TargetId("t-2")]?.load?.add(100.0)
            selector(directory).select(criteria(7, preferred = 2), START)?.id shouldBe TargetId("t-1")
        }

        it("should have the newest weights as soon as a target has them, and not before") {
            val directory = directory(2)
            val newest = DesiredWeights(MODEL, 2, START)
            selector(directory).preferredWeights(POOL, newest, START) shouldBe null
            selector(directory).preferredWeights(POOL, null, START) shouldBe null
            directory.upsert(entry("t-2", weights = 2, reportNumber = 2))
            selector(directory).preferredWeights(POOL, newest, START) shouldBe 2
            directory[TargetId("t-2")]?.loadingUntil = START + 1.seconds
            selector(directory).preferredWeights(POOL, newest, START) shouldBe null
        }

        it("never has weights below the minimum") {
            selector(directory()).select(criteria(7, minimum = 2), START) shouldBe null
        }

        it("is none that loads weights, leaves, failed the request or is excluded") {
            val directory = directory(5)
            directory[TargetId("t-1")]?.loadingUntil = START + 1.seconds
            directory.upsert(entry("t-2", leaving = true, reportNumber = 2))
            directory[TargetId("t-3")]?.health?.recordFailure(SendFailure.UNREACHABLE, START)
            (1L..50L).forEach {
                selector(directory).select(criteria(it, excluded = setOf(TargetId("t-4"))), START)?.id shouldBe TargetId("t-5")
            }
        }
    }

    describe("the target when all are excluded") {
        it("is none while the request may wait, and the one whose exclusion ends first otherwise") {
            val directory = directory(2)
            directory.all.forEach { it.health.recordFailure(SendFailure.UNREACHABLE, START) }
            directory[TargetId("t-1")]?.health?.recordFailure(SendFailure.UNREACHABLE, START)
            selector(directory).select(criteria(7), START) shouldBe null
            selector(directory).select(criteria(7).copy(isLastResort = true), START)?.id shouldBe TargetId("t-2")
        }
    }

    describe("the availability of targets for a request") {
        it("is unknown without a target that has the weights, since one may load them") {
            selector(directory()).availability(criteria(7, minimum = 2), START) shouldBe Availability.Unknown
            selector(TargetDirectory()).availability(criteria(7), START) shouldBe Availability.Unknown
        }

        it("is the end of the first exclusion or pause") {
            val directory = directory(3)
            directory.all.forEach { directory.pause(it, START + 9.seconds) }
            selector(directory).availability(criteria(7), START) shouldBe Availability.From(START + 9.seconds)
            val excluded = directory(3)
            excluded.all.forEach { it.health.recordFailure(SendFailure.UNREACHABLE, START) }
            excluded[TargetId("t-2")]?.health?.recordFailure(SendFailure.UNREACHABLE, START)
            selector(excluded).availability(criteria(7), START) shouldBe Availability.From(START + 700.milliseconds)
        }

        it("is none if all have failed the request, which can't be sent to them again") {
            val all = setOf(TargetId("t-1"), TargetId("t-2"))
            selector(directory(2)).availability(criteria(7, excluded = all), START) shouldBe Availability.AllTried
        }
    }

    describe("the target for a request without a prompt") {
        val plain = SelectionCriteria(grant(), null, emptySet(), null, null)

        it("is in the own zone unless targets there are more loaded") {
            val directory = TargetDirectory()
            directory.upsert(entry("near", zone = "zone-a"))
            directory.upsert(entry("far", zone = "zone-b"))
            selector(directory).select(plain, START)?.id shouldBe TargetId("near")
            directory[TargetId("near")]?.load?.add(4.0)
            selector(directory).select(plain, START)?.id shouldBe TargetId("far")
        }
    }

    describe("the load of a target") {
        it("is the sum over all instances whose reports have not expired") {
            val load = TargetLoad()
            load.add(prompt(own = 2_890).let { TargetLoad.unitsUntilFirstEvent(it, cachedTokens = it.sharedTokens) })
            load.recordPeerLoad(org.cactuspulley.core.model.InstanceId("i-2"), 5.0, START + 900.milliseconds)
            (load.total(START) * 100).toInt() shouldBeGreaterThan 700
            (load.total(START + 2.seconds) == load.local) shouldBe true
        }
    }
})
