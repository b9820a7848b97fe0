package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CachePlanSpec : DescribeSpec({
    describe("the cache plan") {
        it("names the weights and, for an isolated workspace, the workspace in its scope") {
            val target = TargetDirectory().apply { upsert(entry("t-1", weights = 4)) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val configuration = configuration(store = "10.9.9.9:1")
            val open = planner.plan(configuration, grant(), prompt(), target, START)
            open shouldBe CachePlan("model-a@4/", 4, "10.9.9.9:1", saves = true)
            val isolated = planner.plan(configuration, grant(workspace = workspace("tenant-w", isolated = true)), prompt(), target, START)
            isolated?.scope shouldBe "model-a@4/tenant-w"
        }

        it("saves a prefix once over all instances, until the store may have evicted it") {
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

        it("saves a prefix with another request if the prompt of the first was not prefilled") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()

            fun savesAt(now: MonotonicTime) = planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, now)?.saves
            savesAt(START) shouldBe true
            savesAt(START + 500.milliseconds) shouldBe false
            savesAt(START + 1_100.milliseconds) shouldBe true
        }

        it("uses the root piece as affinity on all instances until the first request with it has saved it") {
            val target = TargetDirectory().apply { upsert(entry("t-1", weights = 4)) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val peer = CachePlanner()
            val description = prompt()

            fun CachePlanner.at(now: MonotonicTime, weights: Long = 4) = affinity(configuration(), grant(), description, weights, now)
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

        it("stops using the root piece as affinity as soon as it is prefilled") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val peer = CachePlanner()
            val plan = planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, START) ?: error("no plan")
            planner.drainSaveNotices(START).forEach { peer.recordPeerSave(it, START) }
            planner.recordPrefill(plan, prompt(), START + 150.milliseconds)
            planner.hasUrgentNotices shouldBe true
            planner.drainSaveNotices(START + 200.milliseconds).forEach { peer.recordPeerSave(it, START + 200.milliseconds) }
            listOf(planner, peer).forEach {
                it.affinity(configuration(), grant(), prompt(), 1, START + 200.milliseconds) shouldBe
                    prompt().affinity
            }
        }

        it("counts the tokens of a prompt that need no prefill") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            val description = prompt(subject = 1)

            fun reusableTokens(prompt: PromptDescription, weights: Long = 1) =
                planner.reusableTokens(configuration(), grant(), prompt, weights, START + 100.milliseconds)
            reusableTokens(description) shouldBe 0
            planner.plan(configuration(store = "10.9.9.9:1"), grant(), description, target, START)
            reusableTokens(description) shouldBe description.sharedTokens
            reusableTokens(prompt(subject = 2)) shouldBe description.pieces.first().tokens
            reusableTokens(description, weights = 2) shouldBe 0
        }

        it("uses the last shared piece as affinity if the weights version is unknown") {
            CachePlanner().affinity(configuration(), grant(), prompt(), null, START) shouldBe prompt().affinity
        }

        it("uses one store for all prompts with the same root piece on all targets") {
            val directory = TargetDirectory().apply { (1..6).forEach { upsert(entry("t-$it")) } }
            val stores = listOf("10.9.9.1:1", "10.9.9.2:1", "10.9.9.3:1")
            val configuration = configuration(stores = stores)
            val chosen = directory.all.flatMap { target ->
                (1L..20L).map { CachePlanner().plan(configuration, grant(), prompt(subject = it), target, START)?.store }
            }
            chosen.toSet().size shouldBe 1
            val withoutStore = CachePlanner().apply { chosen.first()?.let { recordStoreState(it, false) } }
            withoutStore.plan(configuration, grant(), prompt(), directory.all.first(), START)?.store shouldNotBe chosen.first()
        }

        it("avoids a store that a peer reports as unresponsive until the report expires") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()

            fun storeAt(now: MonotonicTime) = planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, now)?.store
            planner.recordPeerStoreFailure("10.9.9.9:1", START + 900.milliseconds, START)
            storeAt(START + 500.milliseconds) shouldBe null
            storeAt(START + 1.seconds) shouldBe "10.9.9.9:1"
            planner.unresponsiveStores.isEmpty() shouldBe true
        }

        it("avoids an unresponsive store until it responds again") {
            val target = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")
            val planner = CachePlanner()
            planner.recordStoreState("10.9.9.9:1", false) shouldBe true
            planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, START)?.store shouldBe null
            planner.recordStoreState("10.9.9.9:1", true) shouldBe true
            planner.plan(configuration(store = "10.9.9.9:1"), grant(), prompt(), target, START)?.store shouldBe "10.9.9.9:1"
        }
    }
})
