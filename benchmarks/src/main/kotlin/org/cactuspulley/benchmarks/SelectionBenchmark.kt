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

/**
 * Measures target selection among 13 engines for 10,000 prompts of 50 workspaces. Each prompt has 24 pieces: 14 that
 * are shared by all prompts of its workspace, and 10 of its own, which makes 100,000 unique pieces.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public open class SelectionBenchmark {
    private val pool = PoolName("engines")
    private val model = ModelName("model")
    private val now = MonotonicTime(1_000_000_000)
    private val directory = FixedTargetDirectory(pool, model, now)
    private val selection = PrefixAwareSelection(directory, Random(1), SelectionSettings(indexEntries = 200_000))
    private var requestCount = 0

    /** Records one completed attempt for each prompt, so that the pieces of all prompts are in the prefix index. */
    @Setup
    public open fun recordPlacements() {
        for (number in 0 until UNIQUE_PIECES / UNIQUE_PIECES_PER_PROMPT) {
            val request = createRequest(number)
            val decision = selection.choose(request, now) as TargetDecision.Chosen
            val attempt = AttemptId("a$number")
            selection.attemptStarted(attempt, request, decision, now)
            selection.attemptFinished(attempt, AttemptReport.Completed(PIECES_PER_PROMPT * TOKENS_PER_PIECE, 0, 100), now)
        }
    }

    private fun createRequest(number: Int): SelectionRequest {
        val sharedPieces =
            List(PIECES_PER_PROMPT - UNIQUE_PIECES_PER_PROMPT) {
                PromptPiece(it.toLong() + number % WORKSPACE_COUNT * 1_000, TOKENS_PER_PIECE)
            }
        val uniquePieces =
            List(UNIQUE_PIECES_PER_PROMPT) { PromptPiece(1_000_000L + number * UNIQUE_PIECES_PER_PROMPT + it, TOKENS_PER_PIECE) }
        val workspace = WorkspaceId("workspace-${number % WORKSPACE_COUNT}")
        return SelectionRequest(
            RequestId("r$number"), workspace, pool, model, null, sharedPieces + uniquePieces, 200, false,
            now + 30.seconds,
        )
    }

    /** Chooses the target for one prompt whose pieces are all in the prefix index. */
    @Benchmark
    public open fun choose(): TargetDecision = selection.choose(
        createRequest(requestCount++ % (UNIQUE_PIECES / UNIQUE_PIECES_PER_PROMPT)),
        now,
    )

    private companion object {
        const val UNIQUE_PIECES = 100_000
        const val PIECES_PER_PROMPT = 24
        const val UNIQUE_PIECES_PER_PROMPT = 10
        const val TOKENS_PER_PIECE = 1_024
        const val WORKSPACE_COUNT = 50
    }
}

/** Holds 13 healthy, idle engines of one pool that never change. */
private class FixedTargetDirectory(pool: PoolName, model: ModelName, now: MonotonicTime) : TargetDirectory {
    private val weights = WeightsVersion("v1")

    override val configuration: Configuration =
        Configuration(models = mapOf(model to Versioned(Model(model, pool, weights), LogOffset.FIRST)))

    override val targets: List<KnownTarget> = List(ENGINE_COUNT) { number ->
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
        const val ENGINE_COUNT = 13
    }
}
