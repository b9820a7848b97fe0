package org.cactuspulley.core.routing

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.CacheChanged
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.StatusRead
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.model.rendezvousRank
import org.cactuspulley.core.platform.CacheEventKind
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.targets.KnownTarget
import org.cactuspulley.core.targets.TargetMonitor
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The delays and the losses of the reports of engines and of the messages between instances. */
internal data class Reporting(
    val loadLagMillis: Long = 250,
    val intervalMillis: Long = 250,
    val eventDelayMillis: Long = 1000,
    val lostEventShare: Double = 0.05,
    val lostMessageShare: Double = 0.01,
)

/** How the simulated instances select targets. */
internal sealed interface SelectionMode {
    data class Production(val policy: SelectionPolicy) : SelectionMode

    /** The prefix-aware selection with exact caches, exact loads or both instead of estimates. */
    data class ExactState(val exactCaches: Boolean = true, val exactLoads: Boolean = true) : SelectionMode
}

/** Prefix-aware selection by one instance that knows the exact cache and load of every engine. */
internal val ORACLE: SelectionMode.ExactState = SelectionMode.ExactState()

private val MODEL = ModelName("layout-llm")
private val WEIGHTS = WeightsVersion("1")
private val POOL = PoolName("engines")
private const val WARM_UP_SECONDS = 20

