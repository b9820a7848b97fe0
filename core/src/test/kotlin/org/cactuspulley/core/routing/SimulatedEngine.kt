package org.cactuspulley.core.routing

import org.cactuspulley.core.platform.CacheEvent
import org.cactuspulley.core.platform.CacheEventKind
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.platform.TargetLoad
import org.cactuspulley.core.platform.TargetStatus

/**
 * The capacity of a simulated engine.
 *
 * @property slots the number of requests that run concurrently.
 * @property cachePieces the number of pieces that the prefix cache holds.
 * @property nanosecondsPerToken the time to generate one output token, in nanoseconds.
 */
internal data class EngineCapacity(
    val prefillTokensPerSecond: Int,
    val slots: Int,
    val cachePieces: Int,
    val nanosecondsPerToken: Long = 15_000_000,
)

/** A request at a simulated engine. [firstToken] and [finished] are called with the number of reused tokens. */
internal class EngineJob(
    val hashes: LongArray,
    val promptTokens: Int,
    val outputTokens: Int,
    val mayWait: Boolean,
    val firstToken: (cachedTokens: Int) -> Unit,
    val finished: (cachedTokens: Int) -> Unit,
)

/**
 * Simulates an engine in virtual time. It has a limited number of slots, computes one prompt at a time and has a prefix
 * cache with LRU eviction.
 */
internal class SimulatedEngine(
    private val capacity: EngineCapacity,
    private val model: ServedModel,
    private val clock: VirtualClock,
    private val everComputed: MutableSet<Long>,
) {
    private val cache = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val events = mutableListOf<CacheEvent>()
    private val queue = mutableListOf<EngineJob>()
    private val prompts = mutableListOf<EngineJob>()
    private var computing: EngineJob? = null
    private var running = 0
    var recomputedTokens = 0L
        private set

    fun submit(job: EngineJob) {
        queue.add(if (job.mayWait) queue.size else queue.indexOfFirst { it.mayWait }.let { if (it < 0) queue.size else it }, job)
        admit()
    }

    fun cachedPieces(hashes: LongArray): Int = hashes.indexOfFirst { it !in cache }.let { if (it < 0) hashes.size else it }

    /** Adds pieces to the cache that another engine computed. */
    fun import(hashes: LongArray) = markUsed(hashes)

    /** Returns the number of leading pieces that are cached, or will be once the queued and running jobs are computed. */
    fun expectedPieces(hashes: LongArray): Int {
        val jobs = queue + prompts + listOfNotNull(computing)
        return maxOf(cachedPieces(hashes), jobs.maxOfOrNull { commonPieces(it.hashes, hashes) } ?: 0)
    }

    fun status(): TargetStatus = TargetStatus(
        incarnation = 1,
        models = listOf(model),
        load = TargetLoad(
            running = running,
            waiting = queue.size,
            waitingPrefillTokens = (queue + prompts + listOfNotNull(computing)).sumOf { uncachedTokens(it).toLong() },
            prefillTokensPerSecond = capacity.prefillTokensPerSecond.toLong(),
            decodeSlots = capacity.slots,
        ),
    )

    fun drainEvents(): List<CacheEvent> = events.toList().also { events.clear() }

    private fun admit() {
        while (running < capacity.slots && queue.isNotEmpty()) {
            running++
            prompts.add(queue.removeFirst())
        }
        compute()
    }

    private fun compute() {
        if (computing != null || prompts.isEmpty()) return
        val job = prompts.removeAt(prompts.indexOfFirst { !it.mayWait }.coerceAtLeast(0))
        computing = job
        val cached = cachedPieces(job.hashes)
        recomputedTokens += job.hashes.drop(cached).count { !everComputed.add(it) } * PIECE_TOKENS.toLong()
        markUsed(job.hashes.copyOf(cached))
        clock.after(uncachedTokens(job) * NANOSECONDS_PER_SECOND / capacity.prefillTokensPerSecond) { computed(job, cached * PIECE_TOKENS) }
    }

    private fun computed(job: EngineJob, cachedTokens: Int) {
        computing = null
        markUsed(job.hashes)
        job.firstToken(cachedTokens)
        clock.after(job.outputTokens * capacity.nanosecondsPerToken) {
            running--
            markUsed(job.hashes)
            job.finished(cachedTokens)
            admit()
        }
        compute()
    }

    private fun uncachedTokens(job: EngineJob): Int = job.promptTokens - cachedPieces(job.hashes) * PIECE_TOKENS

    private fun markUsed(hashes: LongArray) {
        for (hash in hashes.reversed()) {
            if (cache.put(hash, Unit) == null) events += CacheEvent(0, CacheEventKind.STORED, hash, PIECE_TOKENS)
        }
        while (cache.size > capacity.cachePieces) {
            val eldest = cache.keys.first()
            cache.remove(eldest)
            events += CacheEvent(0, CacheEventKind.EVICTED, eldest, PIECE_TOKENS)
        }
    }
}

private fun commonPieces(first: LongArray, second: LongArray): Int {
    var length = 0
    while (length < minOf(first.size, second.size) && first[length] == second[length]) length++
    return length
}
