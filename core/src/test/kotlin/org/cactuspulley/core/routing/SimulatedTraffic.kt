package org.cactuspulley.core.routing

import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.requests.PromptPiece
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** A request of the simulated traffic that arrives at the virtual time [at], in nanoseconds. */
internal class Arrival(
    val at: Long,
    val workspace: WorkspaceId,
    val prompt: List<PromptPiece>,
    val outputTokens: Int,
    val mayWait: Boolean,
)

/**
 * The engines and the traffic of a deployment. A prompt consists of a base, a document and sometimes a turn, so prompts
 * share prefixes of different lengths.
 *
 * @property basePieces the number of pieces of a workspace's base.
 * @property documents the number of documents of a workspace.
 * @property turnShare the share of the requests whose prompt contains a turn, from 0 to 1.
 * @property mayWaitShare the share of the requests that may wait, from 0 to 1.
 * @property baseVersionSeconds the time in seconds after which a workspace's base is replaced by a new version; 0 for never.
 * @property shiftSeconds the time in seconds after which the popularity of the documents shifts.
 */
internal data class Deployment(
    val name: String,
    val engines: Int,
    val engine: EngineCapacity,
    val arrivalsPerSecond: Double,
    val basePieces: Int,
    val documents: Int,
    val documentPieces: Int,
    val turnShare: Double,
    val mayWaitShare: Double,
    val baseVersionSeconds: Int,
    val shiftSeconds: Int,
) {
    fun arrivals(seed: Long, seconds: Int): List<Arrival> {
        val random = Random(seed)
        val arrivals = mutableListOf<Arrival>()
        var at = NANOSECONDS_PER_SECOND
        val end = (seconds + 1) * NANOSECONDS_PER_SECOND
        while (true) {
            at += (-ln(1 - random.nextDouble()) / arrivalsPerSecond * NANOSECONDS_PER_SECOND).toLong()
            if (at >= end) return arrivals
            arrivals += arrival(at, random)
        }
    }

    private fun arrival(at: Long, random: Random): Arrival {
        val workspace = weighted(WORKSPACE_SHARES, random)
        val second = (at / NANOSECONDS_PER_SECOND).toInt()
        val version = if (baseVersionSeconds == 0) 0 else (second + workspace * STAGGER_SECONDS) / baseVersionSeconds
        val document = (zipf(documents, random) + second / shiftSeconds * SHIFT_STEP) % documents
        val mayWait = random.nextDouble() < mayWaitShare
        val prompt = pieces("base", workspace, version, basePieces) + pieces("document", workspace, document, documentPieces) +
            (if (random.nextDouble() < turnShare) pieces("turn", workspace, random.nextInt(TURNS), TURN_PIECES) else emptyList()) +
            PromptPiece(random.nextLong(), random.nextInt(100, 500))
        val output = if (mayWait) random.nextInt(200, 400) else random.nextInt(40, 160)
        return Arrival(at, WorkspaceId("workspace-$workspace"), prompt, output, mayWait)
    }

    private fun pieces(kind: String, workspace: Int, number: Int, count: Int): List<PromptPiece> =
        List(count) { PromptPiece("$kind-$workspace-$number-$it".hashCode().toLong(), PIECE_TOKENS) }

    private fun zipf(count: Int, random: Random): Int = weighted(List(count) { 1 / (it + 1.0).pow(ZIPF_EXPONENT) }, random)

    private fun weighted(weights: List<Double>, random: Random): Int {
        var left = random.nextDouble() * weights.sum()
        weights.forEachIndexed { index, weight ->
            left -= weight
            if (left < 0) return index
        }
        return weights.lastIndex
    }

    companion object {
        private val WORKSPACE_SHARES = listOf(0.35, 0.3, 0.2, 0.1, 0.05)
        private const val ZIPF_EXPONENT = 1.1
        private const val STAGGER_SECONDS = 9
        private const val SHIFT_STEP = 7
        private const val TURNS = 12
        private const val TURN_PIECES = 2

        val CASCADIA = Deployment(
            name = "cascadia",
            engines = 8,
            engine = EngineCapacity(prefillTokensPerSecond = 16_000, slots = 24, cachePieces = 160),
            arrivalsPerSecond = 14.0,
            basePieces = 6,
            documents = 30,
            documentPieces = 8,
            turnShare = 0.4,
            mayWaitShare = 0.1,
            baseVersionSeconds = 0,
            shiftSeconds = 15,
        )

        val QUEENSLAND = Deployment(
            name = "queensland",
            engines = 13,
            engine = EngineCapacity(prefillTokensPerSecond = 16_000, slots = 24, cachePieces = 240),
            arrivalsPerSecond = 16.0,
            basePieces = 48,
            documents = 20,
            documentPieces = 6,
            turnShare = 0.3,
            mayWaitShare = 0.25,
            baseVersionSeconds = 45,
            shiftSeconds = 20,
        )
    }
}