/** Simulates the traffic of a deployment in virtual time over several instances, each of which has its own selection. */
internal class SelectionSimulation(
    private val deployment: Deployment,
    private val mode: SelectionMode,
    private val seed: Long,
    private val instances: Int = 8,
    private val instancesPerWorkspace: Int = instances,
    private val reporting: Reporting = Reporting(),
    private val settings: SelectionSettings = SelectionSettings(),
) {
    private val clock = VirtualClock()
    private val random = Random(seed)
    private val everComputed = HashSet<Long>()
    private val engines = (0 until deployment.engines).associate {
        TargetId("engine-$it") to SimulatedEngine(deployment.engine, ServedModel(MODEL, WEIGHTS), clock, everComputed)
    }
    private val result = SelectionResult()
    private val exactState = mode as? SelectionMode.ExactState
    private val routers = List(if (exactState == ORACLE) 1 else instances) { Router(it) }

    fun run(seconds: Int): SelectionResult {
        deployment.arrivals(seed, seconds).forEachIndexed { number, arrival ->
            val serving = rendezvousRank(arrival.workspace.text, routers) { "instance-${it.number}" }.take(instancesPerWorkspace)
            val router = serving[random.nextInt(serving.size)]
            clock.after(arrival.at - clock.nanoseconds) { router.admit(number, arrival) }
        }
        clock.after(0, ::report)
        clock.runUntil(WARM_UP_SECONDS * NANOSECONDS_PER_SECOND)
        val before = engines.values.sumOf { it.recomputedTokens }
        clock.runUntil((seconds + DRAIN_SECONDS) * NANOSECONDS_PER_SECOND)
        result.recomputedTokens = engines.values.sumOf { it.recomputedTokens } - before
        return result
    }

    private fun report() {
        for ((id, engine) in engines) {
            val status = engine.status()
            clock.after(reporting.loadLagMillis * NANOSECONDS_PER_MILLISECOND) {
                if (exactState == null ||
                    !exactState.exactLoads
                ) {
                    routers.forEach { it.monitor.handle(StatusRead(id, status, clock.now), clock.now) }
                }
            }
            val events = engine.drainEvents().associate { it.chain to it.kind }
            if (events.isEmpty()) continue
            val lost = random.nextDouble() < reporting.lostEventShare
            val change = CacheChanged(
                target = id,
                incarnation = TargetIncarnation(1),
                stored = if (lost) emptyList() else events.filterValues { it == CacheEventKind.STORED }.keys.toList(),
                evicted = if (lost) emptyList() else events.filterValues { it == CacheEventKind.EVICTED }.keys.toList(),
                cleared = false,
                complete = !lost,
            )
            clock.after(reporting.eventDelayMillis * NANOSECONDS_PER_MILLISECOND) {
                routers.forEach { it.selection.handle(change, clock.now) }
            }
        }
        clock.after(reporting.intervalMillis * NANOSECONDS_PER_MILLISECOND, ::report)
    }

    private inner class Router(val number: Int) {
        val monitor = TargetMonitor(InstanceId("instance-$number"))
        val selection = select()
        private val waiting = ArrayDeque<Pair<SelectionRequest, Arrival>>()

        init {
            monitor.handle(ConfigurationChanged(configuration()), clock.now)
            selection.handle(MembershipChanged(membership(number)), clock.now)
        }

        private fun select(): TargetSelection = when (mode) {
            is SelectionMode.Production -> targetSelection(mode.policy, monitor, Random(seed + number), settings)
            is SelectionMode.ExactState -> exactStateSelection(mode)
        }

        private fun exactStateSelection(mode: SelectionMode.ExactState): TargetSelection {
            val learned = LearnedCacheEstimator(settings)
            return PrefixAwareSelection(
                directory = monitor,
                random = Random(seed + number),
                settings = if (mode.exactLoads) settings.copy(loadLag = Duration.ZERO) else settings,
                learnedCaches = learned,
                cacheEstimator = if (mode.exactCaches) ExactCacheEstimator() else learned,
            )
        }

        fun admit(count: Int, arrival: Arrival) {
            val request = SelectionRequest(
                request = RequestId("request-$number-$count"),
                workspace = arrival.workspace,
                pool = POOL,
                model = MODEL,
                adapter = null,
                prompt = arrival.prompt,
                maximumOutputTokens = arrival.outputTokens,
                mayWait = arrival.mayWait,
                deadline = MonotonicTime(Long.MAX_VALUE),
            )
            if (!start(request, arrival)) {
                waiting.add(request to arrival)
                clock.after(RETRY_MILLIS * NANOSECONDS_PER_MILLISECOND, ::retryWaiting)
            }
        }

        private fun retryWaiting() {
            val started = waiting.sortedBy { it.second.mayWait }.filter { (request, arrival) -> start(request, arrival) }.toSet()
            waiting.removeAll(started)
            if (waiting.isNotEmpty()) clock.after(RETRY_MILLIS * NANOSECONDS_PER_MILLISECOND, ::retryWaiting)
        }

        private fun start(request: SelectionRequest, arrival: Arrival): Boolean {
            if (exactState != null && exactState.exactLoads) {
                engines.forEach { (id, engine) -> monitor.handle(StatusRead(id, engine.status(), clock.now), clock.now) }
            }
            val choice = selection.choose(request, clock.now) as? TargetDecision.Chosen ?: return false
            val attempt = AttemptId(request.request.text)
            selection.attemptStarted(attempt, request, choice, clock.now).forEach(::deliverToPeer)
            val prompt = HashedPrompt(choice.cacheScope, request.prompt)
            val tokens = arrival.prompt.sumOf { it.tokens }
            val job = EngineJob(
                hashes = prompt.hashes,
                promptTokens = tokens,
                outputTokens = arrival.outputTokens,
                mayWait = arrival.mayWait,
                firstToken = { cached -> if (arrival.isAfterWarmUp()) result.firstToken(arrival, cached, clock.nanoseconds - arrival.at) },
                finished = { cached ->
                    selection.attemptFinished(attempt, AttemptReport.Completed(tokens, cached, arrival.outputTokens), clock.now)
                },
            )
            val engine = engines.getValue(choice.target)
            choice.cacheTransfer?.let { transferThenSubmit(it, engine, job) } ?: engine.submit(job)
            return true
        }

        private fun deliverToPeer(effect: CoreEffect) {
            if (effect !is SendToPeer || random.nextDouble() < reporting.lostMessageShare) return
            val event = PeerMessageReceived(InstanceId("instance-$number"), effect.message)
            clock.after(PEER_MILLIS * NANOSECONDS_PER_MILLISECOND) {
                routers.first { "instance-${it.number}" == effect.peer.text }.selection.handle(event, clock.now)
            }
        }

        private fun transferThenSubmit(transfer: CacheTransfer, engine: SimulatedEngine, job: EngineJob) {
            val missing = transfer.tokens - engine.cachedPieces(job.hashes) * PIECE_TOKENS
            val seconds = settings.transferLatency.toDouble(DurationUnit.SECONDS) + missing.toDouble() / settings.transferTokensPerSecond
            clock.after((seconds * NANOSECONDS_PER_SECOND).toLong()) {
                val blocks = job.hashes.copyOf(transfer.tokens / PIECE_TOKENS)
                if (engines.getValue(transfer.source).cachedPieces(blocks) == blocks.size) engine.import(blocks)
                engine.submit(job)
            }
        }
    }

    private inner class ExactCacheEstimator : CacheEstimator {
        override fun cachedTokens(known: KnownTarget, prompt: HashedPrompt, now: MonotonicTime): Int =
            engines.getValue(known.target.id).expectedPieces(prompt.hashes) * PIECE_TOKENS

        override fun transferablePieces(known: KnownTarget, prompt: HashedPrompt, now: MonotonicTime): Int =
            engines.getValue(known.target.id).cachedPieces(prompt.hashes)
    }

    private fun Arrival.isAfterWarmUp(): Boolean = at >= WARM_UP_SECONDS * NANOSECONDS_PER_SECOND

    private fun membership(self: Int): Membership {
        val ids = if (exactState == ORACLE) listOf(self) else (0 until instances).toList()
        val members = ids.map { Instance(InstanceId("instance-$it"), InstanceIncarnation(1), "", "", ZoneName("a")) }
        return Membership(InstanceId("instance-$self"), members.associateBy { it.id })
    }

    private fun configuration(): Configuration = Configuration(
        models = mapOf(MODEL to Versioned(Model(MODEL, POOL, WEIGHTS), LogOffset(0))),
        targets = engines.keys.associateWith {
            Versioned(Target(it, TargetKind.ENGINE, POOL, "127.0.0.1", 1, ZoneName("a")), LogOffset(1))
        },
    )

    private companion object {
        const val PEER_MILLIS = 3L
        const val RETRY_MILLIS = 20L
        const val DRAIN_SECONDS = 60
    }
}

