package org.cactuspulley.standins.engine

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.platform.TargetLoad
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * One request in the batch.
 *
 * @property attempt the attempt id of the request.
 * @property chains the chained hashes of the full pieces of the prompt.
 * @property pieceTokens the number of tokens of each piece, including a partial last piece.
 * @property outputTokens the number of tokens of the completion.
 * @property firstOutputToken the index of the first output token to generate; a resumed request skips those before it.
 * @property interactive whether the request has priority over batch requests.
 */
public class EngineJob(
    public val attempt: String,
    public val chains: LongArray,
    public val pieceTokens: IntArray,
    public val outputTokens: Int,
    public val firstOutputToken: Int,
    public val interactive: Boolean,
) {
    /** The number of prompt tokens. */
    public val promptTokens: Int = pieceTokens.sum()
}

/** An output of one step of the batch. */
public sealed interface EngineOutput {
    /** The attempt id of the request. */
    public val attempt: String

    /** The request generated the output token at [index], counted from 0. */
    public data class Token(override val attempt: String, val index: Int) : EngineOutput

    /** The request has finished; [cachedTokens] of its prompt tokens came from the prefix cache. */
    public data class Finished(override val attempt: String, val cachedTokens: Int) : EngineOutput
}

/**
 * Simulates continuous batching with chunked prefill over a prefix cache. Callers pass in the time.
 *
 * The batch runs in steps. In each step, every running request whose prompt is computed generates
 * one output token, and up to one chunk of prompt tokens is computed for the other running requests,
 * interactive ones first. The duration of a step is a fixed time plus the time to compute its prompt
 * tokens. Not thread-safe.
 */
public class BatchSimulator(private val settings: EngineSettings, private val cache: PrefixCache) {
    /** The progress of a running request. [weightsGeneration] identifies the weights that it started with. */
    private class Sequence(val job: EngineJob, val weightsGeneration: Int) {
        var finishedPieces = 0
        var prefilledInPiece = 0
        var cachedTokens = 0
        var resumedTokensLeft = job.firstOutputToken
        var nextOutputToken = job.firstOutputToken
        val isPrefilled get() = finishedPieces == job.pieceTokens.size && resumedTokensLeft == 0
        val prefillTokensLeft: Int
            get() = job.pieceTokens.drop(finishedPieces).sum() - prefilledInPiece + resumedTokensLeft
    }

    private val waiting = ArrayList<EngineJob>()
    private val running = ArrayList<Sequence>()
    private var stepEnd: MonotonicTime? = null
    private var weightsGeneration = 0

    /** The factor by which the duration of every step is multiplied. */
    public var slowFactor: Double = 1.0

    /** The end of the current step, when [advance] has work to do; null if no request runs. */
    public val nextDeadline: MonotonicTime? get() = stepEnd

    /** The attempt ids of all waiting and running requests. */
    public val attempts: List<String> get() = waiting.map { it.attempt } + running.map { it.job.attempt }

    /** The current load. */
    public val load: TargetLoad
        get() = TargetLoad(
            running = running.size,
            waiting = waiting.size,
            waitingPrefillTokens = waiting.sumOf { it.promptTokens.toLong() } + running.sumOf { it.prefillTokensLeft.toLong() },
            prefillTokensPerSecond = settings.prefillTokensPerSecond.toLong(),
            decodeSlots = settings.decodeSlots,
        )

    /** Adds a request to the queue and starts a step if none runs. */
    public fun submit(job: EngineJob, now: MonotonicTime) {
        waiting.add(job)
        if (stepEnd == null) beginStep(now)
    }

    /** Removes a request; returns false if there is none with this attempt id. */
    public fun cancel(attempt: String): Boolean {
        val sequence = running.find { it.job.attempt == attempt }
        if (sequence != null) remove(sequence)
        return sequence != null || waiting.removeAll { it.attempt == attempt }
    }

    /** Removes every request and clears the prefix cache. */
    public fun crash() {
        waiting.clear()
        running.clear()
        stepEnd = null
        cache.clear()
    }

    /** Clears the prefix cache. Pieces that running requests compute with the old weights are not cached. */
    public fun replaceWeights() {
        weightsGeneration++
        cache.clear()
    }

