package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.requests.PromptPiece
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MEMORY = 111_122L

/** A pool whose requests take four seconds; the instance started long ago, unless [startedAt] says otherwise. */
private class TestKnowledge(
    override val startedAt: MonotonicTime = MonotonicTime.ZERO,
    override val fleetSize: Int? = 1,
    private val memory: Long? = MEMORY,
    private val time: Duration? = 4.seconds,
) : CapacityKnowledge {
    override fun tokenCapacity(pool: PoolName) = memory

    override fun usualTime(pool: PoolName, now: MonotonicTime) = time
}

private fun longPrompt(own: Int, tokens: Int = 9_200, shared: Int = 0) =
    PromptDescription(MODEL, tokens, 50, listOf(PromptPiece(1, shared), PromptPiece(own.toLong(), tokens - shared)))

class TargetCapacitySpec : DescribeSpec({
    fun directory(count: Int = 1, slots: Int = 24) =
        TargetDirectory().apply { (1..count).forEach { upsert(entry("t-$it").copy(slots = slots)) } }

    fun target(slots: Int = 24) = directory(1, slots).all.single()

    fun selector(directory: TargetDirectory, capacity: TargetCapacity) =
        TargetSelector(directory, ZoneName("zone-a"), TargetRateLimits(FleetView(fleetMember("i-1"))), Random(1), capacity = capacity)

    fun criteria(prompt: PromptDescription) = SelectionCriteria(grant(), prompt, emptySet(), null, null)

    describe("a dozen prompts of 9,200 tokens at an engine with 24 slots and 111,122 tokens of memory") {
        // Guards against a count of slots alone, which sends an engine twice as many long prompts as it has memory for.
        it("leave no room for another one, although half of the slots are free") {
            val capacity = TargetCapacity(TestKnowledge())
            val target = target()
            repeat(12) { number ->
                capacity.fits(target, longPrompt(number), START) shouldBe true
                capacity.recordStart(target, longPrompt(number))
            }
            capacity.fits(target, longPrompt(12), START) shouldBe false
            capacity.fits(target, longPrompt(12, tokens = 40), START) shouldBe true
        }

        it("leave room again when one ends, which is expected after a twelfth of their usual time") {
            val capacity = TargetCapacity(TestKnowledge())
            val target = target()
            val running = (1..12).map { capacity.recordStart(target, longPrompt(it)) }
            val freed = capacity.availableFrom(target, longPrompt(13), START) ?: error("never")
            (freed - START).inWholeMilliseconds.toInt() shouldBeInRange 300..400
            capacity.recordEnd(target, running.first(), START) shouldBe true
            capacity.fits(target, longPrompt(13), START) shouldBe true
            running.drop(1).forEach { capacity.recordEnd(target, it, START) }
            target.occupancy.local shouldBe Occupancy(0, 0)
        }

        // Guards against an engine that is taken for full while its requests share most of their prompts.
        it("take their common pieces once, and once for each isolated workspace") {
            val capacity = TargetCapacity(TestKnowledge())
            val target = target()
            val running = (1..12).map { capacity.recordStart(target, longPrompt(it, shared = 9_000)) }
            target.occupancy.local shouldBe Occupancy(12, 9_000 + 12 * 250L)
            capacity.recordStart(target, longPrompt(13, shared = 9_000), workspace("isolated").name)
            target.occupancy.local.tokens shouldBe 2 * 9_000 + 13 * 250L
            running.forEach { capacity.recordEnd(target, it, START) }
            target.occupancy.local shouldBe Occupancy(1, 9_250)
        }
    }

    describe("a prompt that is larger than the memory of every engine") {
        // Guards against a request that waits until its deadline for what never happens.
        it("is never accepted, while one that is as large as the memory only needs an empty engine") {
            val directory = directory(2)
            val selector = selector(directory, TargetCapacity(TestKnowledge()))
            selector.select(criteria(longPrompt(1, tokens = 111_100)), START) shouldBe null
            selector.availability(criteria(longPrompt(1, tokens = 111_100)), START) shouldBe Availability.TooLarge
            (selector.select(criteria(longPrompt(1, tokens = 111_072)), START) == null) shouldBe false
        }
    }

    describe("a pool whose engines are all full") {
        it("takes requests again when the first one is expected to have a slot, and takes none before") {
            val directory = directory(2, slots = 4)
            val capacity = TargetCapacity(TestKnowledge())
            val selector = selector(directory, capacity)
            directory.all.forEach { target -> repeat(4) { capacity.recordStart(target, prompt()) } }
            selector.select(criteria(prompt()), START) shouldBe null
            val from = selector.availability(criteria(prompt()), START) as Availability.From
            from.time shouldBe START + 1.seconds
            from.isFull shouldBe true
            selector.endInterval(POOL, START) shouldBe 500.milliseconds
        }

        // Guards against a last resort that overfills an engine, which would refuse the request and cost a retry.
        it("takes none as a last resort either") {
            val directory = directory(1, slots = 1)
            val capacity = TargetCapacity(TestKnowledge())
            capacity.recordStart(directory.all.single(), prompt())
            selector(directory, capacity).select(criteria(prompt()).copy(isLastResort = true), START) shouldBe null
        }

        it("is used as before if the settings do not ask for admission by capacity") {
            val directory = directory(1, slots = 1)
            val selector = selector(directory, TargetCapacity.UNLIMITED)
            repeat(50) { TargetCapacity.UNLIMITED.recordStart(directory.all.single(), longPrompt(it)) shouldBe null }
            selector.select(criteria(prompt()), START) shouldBe directory.all.single()
        }
    }

    describe("requests of other instances at an engine with 12 slots") {
        val peer = InstanceId("i-2")

        // Guards against slots that stay occupied for ever after the instance that reported them was lost.
        it("count until the report of a lost instance expires") {
            val capacity = TargetCapacity(TestKnowledge())
            val target = target(12)
            target.occupancy.recordPeer(peer, Occupancy(12, 20_000), START + 900.milliseconds)
            capacity.fits(target, prompt(), START + 899.milliseconds) shouldBe false
            capacity.fits(target, prompt(), START + 900.milliseconds) shouldBe true
        }

        // Guards against a digest that is older than the one before it, or than its requests, and adds up with it.
        it("are replaced by a newer report and count nothing if that came too late") {
            val capacity = TargetCapacity(TestKnowledge())
            val target = target(12)
            target.occupancy.recordPeer(peer, Occupancy(12, 20_000), START + 900.milliseconds)
            target.occupancy.recordPeer(peer, Occupancy(11, 20_000), START + 900.milliseconds)
            capacity.fits(target, prompt(), START) shouldBe true
            target.occupancy.recordPeer(InstanceId("i-3"), Occupancy(12, 20_000), START - 1.milliseconds)
            capacity.fits(target, prompt(), START) shouldBe true
        }

        // Guards against overfilling targets beside instances of the previous release, which do not report what they have in flight.
        it("are known from the target's own report if they do not report themselves, less what ended here since") {
            val capacity = TargetCapacity(TestKnowledge())
            val target = target(12)
            val running = capacity.recordStart(target, prompt())
            target.health.recordLoad(ReportedLoad(running = 12, waiting = 0, slots = 12, at = START))
            capacity.fits(target, prompt(), START + 100.milliseconds) shouldBe false
            capacity.recordEnd(target, running, START + 150.milliseconds)
            capacity.fits(target, prompt(), START + 200.milliseconds) shouldBe true
            capacity.recordStart(target, prompt())
            capacity.fits(target, prompt(), START + 500.milliseconds) shouldBe true
        }
    }

    describe("a restart of all eight instances while 800 callers wait for engines with 24 slots") {
        fun admitted(capacity: TargetCapacity, target: Target, now: MonotonicTime): Int {
            var count = 0
            while (count < 100 && capacity.fits(target, prompt(own = 100 + count), now)) {
                capacity.recordStart(target, prompt(own = 100 + count))
                count++
            }
            return count
        }

        // Guards against eight instances that each fill all slots before they hear of each other.
        it("fills each engine once, before the instances have heard of each other's requests") {
            val total = (1..8).sumOf { admitted(TargetCapacity(TestKnowledge(START, fleetSize = 8)), target(), START) }
            total shouldBe 24
        }

        // Guards against a fleet that refuses everyone because nothing is known.
        it("sends one request to each engine before the number of instances is known, and says when there is room for more") {
            val capacity = TargetCapacity(TestKnowledge(START, fleetSize = null, time = null))
            val target = target()
            admitted(capacity, target, START) shouldBe 1
            capacity.availableFrom(target, prompt(), START) shouldBe START + 1.seconds
            admitted(capacity, target, START + 1.seconds) shouldBe 23
        }
    }
})
