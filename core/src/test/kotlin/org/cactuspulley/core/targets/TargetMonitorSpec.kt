package org.cactuspulley.core.targets

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.ReadCacheEvents
import org.cactuspulley.core.effect.ReadStatus
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.CacheChanged
import org.cactuspulley.core.event.CacheEventsRead
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.StatusFailed
import org.cactuspulley.core.event.StatusRead
import org.cactuspulley.core.event.TargetCrashDetected
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.CacheEvent
import org.cactuspulley.core.platform.CacheEventKind
import org.cactuspulley.core.platform.CacheEventPage
import org.cactuspulley.core.platform.TargetStatus
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetMonitorSpec : DescribeSpec({
    val start = MonotonicTime.ZERO + 10.seconds
    val zones = listOf("a", "b", "c")
    val members = zones.flatMap { zone -> List(2) { instance("$zone-$it", zone) } }
    val engines = List(9) { engine("engine-$it", zones[it % 3]) }
    val configuration = Configuration(targets = engines.associate { it.id to Versioned(it, LogOffset(0)) })

    fun monitor(self: Instance, live: List<Instance> = members) = TargetMonitor(self.id).apply {
        handle(MembershipChanged(Membership(self.id, live.associateBy { it.id })), start)
        handle(ConfigurationChanged(configuration), start)
    }

    describe("watching") {
        it("has exactly one watcher for each target, of the target's zone") {
            val monitors = members.map { it to monitor(it) }
            engines.forEach { engine ->
                val watchers = monitors.filter { (_, monitor) -> monitor.watches(engine.id) }.map { it.first }
                watchers shouldHaveSize 1
                watchers.single().zone shouldBe engine.zone
            }
        }

        it("is taken over by another instance when the watcher leaves") {
            val engine = engines.first()
            val watcher = members.first { monitor(it).watches(engine.id) }
            val left = members - watcher
            left.count { monitor(it, left).watches(engine.id) } shouldBe 1
        }

        it("sends the status that the watcher read to every other instance") {
            val engine = engines.first()
            val watcher = members.first { monitor(it).watches(engine.id) }
            val effects = monitor(watcher).handle(StatusRead(engine.id, TargetStatus(1), start), start)
            val messages = effects.filterIsInstance<SendToPeer>()
            messages.map { it.peer }.toSet() shouldBe (members - watcher).map { it.id }.toSet()
            val other = members.first { it != watcher }
            val receiver = monitor(other)
            receiver.handle(PeerMessageReceived(watcher.id, messages.first().message), start)
            receiver.find(engine.id)?.incarnation shouldBe TargetIncarnation(1)
        }

        it("is done by any instance that receives no news for a while") {
            val engine = engines.first()
            val other = members.first { !monitor(it).watches(engine.id) }
            val later = start + 3.seconds
            monitor(other).handle(TimerFired, later).filterIsInstance<ReadStatus>().map { it.target.id } shouldContain engine.id
        }
    }

    describe("a crash that is detected by own requests") {
        val engine = engines.first()
        val monitor = monitor(members.first())
        monitor.handle(StatusRead(engine.id, TargetStatus(1), start), start)

        it("clears the incarnation immediately and reads the status of the target") {
            val effects = monitor.handle(TargetCrashDetected(engine.id), start + 100.milliseconds)
            monitor.find(engine.id)?.incarnation.shouldBeNull()
            monitor.find(engine.id)?.health shouldBe TargetHealth.SUSPECTED
            effects.filterIsInstance<ReadStatus>().map { it.target.id } shouldContain engine.id
        }

        it("is not reverted by a status that was requested before it") {
            monitor.handle(StatusRead(engine.id, TargetStatus(1), start + 50.milliseconds), start + 200.milliseconds)
            monitor.find(engine.id)?.incarnation.shouldBeNull()
        }

        it("ends with a later status that has the new incarnation") {
            monitor.handle(StatusRead(engine.id, TargetStatus(2), start + 150.milliseconds), start + 200.milliseconds)
            monitor.find(engine.id)?.health shouldBe TargetHealth.HEALTHY
            monitor.find(engine.id)?.incarnation shouldBe TargetIncarnation(2)
        }
    }

    it("marks a target as unhealthy after two unanswered status reads") {
        val engine = engines.first()
        val monitor = monitor(members.first())
        monitor.handle(StatusFailed(engine.id, start), start + 1.seconds)
        monitor.find(engine.id)?.health shouldBe TargetHealth.SUSPECTED
        monitor.handle(StatusFailed(engine.id, start + 1.seconds), start + 2.seconds)
        monitor.find(engine.id)?.health shouldBe TargetHealth.UNHEALTHY
    }

    describe("cache events") {
        val engine = engines.first()
        val watcher = members.first { monitor(it).watches(engine.id) }

        fun changes(effects: List<CoreEffect>) =
            effects.filterIsInstance<Publish>().map { it.event }.filterIsInstance<CacheChanged>()

        fun page(incarnation: Long, numbers: LongRange, missing: Long = 0) = CacheEventPage(
            incarnation = incarnation,
            events = numbers.map { CacheEvent(it, CacheEventKind.STORED, it, 1024) },
            next = numbers.last + 1,
            missing = missing,
        )

        it("are reported as incomplete if some were lost") {
            val effects = monitor(watcher).handle(CacheEventsRead(engine.id, page(1, 0L..3L, missing = 2)), start)
            changes(effects).single().complete shouldBe false
        }

        it("are read from the start after a restart, and none before that is attributed to the new incarnation") {
            val monitor = monitor(watcher)
            monitor.handle(CacheEventsRead(engine.id, page(1, 0L..9L)), start)
            val effects = monitor.handle(CacheEventsRead(engine.id, page(2, 10L..12L)), start)
            changes(effects).shouldBeEmpty()
            effects.filterIsInstance<ReadCacheEvents>().single().from shouldBe 0
        }
    }
})

private fun instance(id: String, zone: String) = Instance(InstanceId(id), InstanceIncarnation(1), "", "", ZoneName(zone))

private fun engine(id: String, zone: String) =
    Target(TargetId(id), TargetKind.ENGINE, PoolName("engines"), "127.0.0.1", 1, ZoneName(zone))
