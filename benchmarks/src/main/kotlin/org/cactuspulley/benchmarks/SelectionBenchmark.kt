package org.cactuspulley.benchmarks

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.model.AttemptId
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
import org.cactuspulley.core.requests.PromptPiece
import org.cactuspulley.core.routing.AttemptReport
import org.cactuspulley.core.routing.PrefixAwareSelection
import org.cactuspulley.core.routing.SelectionRequest
import org.cactuspulley.core.routing.SelectionSettings
import org.cactuspulley.core.routing.TargetDecision
import org.cactuspulley.core.targets.KnownTarget
import org.cactuspulley.core.targets.TargetDirectory
import org.cactuspulley.core.targets.TargetHealth
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Chooses among 13 engines with 100,000 known prefixes; each prompt has 24 pieces. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public open class SelectionBenchmark {
    private val pool = PoolName("engines")
    private val model = ModelName("model")
    private val now = MonotonicTime(1_000_000_000)
    private val directory = FixedDirectory(pool, model, now)
    private val selection = PrefixAwareSelection(directory, Random(1), SelectionSettings(indexEntries = 200_000))
    private var requests = 0

    /** Places prompts until 100,000 prefixes are known. */
    @Setup
    public open fun learn() {
        for (number in 0 until PREFIXES / NEW_PIECES) {
            val request = request(number)
            val choice = selection.choose(request, now) as TargetDecision.Chosen
            val attempt = AttemptId("a$number")
            selection.attemptStarted(attempt, request, choice, now)
            selection.attemptFinished(attempt, AttemptReport.Completed(PIECES * PIECE_TOKENS, 0, 100), now)
        }
    }

    private fun request(number: Int): SelectionRequest {
        val shared = List(PIECES - NEW_PIECES) { PromptPiece(it.toLong() + number % FAMILIES * 1_000, PIECE_TOKENS) }
        val own = List(NEW_PIECES) { PromptPiece(1_000_000L + number * NEW_PIECES + it, PIECE_TOKENS) }
        val workspace = WorkspaceId("workspace-${number % FAMILIES}")
        return SelectionRequest(RequestId("r$number"), workspace, pool, model, null, shared + own, 200, false, now + 30.seconds)
    }

    /** Chooses the target of one prompt. */
    @Benchmark
    public open fun choose(): TargetDecision = selection.choose(request(requests++ % (PREFIXES / NEW_PIECES)), now)

    private companion object {
        const val PREFIXES = 100_000
        const val PIECES = 24
        const val NEW_PIECES = 10
        const val PIECE_TOKENS = 1_024
        const val FAMILIES = 50
    }
}

private class FixedDirectory(pool: PoolName, model: ModelName, now: MonotonicTime) : TargetDirectory {
    private val weights = WeightsVersion("v1")

    override val configuration: Configuration =
        Configuration(models = mapOf(model to Versioned(Model(model, pool, weights), LogOffset.FIRST)))

    override val targets: List<KnownTarget> = List(ENGINES) { number ->
        KnownTarget(
            target = Target(TargetId("engine-$number"), TargetKind.ENGINE, pool, "10.0.0.$number", 80, ZoneName("a")),
            health = TargetHealth.HEALTHY,
            incarnation = TargetIncarnation(1),
            state = TargetState.entries.first(),
            models = listOf(ServedModel(model, weights, emptyList())),
            load = TargetLoad(prefillTokensPerSecond = 8_000, decodeSlots = 1_000_000),
            loadAt = now,
        )
    }

    override fun inPool(pool: PoolName): List<KnownTarget> = targets

    override fun find(target: TargetId): KnownTarget? = targets.find { it.target.id == target }

    private companion object {
        const val ENGINES = 13
    }
}
