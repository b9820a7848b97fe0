package org.cactuspulley.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.event.CacheChanged
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.StatusRead
import org.cactuspulley.core.event.TargetCrashDetected
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.platform.TargetLoad
import org.cactuspulley.core.platform.TargetState
import org.cactuspulley.core.platform.TargetStatus
import org.cactuspulley.core.requests.PromptPiece
import org.cactuspulley.core.targets.TargetMonitor
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val MODEL = ModelName("layout-llm")
private val POOL = PoolName("engines")
private val START = MonotonicTime.ZERO + 10.seconds
private val ENGINE = TargetId("engine-0")
private const val PIECES = 8

class PrefixAwareSelectionSpec : DescribeSpec({
    describe("what an engine has cached") {
        it("is expected again for the same prompt of the same workspace") {
            val bench = SelectionBench()
            bench.answered(bench.request())
            bench.expectedTokens(bench.request()) shouldBeGreaterThan PIECES * PIECE_TOKENS / 2
        }

        it("is not expected for another workspace, adapter or version of the weights") {
            val bench = SelectionBench()
            bench.answered(bench.request())
            bench.expectedTokens(bench.request(workspace = "queensland")) shouldBe 0
            bench.tellStatus(weights = "2")
            bench.expectedTokens(bench.request()) shouldBe 0
        }

        it("is not expected after a restart, nor after a crash before the restart is known") {
            val bench = SelectionBench()
            bench.answered(bench.request())
            bench.monitor.handle(TargetCrashDetected(ENGINE), bench.now)
            bench.expectedTokens(bench.request()) shouldBe 0
            bench.tellStatus(incarnation = 2)
            bench.expectedTokens(bench.request()) shouldBe 0
        }

        it("is not learned from an answer of an earlier incarnation") {
            val bench = SelectionBench()
            val attempt = bench.started(bench.request())
            bench.tellStatus(incarnation = 2)
            bench.finished(attempt, cachedTokens = 0)
            bench.expectedTokens(bench.request()) shouldBe 0
        }

        it("is not expected after its eviction, and counts less after a gap in the events") {
            val bench = SelectionBench()
            bench.answered(bench.request())
            val before = bench.expectedTokens(bench.request())
            bench.now += 3.seconds
            bench.changed(complete = false)
            bench.expectedTokens(bench.request()) shouldBeLessThan before
            bench.changed(evicted = bench.hashes())
            bench.expectedTokens(bench.request()) shouldBe 0
        }

        it("survives an eviction that was published before it was computed anew") {
            val bench = SelectionBench()
            bench.answered(bench.request())
            bench.now += 500.milliseconds
            bench.changed(evicted = bench.hashes())
            bench.expectedTokens(bench.request()) shouldBeGreaterThan 0
        }

        it("is not learned from events of another incarnation") {
            val bench = SelectionBench()
            bench.changed(stored = bench.hashes(), incarnation = 7)
            bench.expectedTokens(bench.request()) shouldBe 0
        }
    }

    describe("load") {
        it("counts an own request once, before and after the target reports it") {
            val bench = SelectionBench()
            bench.started(bench.request())
            bench.now += 1.seconds
            val known = bench.monitor.find(ENGINE)!!
            val loads = InFlightLoads(SelectionSettings())
            loads.start(AttemptId("a"), InFlightAttempt(ENGINE, bench.now, 1000, bench.now + 5.seconds))
            loads.estimate(known, bench.now).requests shouldBe 1
            bench.now += 1.seconds
            bench.tellStatus(load = TargetLoad(running = 1, waitingPrefillTokens = 1000))
            loads.estimate(bench.monitor.find(ENGINE)!!, bench.now) shouldBe LoadEstimate(1, 1000)
        }

        it("keeps a reserve from requests that may wait") {
            val bench = SelectionBench()
            bench.tellStatus(load = TargetLoad(running = 8, decodeSlots = 10))
            bench.choose(bench.request(mayWait = true)).shouldBeInstanceOf<TargetDecision.Busy>()
            bench.choose(bench.request()).shouldBeInstanceOf<TargetDecision.Chosen>()
        }
    }

    describe("under every policy") {
        for (policy in Policy.entries) {
            it("$policy sends nothing to leaving, loading, excluded or foreign targets") {
                val bench = SelectionBench(policy)
                bench.choose(bench.request(excluded = setOf(ENGINE))) shouldBe TargetDecision.None(NoTargetReason.ALL_EXCLUDED)
                bench.choose(bench.request(model = ModelName("route-lm"))) shouldBe TargetDecision.None(NoTargetReason.MODEL_UNKNOWN)
                bench.tellStatus(state = TargetState.LOADING)
                bench.choose(bench.request()) shouldBe TargetDecision.None(NoTargetReason.ALL_UNHEALTHY)
                bench.tellStatus()
                bench.configure(leaving = true)
                bench.choose(bench.request()) shouldBe TargetDecision.None(NoTargetReason.POOL_EMPTY)
            }
        }
    }
})

