package org.cactuspulley.standins.engine

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerializationException
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.platform.CacheEventPage
import org.cactuspulley.core.platform.OrderAction
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.platform.TargetLoad
import org.cactuspulley.core.platform.TargetOrder
import org.cactuspulley.core.platform.TargetState
import org.cactuspulley.core.platform.TargetStatus
import org.cactuspulley.core.routing.PIECE_TOKENS
import org.cactuspulley.core.routing.cacheScope
import org.cactuspulley.core.routing.chainHashes
import org.cactuspulley.core.routing.splitPrompt
import org.cactuspulley.standins.server.CallOutcome
import org.cactuspulley.standins.server.CallRecorder
import org.cactuspulley.standins.server.FaultControl
import org.cactuspulley.standins.server.HttpExchange
import org.cactuspulley.standins.server.HttpServer
import org.cactuspulley.standins.server.ObservedCall
import org.cactuspulley.standins.server.StandinThreads
import org.cactuspulley.standins.server.standinJson
import org.cactuspulley.standins.weights.WeightLoads
import java.util.Base64
import java.util.concurrent.ScheduledFuture
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** An engine crashes when it starts a request whose prompt contains this text near its end. */
public const val CRASH_TRIGGER: String = "!crash-the-engine!"

/**
 * A stand-in for a model engine. [BatchSimulator] simulates the computation; this class advances it
 * in real time and sends its outputs to the callers. The state is accessed on the timer thread only.
 */
