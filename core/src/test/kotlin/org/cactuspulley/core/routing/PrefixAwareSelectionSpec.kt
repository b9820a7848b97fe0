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
    describe("the estimate of cached tokens") {
        it("counts the prompt of an earlier request of the same workspace") {
            val fixture = SelectionFixture()
            fixture.runToCompletion(fixture.request())
            fixture.expectedTokens(fixture.request()) shouldBeGreaterThan PIECES * PIECE_TOKENS / 2
        }

        it("is zero for another workspace or another version of the weights") {
            val fixture = SelectionFixture()
            fixture.runToCompletion(fixture.request())
            fixture.expectedTokens(fixture.request(workspace = "queensland")) shouldBe 0
            fixture.reportStatus(weights = "2")
            fixture.expectedTokens(fixture.request()) shouldBe 0
        }

        it("is zero after a crash, before and after the restart is reported") {
            val fixture = SelectionFixture()
            fixture.runToCompletion(fixture.request())
            fixture.monitor.handle(TargetCrashDetected(ENGINE), fixture.now)
            fixture.expectedTokens(fixture.request()) shouldBe 0
            fixture.reportStatus(incarnation = 2)
            fixture.expectedTokens(fixture.request()) shouldBe 0
        }

        it("ignores an answer of an earlier incarnation") {
            val fixture = SelectionFixture()
            val attempt = fixture.start(fixture.request())
            fixture.reportStatus(incarnation = 2)
            fixture.finish(attempt, cachedTokens = 0)
            fixture.expectedTokens(fixture.request()) shouldBe 0
        }

        it("decreases after a gap in the cache events and is zero after an eviction") {
            val fixture = SelectionFixture()
            fixture.runToCompletion(fixture.request())
            val before = fixture.expectedTokens(fixture.request())
            fixture.now += 3.seconds
            fixture.reportCacheChange(complete = false)
            fixture.expectedTokens(fixture.request()) shouldBeLessThan before
            fixture.reportCacheChange(evicted = fixture.hashes())
            fixture.expectedTokens(fixture.request()) shouldBe 0
        }

        it("ignores an eviction of pieces that were recorded within the event lag") {
            val fixture = SelectionFixture()
            fixture.runToCompletion(fixture.request())
            fixture.now += 500.milliseconds
            fixture.reportCacheChange(evicted = fixture.hashes())
            fixture.expectedTokens(fixture.request()) shouldBeGreaterThan 0
        }

        it("ignores cache events of another incarnation") {
            val fixture = SelectionFixture()
            fixture.reportCacheChange(stored = fixture.hashes(), incarnation = 7)
            fixture.expectedTokens(fixture.request()) shouldBe 0
        }
    }

    describe("the load estimate") {
        it("counts an own request once, before and after the target reports it") {
            val fixture = SelectionFixture()
            fixture.start(fixture.request())
            fixture.now += 1.seconds
            val known = fixture.monitor.find(ENGINE)!!
            val loads = InFlightLoads(SelectionSettings())
            loads.start(AttemptId("a"), InFlightAttempt(ENGINE, fixture.now, 1000, fixture.now + 5.seconds))
            loads.estimate(known, fixture.now).requests shouldBe 1
            fixture.now += 1.seconds
            fixture.reportStatus(load = TargetLoad(running = 1, waitingPrefillTokens = 1000))
            loads.estimate(fixture.monitor.find(ENGINE)!!, fixture.now) shouldBe LoadEstimate(1, 1000)
        }

        it("reserves capacity for interactive requests") {
            val fixture = SelectionFixture()
            fixture.reportStatus(load = TargetLoad(running = 8, decodeSlots = 10))
            fixture.choose(fixture.request(mayWait = true)).shouldBeInstanceOf<TargetDecision.Busy>()
            fixture.choose(fixture.request()).shouldBeInstanceOf<TargetDecision.Chosen>()
        }
    }

    describe("every policy") {
        for (policy in SelectionPolicy.entries) {
            it("$policy does not select leaving or loading targets, excluded ones or ones without the model") {
                val fixture = SelectionFixture(policy)
                fixture.choose(fixture.request(excluded = setOf(ENGINE))) shouldBe TargetDecision.None(NoTargetReason.ALL_EXCLUDED)
                fixture.choose(fixture.request(model = ModelName("route-lm"))) shouldBe TargetDecision.None(NoTargetReason.MODEL_UNKNOWN)
                fixture.reportStatus(state = TargetState.LOADING)
                fixture.choose(fixture.request()) shouldBe TargetDecision.None(NoTargetReason.ALL_UNHEALTHY)
                fixture.reportStatus()
                fixture.configure(leaving = true)
                fixture.choose(fixture.request()) shouldBe TargetDecision.None(NoTargetReason.POOL_EMPTY)
            }
        }
    }
})

/** A selection with one configured engine. */
private class SelectionFixture(policy: SelectionPolicy = SelectionPolicy.PREFIX_AWARE) {
    val monitor = TargetMonitor(InstanceId("instance"))
    private val selection = targetSelection(policy, monitor, Random(1))
    private var attempts = 0
    var now = START

    init {
        configure()
        reportStatus()
    }

    fun configure(leaving: Boolean = false) {
        val engine = Target(ENGINE, TargetKind.ENGINE, POOL, "127.0.0.1", 1, ZoneName("a"), leaving = leaving)
        val configuration = Configuration(
            models = mapOf(MODEL to Versioned(Model(MODEL, POOL, WeightsVersion("1")), LogOffset(0))),
            targets = mapOf(ENGINE to Versioned(engine, LogOffset(1))),
        )
        monitor.handle(ConfigurationChanged(configuration), now)
    }

    fun reportStatus(
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

    fun start(request: SelectionRequest): AttemptId {
        val attempt = AttemptId("attempt-${attempts++}")
        selection.attemptStarted(attempt, request, choose(request) as TargetDecision.Chosen, now)
        return attempt
    }

    fun finish(attempt: AttemptId, cachedTokens: Int) {
        selection.attemptFinished(attempt, AttemptReport.Completed(PIECES * PIECE_TOKENS, cachedTokens, 10), now)
    }

    fun runToCompletion(request: SelectionRequest) = finish(start(request), cachedTokens = 0)

    fun reportCacheChange(
        stored: List<Long> = emptyList(),
        evicted: List<Long> = emptyList(),
        complete: Boolean = true,
        incarnation: Long = 1,
    ) {
        selection.handle(CacheChanged(ENGINE, TargetIncarnation(incarnation), stored, evicted, cleared = false, complete), now)
    }

    private fun prompt(): List<PromptPiece> = List(PIECES) { PromptPiece(it.toLong(), PIECE_TOKENS) }
}