/** The measurements of a simulation after its warm-up. */
internal class SelectionResult {
    private val firstTokens = mutableListOf<Pair<Arrival, Long>>()
    private var promptTokens = 0L
    private var cachedTokens = 0L
    var recomputedTokens = 0L

    val hitRate: Double get() = cachedTokens.toDouble() / promptTokens
    val answeredRequests: Int get() = firstTokens.size

    fun firstToken(arrival: Arrival, cached: Int, nanoseconds: Long) {
        firstTokens += arrival to nanoseconds
        promptTokens += arrival.prompt.sumOf { it.tokens }
        cachedTokens += cached
    }

    /** Returns a percentile of the time to first token of interactive requests, in milliseconds. */
    fun timeToFirstTokenMillis(percentile: Double, workspace: String? = null): Double {
        val sorted = firstTokens.filter { !it.first.mayWait && (workspace == null || it.first.workspace.text == workspace) }
            .map { it.second }.sorted()
        return sorted[((sorted.size - 1) * percentile / 100).toInt()] / NANOSECONDS_PER_MILLISECOND.toDouble()
    }

    /** Returns the ratio of the p99 time to first token of the worst workspace to that of the median workspace. */
    fun worstToMedianRatio(): Double {
        val all = firstTokens.map { it.first.workspace.text }.distinct().map { timeToFirstTokenMillis(99.0, it) }.sorted()
        return all.last() / all[all.size / 2]
    }
}
