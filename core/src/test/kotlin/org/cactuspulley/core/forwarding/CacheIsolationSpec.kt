package org.cactuspulley.core.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cactuspulley.core.model.TargetId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val TARGET = TargetDirectory().apply { upsert(entry("t-1")) }[TargetId("t-1")] ?: error("no target")

/** Returns a configuration with the workspaces in [shared] and [isolated]. */
private fun sharing(shared: Set<String>, isolated: Set<String>, version: Long = 1) = configuration(
    version = version,
    workspaces = shared.map { workspace(it) } + isolated.map { workspace(it, isolated = true) },
    store = "10.9.9.9:1",
)

/** Returns the scope of a request that [workspace] sends, by an instance that knows only [configuration]. */
private fun scope(configuration: ForwardingConfiguration, workspace: String, grantedBy: ForwardingConfiguration = configuration): String {
    val granted = grantedBy.workspaces.values.first { it.name.text == workspace }
    return CachePlanner().plan(configuration, grant(workspace = granted), prompt(), TARGET, START)?.scope ?: error("no plan")
}

class CacheIsolationSpec : DescribeSpec({
    val bothShare = sharing(setOf("mill", "ferry"), emptySet())
    val millIsolated = sharing(setOf("ferry"), setOf("mill"))
    val ferryIsolated = sharing(setOf("mill"), setOf("ferry"))

    describe("a workspace that becomes isolated") {
        // Guards against pieces that its requests made while it shared them, which served other workspaces afterwards.
        it("leaves the others a scope that it has never used") {
            scope(bothShare, "mill") shouldBe scope(bothShare, "ferry")
            scope(millIsolated, "ferry") shouldNotBe scope(bothShare, "mill")
            scope(millIsolated, "mill") shouldNotBe scope(bothShare, "ferry")
        }

        it("changes no scope but the shared one, and that for no other change") {
            val three = sharing(setOf("ferry"), setOf("mill", "quay"), version = 3)
            val withDock = sharing(setOf("ferry", "dock"), setOf("quay", "mill"), version = 9)
            scope(withDock, "ferry") shouldBe scope(three, "ferry")
            scope(withDock, "mill") shouldBe scope(millIsolated, "mill")
        }

        it("has a request that waited since it shared pieces use its own scope") {
            scope(millIsolated, "mill", grantedBy = bothShare) shouldBe scope(millIsolated, "mill")
            scope(millIsolated, "ferry", grantedBy = bothShare) shouldBe scope(millIsolated, "ferry")
        }

        it("costs one more read of each prefix that the others share") {
            val planner = CachePlanner()
            val ferry = grant(workspace = workspace("ferry"))
            val prompts = (1L..10L).map { prompt(subject = it) }

            fun reads(configuration: ForwardingConfiguration) = prompts.count { prompt ->
                val isCached = planner.reusableTokens(configuration, ferry, prompt, 1, START) == prompt.sharedTokens
                planner.plan(configuration, ferry, prompt, TARGET, START)?.let { planner.recordPrefill(it, prompt, START) }
                !isCached
            }
            reads(bothShare) shouldBe 10
            reads(bothShare) shouldBe 0
            reads(millIsolated) shouldBe 10
            reads(millIsolated) shouldBe 0
            planner.reusableTokens(bothShare, ferry, prompts.first(), 1, START + 1.seconds) shouldBe prompts.first().sharedTokens
        }
    }

    describe("two workspaces that change places") {
        it("never use a scope that the other one used while that was not isolated") {
            scope(ferryIsolated, "mill") shouldNotBe scope(millIsolated, "ferry")
            scope(ferryIsolated, "mill") shouldNotBe scope(bothShare, "mill")
            scope(ferryIsolated, "ferry") shouldNotBe scope(millIsolated, "ferry")
        }
    }

    describe("a workspace that was removed while its request waited") {
        it("shares nothing") {
            val withoutMill = sharing(setOf("ferry"), emptySet())
            scope(withoutMill, "mill", grantedBy = bothShare) shouldNotBe scope(withoutMill, "ferry")
        }
    }

    describe("in a simulation of workspaces that share, are isolated, removed and added") {
        // Guards against any order of changes after which an isolated workspace shares pieces, whatever lags behind or waits.
        it("no piece passes between two workspaces of which the newest configuration isolates one") {
            for (seed in 1..200) withClue("seed $seed") { simulateIsolation(Random(seed)).shouldBeEmpty() }
        }
    }
})

/**
 * Simulates a cache that drops nothing, in which each scope collects the workspaces that made pieces under it. Requests are granted by
 * one of the last three configurations and sent under the newest one or, by an instance that lags behind, an older one. Returns the uses
 * of foreign pieces, under the newest configuration, that break an isolation.
 */
private fun simulateIsolation(random: Random): List<String> {
    val names = listOf("mill", "ferry", "quay", "dock")
    val makers = HashMap<String, MutableSet<String>>()
    val configurations = mutableListOf(sharing(names.toSet(), emptySet()))
    val broken = mutableListOf<String>()
    repeat(30) { step ->
        val states = names.associateWith { random.nextInt(3) }
        val newest = sharing(names.filter { states[it] == 0 }.toSet(), names.filter { states[it] == 1 }.toSet(), version = step + 2L)
        configurations += newest
        val isolated = newest.workspaces.values.filter { it.isIsolated }.map { it.name.text }
        repeat(20) {
            val granted = configurations.takeLast(3).random(random)
            val isLagging = random.nextInt(4) == 0
            val sentUnder = if (isLagging) granted else newest
            val workspace = granted.workspaces.keys.randomOrNull(random)?.text ?: return@repeat
            val used = makers.getOrPut(scope(sentUnder, workspace, granted), ::mutableSetOf)
            val foreign = used - workspace
            if (!isLagging && foreign.any { workspace in isolated || it in isolated }) {
                broken += "version ${newest.version}: $workspace uses pieces of $foreign"
            }
            used += workspace
        }
    }
    return broken
}
