package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CachePlanSpec : DescribeSpec({
    describe("the plan for cached pieces") {
        it("names the weights, and the workspace where that is isolated") {
            val target = TargetDirectory().apply { upsert(entry("t-1", weights = 4)) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val configuration = configuration(store = "10.9.9.9:1")
            val open = planner.plan(configuration, grant(), prompt(), target, START)
            open shouldBe CachePlan("model-a@4/", 4, "10.9.9.9:1", saves = true)
            val isolated = planner.plan(configuration, grant(workspace = workspace("tenant-w", isolated = true)), prompt(), target, START)
            isolated?.scope shouldBe "model-a@4/tenant-w"
        }

        it("saves a subject once, whichever instance did, until the store may have forgotten it") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val peer = CachePlanner()
            val configuration = configuration(store = "10.9.9.9:1")

            fun CachePlanner.savesAt(now: MonotonicTime) = plan(configuration, grant(), prompt(), target, now)?.saves
            planner.savesAt(START) shouldBe true
            planner.recordPrefill(CachePlan("model-a@1/", 1, "10.9.9.9:1", saves = true), prompt(), START + 200.milliseconds)
            planner.savesAt(START + 1.seconds) shouldBe false
            planner.drainSaveNotices(START + 200.milliseconds).forEach { peer.recordPeerSave(it, START + 200.milliseconds) }
            peer.savesAt(START + 1.seconds) shouldBe false
            peer.savesAt(START + 16.seconds) shouldBe true
            planner.recordStoreState("10.9.9.9:1", false)
            planner.recordStoreState("10.9.9.9:1", true)
            planner.savesAt(START + 2.seconds) shouldBe true
        }

        it("saves a subject with another request when the first was not read") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()

            fun savesAt(now: MonotonicTime) = planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, now)?.saves
            savesAt(START) shouldBe true
            savesAt(START + 500.milliseconds) shouldBe false
            savesAt(START + 1_100.milliseconds) shouldBe true
        }

        it("lets requests meet by their first piece until its first reader has saved it, on all instances") {
            val target = TargetDirectory().apply { upsert(entry("t-1", weights = 4)) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val peer = CachePlanner()
            val description = prompt()

            fun CachePlanner.at(now: MonotonicTime, weights: Long = 4) = affinity(grant(), description, weights, now)
            planner.at(START) shouldBe description.rootPiece
            planner.plan(configuration(store = "10.9.9.9:1"), grant(), description, target, START)
            planner.hasUrgentNotices shouldBe true
            planner.at(START + 100.milliseconds) shouldBe description.rootPiece
            planner.drainSaveNotices(START + 100.milliseconds).forEach { peer.recordPeerSave(it, START + 100.milliseconds) }
            peer.at(START + 200.milliseconds) shouldBe description.rootPiece
            planner.hasUrgentNotices shouldBe false
            planner.at(START + 500.milliseconds) shouldBe description.affinity
            peer.at(START + 500.milliseconds) shouldBe description.affinity
            planner.at(START + 500.milliseconds, weights = 5) shouldBe description.rootPiece
            planner.at(START + 16.seconds) shouldBe description.rootPiece
        }

        it("ends the meeting by a first piece as soon as it was read") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val peer = CachePlanner()
            val plan = planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, START) ?: error("no plan")
            planner.drainSaveNotices(START).forEach { peer.recordPeerSave(it, START) }
            planner.recordPrefill(plan, prompt(), START + 150.milliseconds)
            planner.hasUrgentNotices shouldBe true
            planner.drainSaveNotices(START + 200.milliseconds).forEach { peer.recordPeerSave(it, START + 200.milliseconds) }
            listOf(planner, peer).forEach { it.affinity(grant(), prompt(), 1, START + 200.milliseconds) shouldBe prompt().affinity }
        }

        it("knows what of a prompt need not be read") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val description = prompt(subject = 1)

            fun kept(prompt: PromptDescription, weights: Long = 1) = planner.reusableTokens(grant(), prompt, weights, START + 100.milliseconds)
            kept(description) shouldBe 0
            planner.plan(configuration(store = "10.9.9.9:1"), grant(), description, target, START)
            kept(description) shouldBe description.sharedTokens
            kept(prompt(subject = 2)) shouldBe description.pieces.first().tokens
            kept(description, weights = 2) shouldBe 0
        }

        it("goes by the last shared piece where weights are about to change") {
            CachePlanner().affinity(grant(), prompt(), null, START) shouldBe prompt().affinity
        }

        it("looks for the pieces of one root in one store, wherever the target is") {
            val directory = TargetDirectory().apply { (1..6).forEach { upsert(entry("t-$it")) } }
            val stores = listOf("10.9.9.1:1", "10.9.9.2:1", "10.9.9.3:1")
            val configuration = configuration(stores = stores)
            val chosen = directory.all.flatMap { target ->
                (1L..20L).map { CachePlanner().plan(configuration, grant(), prompt(subject = it), target, START)?.store }
            }
            chosen.toSet().size shouldBe 1
            val lost = CachePlanner().apply { chosen.first()?.let { recordStoreState(it, false) } }
            lost.plan(configuration, grant(), prompt(), directory.all.first(), START)?.store shouldNotBe chosen.first()
        }

        it("does without a store of which a peer says that it does not answer, as long as that is said") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()

            fun storeAt(now: MonotonicTime) = planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, now)?.store
            planner.recordPeerStoreFailure("10.9.9.9:1", START + 900.milliseconds, START)
            storeAt(START + 500.milliseconds) shouldBe null
            storeAt(START + 1.seconds) shouldBe "10.9.9.9:1"
            planner.unreachableStores.isEmpty() shouldBe true
        }

        it("does without a store that does not answer") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            planner.recordStoreState("10.9.9.9:1", false) shouldBe true
            planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, START)?.store shouldBe null
            planner.recordStoreState("10.9.9.9:1", true) shouldBe true
            planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, START)?.store shouldBe "10.9.9.9:1"
        }
    }
})