    /** Ends every step that is due at [now], starts the next one, and returns the outputs in order. */
    public fun advance(now: MonotonicTime): List<EngineOutput> {
        val outputs = ArrayList<EngineOutput>()
        while (true) {
            val end = stepEnd ?: break
            if (end > now) break
            outputs += endStep()
            beginStep(end)
        }
        return outputs
    }

    private fun beginStep(now: MonotonicTime) {
        admitWaiting()
        if (running.isEmpty()) {
            stepEnd = null
            return
        }
        val prefilledTokens = prefillChunk()
        stepEnd = now + stepDuration(prefilledTokens)
    }

    private fun stepDuration(promptTokens: Int): Duration {
        val prefill = (promptTokens * NANOSECONDS_PER_SECOND / settings.prefillTokensPerSecond).nanoseconds
        return (settings.stepMicros.microseconds + prefill) * slowFactor
    }

    private fun admitWaiting() {
        while (running.size < settings.decodeSlots && waiting.isNotEmpty()) {
            val job = waiting.firstOrNull { it.interactive } ?: waiting.first()
            waiting.remove(job)
            running.add(Sequence(job, weightsGeneration))
        }
    }

    private fun prefillChunk(): Int {
        var budget = settings.prefillChunkTokens
        val (interactive, batch) = running.filter { !it.isPrefilled }.partition { it.job.interactive }
        for (sequence in interactive + batch) {
            budget -= prefill(sequence, budget)
            if (budget <= 0) break
        }
        return settings.prefillChunkTokens - budget
    }

    /**
     * Computes at most [budget] prompt tokens of [sequence] and returns how many it computed. The output
     * tokens that a resumed request skips count as prompt tokens; cached pieces cost nothing.
     */
    private fun prefill(sequence: Sequence, budget: Int): Int {
        var remaining = budget
        while (remaining > 0 && !sequence.isPrefilled) {
            if (sequence.finishedPieces == sequence.job.pieceTokens.size) {
                val tokens = minOf(remaining, sequence.resumedTokensLeft)
                sequence.resumedTokensLeft -= tokens
                remaining -= tokens
            } else if (!reuseCachedPiece(sequence)) {
                remaining -= prefillPiece(sequence, remaining)
            }
        }
        return budget - remaining
    }

    private fun reuseCachedPiece(sequence: Sequence): Boolean {
        val chain = sequence.job.chains.getOrNull(sequence.finishedPieces) ?: return false
        if (sequence.prefilledInPiece > 0 || sequence.weightsGeneration != weightsGeneration || chain !in cache) return false
        cache.pin(chain)
        sequence.cachedTokens += sequence.job.pieceTokens[sequence.finishedPieces]
        sequence.finishedPieces++
        return true
    }

    private fun prefillPiece(sequence: Sequence, budget: Int): Int {
        val pieceTokens = sequence.job.pieceTokens[sequence.finishedPieces]
        val tokens = minOf(budget, pieceTokens - sequence.prefilledInPiece)
        sequence.prefilledInPiece += tokens
        if (sequence.prefilledInPiece == pieceTokens) finishPiece(sequence, pieceTokens)
        return tokens
    }

    private fun finishPiece(sequence: Sequence, tokens: Int) {
        val chains = sequence.job.chains
        val index = sequence.finishedPieces
        if (index < chains.size && sequence.weightsGeneration == weightsGeneration) {
            if (cache.store(chains[index], chains.getOrNull(index - 1), tokens)) cache.pin(chains[index])
        }
        sequence.finishedPieces++
        sequence.prefilledInPiece = 0
    }

    private fun endStep(): List<EngineOutput> {
        val outputs = ArrayList<EngineOutput>()
        val ready = running.filter { it.isPrefilled }
        for (sequence in ready) {
            if (sequence.nextOutputToken < sequence.job.outputTokens) {
                outputs.add(EngineOutput.Token(sequence.job.attempt, sequence.nextOutputToken++))
            }
            if (sequence.nextOutputToken >= sequence.job.outputTokens) {
                outputs.add(EngineOutput.Finished(sequence.job.attempt, sequence.cachedTokens))
                remove(sequence)
            }
        }
        return outputs
    }

    private fun remove(sequence: Sequence) {
        running.remove(sequence)
        val used = sequence.job.chains.copyOf(minOf(sequence.finishedPieces, sequence.job.chains.size))
        used.forEach(cache::unpin)
        cache.touch(used)
    }

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}