public class EngineStandin(
    private val settings: EngineSettings,
    host: String = "127.0.0.1",
    port: Int = 0,
    private val weightLoads: WeightLoads = WeightLoads(capacity = 2),
    private val fleetCaches: FleetCaches = FleetCaches(),
) : AutoCloseable {
    private val random = Random(settings.seed)
    private val recorder = CallRecorder()
    private val control = FaultControl(EngineFaults(), EngineFaults.serializer(), ::applyFaults)
    private val transferHandler = CacheTransferHandler(settings.transferMillisPerPiece)
    private val cache =
        PrefixCache(settings.cachePieces) { kind, chain, tokens -> eventFeed.publish(kind, chain, tokens, StandinThreads.now()) }
    private val simulator = BatchSimulator(settings, cache)
    private val activeCalls = HashMap<String, EngineCall>()
    private val loadSamples = ArrayDeque<Pair<MonotonicTime, TargetLoad>>()
    private var eventFeed = CacheEventFeed(settings.eventDelayMillis.milliseconds, random)
    private var models = settings.models
    private var role = settings.role
    private var state = TargetState.SERVING
    private var incarnation = 1L
    private var isRestarting = false
    private var highestFencing = -1L
    private var scheduledAdvance: ScheduledFuture<*>? = null
    private var previousCall: EngineCall? = null
    private val server = HttpServer(host, port, ::handle)

    init {
        StandinThreads.execute { fleetCaches.add(cache) }
    }

    /** The address of this stand-in as `host:port`. */
    public val address: String get() = server.address

    /** The TCP port of this stand-in. */
    public val port: Int get() = server.port

    /** The injected faults; a new value applies at once. */
    public var faults: EngineFaults by control::faults

    /** The completion calls that the engine started to run, in order of arrival. */
    public val observedCalls: List<ObservedCall> get() = recorder.snapshot()

    /**
     * Crashes the engine: started streams are cut and other running calls get an empty response. The
     * engine restarts with a new incarnation.
     */
    public fun crash(): Unit = StandinThreads.execute(::performCrash)

    override fun close() {
        server.close()
        StandinThreads.execute {
            scheduledAdvance?.cancel(false)
            simulator.crash()
        }
    }

    private fun applyFaults(faults: EngineFaults) = StandinThreads.execute {
        simulator.slowFactor = faults.slowFactor
        eventFeed.lossRate = faults.eventLoss
    }

    private fun handle(exchange: HttpExchange) {
        if (control.handle(exchange)) return
        if (faults.down) return exchange.disconnect()
        when (exchange.path) {
            "/v1/chat/completions" -> handleCompletion(exchange, isChat = true)
            "/v1/completions" -> handleCompletion(exchange, isChat = false)
            else -> StandinThreads.execute { handleControl(exchange) }
        }
    }

    private fun handleControl(exchange: HttpExchange) {
        if (isRestarting) return exchange.disconnect()
        val path = exchange.path
        when {
            path == "/status" -> exchange.respondJson(200, TargetStatus.serializer(), status())

            path == "/events" -> respondWithEvents(exchange)

            path == "/orders" && exchange.method == "POST" -> applyOrder(exchange)

            path == "/crash" && exchange.method == "POST" -> {
                exchange.respond(204)
                performCrash()
            }

            path.startsWith("/cancel/") -> {
                cancel(path.removePrefix("/cancel/"))
                exchange.respond(204)
            }

            path == "/kv" || path.startsWith("/kv/") -> transferHandler.handle(exchange, cache)

            else -> exchange.respondError(404, "not_found")
        }
    }

    private fun status(): TargetStatus {
        val sampleTime = StandinThreads.now() - settings.loadLagMillis.milliseconds
        val load = loadSamples.lastOrNull { it.first <= sampleTime }?.second ?: TargetLoad(decodeSlots = settings.decodeSlots)
        val ratedLoad = load.copy(prefillTokensPerSecond = settings.prefillTokensPerSecond.toLong())
        return TargetStatus(incarnation, state, ratedLoad, models, role)
    }

    private fun sampleLoad() {
        val now = StandinThreads.now()
        val last = loadSamples.lastOrNull()
        if (last != null && now - last.first < LOAD_SAMPLE_INTERVAL) loadSamples.removeLast()
        loadSamples.addLast(now to simulator.load)
        while (loadSamples.size > MAXIMUM_LOAD_SAMPLES) loadSamples.removeFirst()
    }

    private fun respondWithEvents(exchange: HttpExchange) {
        val from = exchange.parameter("from")?.toLongOrNull() ?: 0
        val wait = (exchange.parameter("wait_ms")?.toLongOrNull() ?: 0).milliseconds
        pollEvents(exchange, from, StandinThreads.now() + wait)
    }

    private fun pollEvents(exchange: HttpExchange, from: Long, deadline: MonotonicTime) {
        val page = eventFeed.readPage(incarnation, from, StandinThreads.now())
        val empty = page.events.isEmpty() && page.missing == 0L
        if (empty && StandinThreads.now() < deadline) {
            StandinThreads.schedule(EVENT_POLL_INTERVAL) { pollEvents(exchange, from, deadline) }
        } else {
            exchange.respondJson(200, CacheEventPage.serializer(), page)
        }
    }

    private fun applyOrder(exchange: HttpExchange) {
        val order = try {
            standinJson.decodeFromString(TargetOrder.serializer(), exchange.body.decodeToString())
        } catch (failure: SerializationException) {
            return exchange.respondError(400, "order_unreadable", failure.message.orEmpty())
        }
        if (settings.checksFencing && order.fencing < highestFencing) {
            return exchange.respondError(409, "stale_fencing_number", "seen $highestFencing")
        }
        highestFencing = maxOf(highestFencing, order.fencing)
        when (val action = order.action) {
            is OrderAction.LoadWeights -> loadWeights(action)
            is OrderAction.LoadAdapter -> loadAdapter(action.model, action.adapter)
            is OrderAction.ChangeRole -> role = action.role
        }
        exchange.respond(200, "{}".encodeToByteArray())
    }

    private fun loadWeights(action: OrderAction.LoadWeights) {
        if (models.any { it.model == action.model && it.weights == action.weights }) return
        val startIncarnation = incarnation
        state = TargetState.LOADING
        val factor = weightLoads.begin()
        StandinThreads.schedule((settings.loadWeightsMillis * factor).milliseconds) {
            weightLoads.end()
            if (startIncarnation == incarnation) finishWeightLoad(action.model, action.weights)
        }
    }

    private fun finishWeightLoad(model: ModelName, weights: WeightsVersion) {
        models = models.filterNot { it.model == model } + ServedModel(model, weights, adaptersOf(model))
        state = TargetState.SERVING
        simulator.replaceWeights()
    }

    private fun adaptersOf(model: ModelName) = models.find { it.model == model }?.adapters.orEmpty()

    private fun loadAdapter(model: ModelName, adapter: AdapterName) {
        models = models.map { if (it.model == model) it.copy(adapters = (it.adapters + adapter).distinct()) else it }
    }

    private fun handleCompletion(exchange: HttpExchange, isChat: Boolean) {
        val request = CompletionRequest.parse(exchange.body, isChat).getOrElse {
            return exchange.respondError(400, "request_unreadable", it.reason)
        }
        val served = models.find { it.model.text == request.model } ?: return exchange.respondError(404, "model_unknown")
        val scope = exchange.header(TargetHeaders.CACHE_SCOPE)?.let { Base64.getDecoder().decode(it).decodeToString() }
            ?: cacheScope(null, served.model, served.weights, request.adapter?.let(::AdapterName))
        val pieces = splitPrompt(request.prompt)
        val job = EngineJob(
            attempt = exchange.header(TargetHeaders.REQUEST_ID) ?: "none-${random.nextLong().toULong()}",
            chains = chainHashes(scope, pieces.filter { it.tokens == PIECE_TOKENS }),
            pieceTokens = IntArray(pieces.size) { pieces[it].tokens },
            outputTokens = request.completion.tokenCount,
            firstOutputToken = exchange.header(TargetHeaders.RESUME_FROM)?.toIntOrNull() ?: 0,
            interactive = exchange.header(TargetHeaders.PRIORITY) != "batch",
        )
        StandinThreads.execute { startCall(EngineCall(exchange, request, job)) }
    }

    private fun startCall(call: EngineCall) {
        if (isRestarting) return call.exchange.disconnect()
        val requestedWeights = call.exchange.header(TargetHeaders.WEIGHTS_VERSION)
        val served = models.find { it.model.text == call.request.model }
        when {
            state != TargetState.SERVING -> return call.exchange.respondError(503, "loading")
            requestedWeights != null && requestedWeights != served?.weights?.text -> return call.exchange.respondError(409, "wrong_weights")
            consumeEmptyResponse() -> return call.exchange.respond(200)
        }
        val oracleTokens = fleetCaches.longestCachedPrefix(call.job.chains) * PIECE_TOKENS
        call.recordIndex = recorder.begin(call.toObservedCall(settings.id, incarnation).copy(oracleTokens = oracleTokens))
        if (call.request.prompt.takeLast(CRASH_TRIGGER_SEARCH_CHARACTERS).contains(CRASH_TRIGGER)) {
            activeCalls[call.attempt] = call
            return performCrash()
        }
        call.foreignCall = consumeForeignResponse()?.let { previousCall }
        call.cutAtToken = consumeStreamCut()?.let { (call.job.firstOutputToken + call.job.outputTokens) / 2 }
        previousCall = call
        activeCalls[call.attempt] = call
        call.exchange.onDisconnect { StandinThreads.execute { cancel(call.attempt) } }
        simulator.submit(call.job, StandinThreads.now())
        sampleLoad()
        scheduleAdvance()
    }

    private fun consumeEmptyResponse(): Boolean {
        val remaining = faults.emptyAnswers
        if (remaining > 0) faults = faults.copy(emptyAnswers = remaining - 1)
        return remaining > 0
    }

    private fun consumeForeignResponse(): Unit? {
        val remaining = faults.foreignAnswers
        if (remaining <= 0 || previousCall == null) return null
        faults = faults.copy(foreignAnswers = remaining - 1)
        return Unit
    }

    private fun consumeStreamCut(): Unit? {
        val remaining = faults.cutStreams
        if (remaining <= 0) return null
        faults = faults.copy(cutStreams = remaining - 1)
        return Unit
    }

    private fun cancel(attempt: String) {
        val call = activeCalls.remove(attempt) ?: return
        simulator.cancel(attempt)
        recorder.end(call.recordIndex, CallOutcome.CANCELLED)
        call.exchange.disconnect()
        sampleLoad()
    }

    private fun scheduleAdvance() {
        scheduledAdvance?.cancel(false)
        val deadline = simulator.nextDeadline ?: return
        scheduledAdvance = StandinThreads.schedule(deadline - StandinThreads.now(), ::advance)
    }

    private fun advance() {
        for (output in simulator.advance(StandinThreads.now())) {
            val call = activeCalls[output.attempt] ?: continue
            when (output) {
                is EngineOutput.Token -> sendToken(call, output.index)
                is EngineOutput.Finished -> finishCall(call, output.cachedTokens)
            }
        }
        sampleLoad()
        scheduleAdvance()
    }

    private fun sendToken(call: EngineCall, index: Int) {
        if (call.cutAtToken == index) {
            activeCalls.remove(call.attempt)
            simulator.cancel(call.attempt)
            recorder.end(call.recordIndex, CallOutcome.CUT)
            return call.exchange.disconnect()
        }
        call.sendToken(index)
    }

    private fun finishCall(call: EngineCall, cachedTokens: Int) {
        activeCalls.remove(call.attempt)
        recorder.update(call.recordIndex) {
            it.copy(
                cachedTokens = cachedTokens,
                outputTokens = call.job.outputTokens - call.job.firstOutputToken,
            )
        }
        recorder.end(call.recordIndex, CallOutcome.COMPLETED)
        call.finish(cachedTokens)
    }

    private fun performCrash() {
        if (isRestarting) return
        isRestarting = true
        scheduledAdvance?.cancel(false)
        simulator.crash()
        for (call in activeCalls.values) {
            recorder.end(call.recordIndex, CallOutcome.CRASHED)
            call.endByCrash()
        }
        activeCalls.clear()
        StandinThreads.schedule(settings.restartMillis.milliseconds, ::restart)
    }

    private fun restart() {
        incarnation++
        eventFeed = CacheEventFeed(settings.eventDelayMillis.milliseconds, random).apply { lossRate = faults.eventLoss }
        loadSamples.clear()
        state = TargetState.SERVING
        isRestarting = false
    }

    private companion object {
        const val CRASH_TRIGGER_SEARCH_CHARACTERS = 512
        const val MAXIMUM_LOAD_SAMPLES = 100
        val LOAD_SAMPLE_INTERVAL = 10.milliseconds
        val EVENT_POLL_INTERVAL = 50.milliseconds
    }
}