/** One selection before one engine. */
private class SelectionBench(policy: Policy = Policy.PREFIX_AWARE) {
    val monitor = TargetMonitor(InstanceId("instance"))
    private val selection = targetSelection(policy, monitor, Random(1))
    private var attempts = 0
    var now = START

    init {
        configure()
        tellStatus()
    }

    fun configure(leaving: Boolean = false) {
        val engine = Target(ENGINE, TargetKind.ENGINE, POOL, "127.0.0.1", 1, ZoneName("a"), leaving = leaving)
        val configuration = Configuration(
            models = mapOf(MODEL to Versioned(Model(MODEL, POOL, WeightsVersion("1")), LogOffset(0))),
            targets = mapOf(ENGINE to Versioned(engine, LogOffset(1))),
        )
        monitor.handle(ConfigurationChanged(configuration), now)
    }

    fun tellStatus(
        incarnation: Long = 1,
        weights: String = "1",
        load: TargetLoad = TargetLoad(),
        state: TargetState = TargetState.SERVING,
    ) {
        val status = TargetStatus(incarnation, state, load, listOf(ServedModel(MODEL, WeightsVersion(weights))))
        monitor.handle(StatusRead(ENGINE, status, now), now)
    }

    fun request(
        workspace: String = "cascadia",
        mayWait: Boolean = false,
        excluded: Set<TargetId> = emptySet(),
        model: ModelName = MODEL,
    ) = SelectionRequest(
        request = RequestId("request"),
        workspace = WorkspaceId(workspace),
        pool = POOL,
        model = model,
        adapter = null,
        prompt = prompt(),
        maximumOutputTokens = 100,
        mayWait = mayWait,
        deadline = now + 10.seconds,
        excluded = excluded,
    )

    fun hashes(): List<Long> = chainHashes(cacheScope(WorkspaceId("cascadia"), MODEL, WeightsVersion("1"), null), prompt()).toList()

    fun choose(request: SelectionRequest): TargetDecision = selection.choose(request, now)

    fun expectedTokens(request: SelectionRequest): Int = (choose(request) as TargetDecision.Chosen).expectedCachedTokens

    fun started(request: SelectionRequest): AttemptId {
        val attempt = AttemptId("attempt-${attempts++}")
        selection.started(attempt, request, choose(request) as TargetDecision.Chosen, now)
        return attempt
    }

    fun finished(attempt: AttemptId, cachedTokens: Int) {
        selection.finished(attempt, AttemptReport.Completed(PIECES * PIECE_TOKENS, cachedTokens, 10), now)
    }

    fun answered(request: SelectionRequest) = finished(started(request), cachedTokens = 0)

    fun changed(
        stored: List<Long> = emptyList(),
        evicted: List<Long> = emptyList(),
        complete: Boolean = true,
        incarnation: Long = 1,
    ) {
        selection.handle(CacheChanged(ENGINE, TargetIncarnation(incarnation), stored, evicted, cleared = false, complete), now)
    }

    private fun prompt(): List<PromptPiece> = List(PIECES) { PromptPiece(it.toLong(), PIECE_TOKENS) }
}
