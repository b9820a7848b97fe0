package org.cactuspulley.core.rollout

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cactuspulley.core.forwarding.POOL
import org.cactuspulley.core.forwarding.START
import org.cactuspulley.core.forwarding.TargetDirectory
import org.cactuspulley.core.forwarding.entry
import org.cactuspulley.core.forwarding.grant
import org.cactuspulley.core.forwarding.route
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private class Fixture {
    val directory = TargetDirectory()
    val releases = ReleaseDirectory()
    val versions = VersionSelector(releases, directory, random = Random(1))

    fun add(version: String, count: Int = 2) =
        (1..count).forEach { directory.upsert(entry("$version-$it").copy(softwareVersion = version)) }

    fun allowed(now: MonotonicTime, prefix: String = "/ask/") =
        directory.all.filter { versions.allows(it, grant(route(prefix = prefix)), now) }.map { it.entry.softwareVersion }.toSet()

    fun order(version: String, offset: Long = 1, now: MonotonicTime = START) =
        releases.recordOrder(ReleaseOrder.seen(POOL, version, ReleaseOrderId(0, offset), 12.seconds, now))

    fun stage(version: String, stage: ReleaseStage, offset: Long = 1, now: MonotonicTime = START) =
        releases.recordState(ReleaseState(POOL, ReleaseOrderId(0, offset), version, stage), now)
}

class VersionSelectorSpec : DescribeSpec({
    describe("targets without a version") {
        // Guards against a change for deployments that do not use versions.
        it("are used before anything is read, and no read is requested") {
            val fixture = Fixture().apply { add("") }
            fixture.allowed(START) shouldContainExactly setOf("")
            fixture.releases.awaitsOperators shouldBe false
            fixture.versions.preferred(fixture.directory.all.toList(), grant(), isRepeat = false).size shouldBe 2
        }
    }

    describe("an unknown version") {
        // Guards against requests on a version whose order has not been read yet.
        it("is not used until the operators' topic was read after its entry was seen") {
            val fixture = Fixture().apply { add("v1") }
            fixture.releases.recordOperatorsRead(START - 1.seconds)
            fixture.allowed(START).shouldBeEmpty()
            fixture.releases.awaitsOperators shouldBe true
            fixture.releases.recordOperatorsRead(START)
            fixture.allowed(START) shouldContainExactly setOf("v1")
            fixture.add("v2")
            fixture.allowed(START + 1.seconds) shouldContainExactly setOf("v1")
            fixture.order("v2")
            fixture.releases.recordOperatorsRead(START + 1.seconds)
            fixture.allowed(START + 1.seconds) shouldContainExactly setOf("v1")
        }

        // Guards against targets that someone starts during a release, and against a read for each request to them.
        it("that appears during a release is not used, and is asked for once") {
            val fixture = Fixture().apply { add("v1") }
            fixture.releases.recordEntry(POOL, "v1", START)
            fixture.releases.recordOperatorsRead(START)
            fixture.order("v2")
            fixture.add("v9")
            fixture.allowed(START)
            fixture.releases.recordOperatorsRead(START + 1.seconds)
            fixture.allowed(START + 1.seconds) shouldContainExactly setOf("v1")
            fixture.releases.awaitsOperators shouldBe false
        }

        // Guards against an outage of an instance that has started during a release and does not know what served before.
        it("is used if it is the only one besides the target of the release") {
            val fixture = Fixture()
            fixture.order("v2")
            fixture.releases.recordOperatorsRead(START)
            fixture.add("v1")
            fixture.add("v2")
            fixture.allowed(START)
            fixture.releases.recordOperatorsRead(START + 1.seconds)
            fixture.allowed(START + 1.seconds) shouldContainExactly setOf("v1")
        }
    }

    describe("the budget of an instance") {
        // Guards against an exposure beyond the bound, whatever the instance hears, and against a flood when permission returns.
        it("holds in both stages and gives each route its share") {
            val fixture = Fixture().apply { add("v1", 8) }
            fixture.releases.recordEntry(POOL, "v1", START)
            fixture.releases.recordOperatorsRead(START)
            fixture.order("v2")
            fixture.add("v2", 8)
            fun sendNew(count: Int, now: MonotonicTime): Map<String, Int> = (1..count).mapNotNull { number ->
                val prefix = if (number % 20 == 0) "/rare/" else "/ask/"
                val isNew = "v2" in fixture.allowed(now, prefix)
                fixture.versions.recordSent(POOL, RouteName("route$prefix"), if (isNew) "v2" else "v1")
                prefix.takeIf { isNew }
            }.groupingBy { it }.eachCount()
            sendNew(1_000, START + 1.seconds) shouldBe emptyMap()
            fixture.stage("v2", ReleaseStage.Canary, now = START + 5.seconds)
            val canary = sendNew(1_000, START + 5.seconds)
            canary.values.sum() shouldBeInRange 40..43
            canary.getValue("/rare/") shouldBeInRange 10..25
            fixture.stage("v2", ReleaseStage.Shifting, now = START + 10.seconds)
            val limit = 0.09 * (2_000 + 400) * 1.1
            (canary.values.sum() + sendNew(400, START + 10.seconds).values.sum()) shouldBeInRange 200..limit.toInt()
        }

        // Guards against evidence from targets that are as idle as all new ones together.
        it("is spent on two targets in the canary stage, and a repeated request prefers the old version") {
            val fixture = Fixture().apply { add("v1", 8) }
            fixture.releases.recordEntry(POOL, "v1", START)
            fixture.releases.recordOperatorsRead(START)
            fixture.order("v2")
            fixture.add("v2", 8)
            fixture.stage("v2", ReleaseStage.Canary)
            repeat(100) { fixture.versions.recordSent(POOL, RouteName("route/ask/"), "v1") }
            val allowed = fixture.directory.all.filter { fixture.versions.allows(it, grant(), START) }
            allowed.count { it.entry.softwareVersion == "v2" } shouldBe 2
            fixture.versions.preferred(allowed, grant(), isRepeat = true).map { it.entry.softwareVersion }.toSet() shouldBe setOf("v1")
            fixture.versions.preferred(allowed, grant(), isRepeat = false).map { it.entry.softwareVersion }.toSet() shouldBe setOf("v2")
        }
    }

    describe("an order for the version that serves") {
        // Guards against a service without any target, because its only version is limited to the budget of a new one.
        it("does not limit it while there is no other version") {
            val fixture = Fixture().apply { add("v1") }
            fixture.allowed(START)
            fixture.releases.recordOperatorsRead(START)
            fixture.order("v1")
            fixture.allowed(START) shouldContainExactly setOf("v1")
        }
    }

    describe("a final stage") {
        // Guards against a late message, or a restored store, that returns an instance to an earlier stage.
        it("is never left") {
            val fixture = Fixture().apply { add("v2") }
            fixture.order("v2")
            fixture.stage("v2", ReleaseStage.RolledBack)
            fixture.stage("v2", ReleaseStage.Completed) shouldBe false
            fixture.stage("v2", ReleaseStage.Canary, now = START + 1.seconds) shouldBe false
            fixture.allowed(START + 1.seconds).shouldBeEmpty()
            fixture.order("v2", offset = 7, now = START + 2.seconds)
            fixture.allowed(START + 2.seconds).shouldBeEmpty()
            fixture.releases.needsLease shouldBe true
        }
    }

    describe("the judgement") {
        fun verdict(old: List<TargetEvidence>, new: TargetEvidence): ReleaseVerdict {
            val oldTargets = old.mapIndexed { index, counts -> TargetId("v1-$index") to counts }.toMap()
            val routes = mapOf("v1" to oldTargets, "v2" to mapOf(TargetId("v2-1") to new))
                .entries.associate { (version, targets) -> EvidenceKey(RouteName("a"), version) to RouteEvidence(targets) }
            return EvidenceJudge(ReleaseSettings()).verdict("v2", ReleaseEvidence(POOL, ReleaseOrderId(0, 1), routes), emptyList(), 20)
        }

        // Guards against one failing old target that excuses the same rate of the new version.
        it("compares with the median target of the old version") {
            val old = listOf(TargetEvidence(50, 40), TargetEvidence(50, 0), TargetEvidence(50, 0))
            verdict(old, TargetEvidence(20, 8)).shouldBeInstanceOf<ReleaseVerdict.Faulty>()
            verdict(old, TargetEvidence(20, 0)) shouldBe ReleaseVerdict.Healthy
            verdict(old, TargetEvidence(19, 0)) shouldBe ReleaseVerdict.Undecided
        }

        // Guards against blaming the new version for failures that all targets have, as in a fault of the network.
        it("does not blame the new version for what all targets do") {
            val old = listOf(TargetEvidence(50, 10), TargetEvidence(50, 10), TargetEvidence(50, 9))
            verdict(old, TargetEvidence(20, 5)) shouldBe ReleaseVerdict.Healthy
        }

        // Guards against a number that runs over: an instance must be able to count any latency.
        it("counts latencies of any length") {
            LatencyHistogram.bucketOf(Duration.INFINITE) shouldBe LatencyHistogram.bucketOf(2.minutes)
        }
    }
})
