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

/** A prompt that holds this text crashes the engine that starts it. */
public const val CRASHING_TEXT: String = "!crash-the-engine!"

/**
 * Stands in for a model engine. [EngineModel] decides what is computed when; this class gives it
 * time and carries its outputs to callers. All state is touched on the timer thread only.
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
    private val control = FaultControl(EngineFaults(), EngineFaults.serializer(), ::faultsChanged)
    private val transfer = CacheTransfer(settings.transferMillisPerPiece)
    private val cache = PrefixCache(settings.cachePieces) { kind, chain, tokens -> feed.add(kind, chain, tokens, StandinThreads.now()) }
    private val model = EngineModel(settings, cache)
    private val calls = HashMap<String, EngineCall>()
    private val loads = ArrayDeque<Pair<MonotonicTime, TargetLoad>>()
    private var feed = CacheEventFeed(settings.eventDelayMillis.milliseconds, random)
    private var models = settings.models
    private var role = settings.role
    private var state = TargetState.SERVING
    private var incarnation = 1L
    private var restarting = false
    private var highestFencing = -1L
    private var timer: ScheduledFuture<*>? = null
    private var previousCall: EngineCall? = null
    private val server = HttpServer(host, port, ::handle)

    init {
        StandinThreads.run { fleetCaches.add(cache) }
    }

    /** Host and port. */
    public val address: String get() = server.address

    /** The port. */
    public val port: Int get() = server.port

    /** The faults in force. */
    public var faults: EngineFaults by control::faults

    /** Every call for a completion that came here, in order. */
    public val observedCalls: List<ObservedCall> get() = recorder.snapshot()

    /** Crashes the engine: started streams are cut, other callers get an empty answer; it comes back with a new incarnation. */
    public fun crash(): Unit = StandinThreads.run(::crashNow)

    override fun close() {
        server.close()
        StandinThreads.run {
            timer?.cancel(false)
            model.crash()
        }
    }

    private fun faultsChanged(faults: EngineFaults) = StandinThreads.run {
        model.slowFactor = faults.slowFactor
        feed.loss = faults.eventLoss
    }

    private fun handle(exchange: HttpExchange) {
        if (control.handle(exchange)) return
        if (faults.down) return exchange.reset()
        when (exchange.path) {
            "/v1/chat/completions" -> complete(exchange, chat = true)
            "/v1/completions" -> complete(exchange, chat = false)
            else -> StandinThreads.run { handleControl(exchange) }
        }
    }

    private fun handleControl(exchange: HttpExchange) {
        if (restarting) return exchange.reset()
        val path = exchange.path
        when {
            path == "/status" -> exchange.respondJson(200, TargetStatus.serializer(), status())

            path == "/events" -> answerEvents(exchange)

            path == "/orders" && exchange.method == "POST" -> takeOrder(exchange)

            path == "/crash" && exchange.method == "POST" -> {
                exchange.respond(204)
                crashNow()
            }

            path.startsWith("/cancel/") -> {
                cancel(path.removePrefix("/cancel/"))
                exchange.respond(204)
            }

            path == "/kv" || path.startsWith("/kv/") -> transfer.handle(exchange, cache)

            else -> exchange.fail(404, "not_found")
        }
    }

    private fun status(): TargetStatus {
        val asOf = StandinThreads.now() - settings.loadLagMillis.milliseconds
        val load = loads.lastOrNull { it.first <= asOf }?.second ?: TargetLoad(decodeSlots = settings.decodeSlots)
        val rated = load.copy(prefillTokensPerSecond = settings.prefillTokensPerSecond.toLong())
        return TargetStatus(incarnation, state, rated, models, role)
    }

    private fun noteLoad() {
        val now = StandinThreads.now()
        val last = loads.lastOrNull()
        if (last != null && now - last.first < LOAD_SAMPLE_INTERVAL) loads.removeLast()
        loads.addLast(now to model.load)
        while (loads.size > MAXIMUM_LOAD_SAMPLES) loads.removeFirst()
    }

    private fun answerEvents(exchange: HttpExchange) {
        val from = exchange.parameter("from")?.toLongOrNull() ?: 0
        val wait = (exchange.parameter("wait_ms")?.toLongOrNull() ?: 0).milliseconds
        answerEventsBy(exchange, from, StandinThreads.now() + wait)
    }

    private fun answerEventsBy(exchange: HttpExchange, from: Long, deadline: MonotonicTime) {
        val page = feed.page(incarnation, from, StandinThreads.now())
        val empty = page.events.isEmpty() && page.missing == 0L
        if (empty && StandinThreads.now() < deadline) {
            StandinThreads.runAfter(EVENT_POLL_INTERVAL) { answerEventsBy(exchange, from, deadline) }
        } else {
            exchange.respondJson(200, CacheEventPage.serializer(), page)
        }
    }

    private fun takeOrder(exchange: HttpExchange) {
        val order = try {
            standinJson.decodeFromString(TargetOrder.serializer(), exchange.body.decodeToString())
        } catch (failure: SerializationException) {
            return exchange.fail(400, "order_unreadable", failure.message.orEmpty())
        }
        if (settings.checksFencing && order.fencing < highestFencing) {
            return exchange.fail(409, "stale_fencing_number", "seen $highestFencing")
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
        val started = incarnation
        state = TargetState.LOADING
        val factor = weightLoads.begin()
        StandinThreads.runAfter((settings.loadWeightsMillis * factor).milliseconds) {
            weightLoads.end()
            if (started == incarnation) finishLoad(action.model, action.weights)
        }
    }

    private fun finishLoad(model: ModelName, weights: WeightsVersion) {
        models = models.filterNot { it.model == model } + ServedModel(model, weights, adaptersOf(model))
        state = TargetState.SERVING
        this.model.replaceWeights()
    }

    private fun adaptersOf(model: ModelName) = models.find { it.model == model }?.adapters.orEmpty()

    private fun loadAdapter(model: ModelName, adapter: AdapterName) {
        models = models.map { if (it.model == model) it.copy(adapters = (it.adapters + adapter).distinct()) else it }
    }

    private fun complete(exchange: HttpExchange, chat: Boolean) {
        val request = CompletionRequest.parse(exchange.body, chat).getOrElse { return exchange.fail(400, "request_unreadable", it.reason) }
        val served = models.find { it.model.text == request.model } ?: return exchange.fail(404, "model_unknown")
        val scope = exchange.header(TargetHeaders.CACHE_SCOPE)?.let { Base64.getDecoder().decode(it).decodeToString() }
            ?: cacheScope(null, served.model, served.weights, request.adapter?.let(::AdapterName))
        val pieces = splitPrompt(request.prompt)
        val job = EngineJob(
            attempt = exchange.header(TargetHeaders.REQUEST_ID) ?: "none-${random.nextLong().toULong()}",
            chains = chainHashes(scope, pieces.filter { it.tokens == PIECE_TOKENS }),
            pieceTokens = IntArray(pieces.size) { pieces[it].tokens },
            outputTokens = request.answer.tokenCount,
            firstOutput = exchange.header(TargetHeaders.RESUME_FROM)?.toIntOrNull() ?: 0,
            interactive = exchange.header(TargetHeaders.PRIORITY) != "batch",
        )
        StandinThreads.run { start(EngineCall(exchange, request, job)) }
    }

    private fun start(call: EngineCall) {
        if (restarting) return call.exchange.reset()
        val wanted = call.exchange.header(TargetHeaders.WEIGHTS_VERSION)
        val served = models.find { it.model.text == call.request.model }
        when {
            state != TargetState.SERVING -> return call.exchange.fail(503, "loading")
            wanted != null && wanted != served?.weights?.text -> return call.exchange.fail(409, "wrong_weights")
            takeEmptyAnswer() -> return call.exchange.respond(200)
        }
        val oracleTokens = fleetCaches.longestMatch(call.job.chains) * PIECE_TOKENS
        call.number = recorder.begin(call.observed(settings.id, incarnation).copy(oracleTokens = oracleTokens))
        if (call.request.prompt.takeLast(TAIL_CHARACTERS).contains(CRASHING_TEXT)) {
            calls[call.attempt] = call
            return crashNow()
        }
        call.foreign = takeForeignAnswer()?.let { previousCall }
        call.cutAt = takeCut()?.let { (call.job.firstOutput + call.job.outputTokens) / 2 }
        previousCall = call
        calls[call.attempt] = call
        call.exchange.onDisconnect { StandinThreads.run { cancel(call.attempt) } }
        model.submit(call.job, StandinThreads.now())
        noteLoad()
        schedule()
    }

    private fun takeEmptyAnswer(): Boolean {
        val left = faults.emptyAnswers
        if (left > 0) faults = faults.copy(emptyAnswers = left - 1)
        return left > 0
    }

    private fun takeForeignAnswer(): Unit? {
        val left = faults.foreignAnswers
        if (left <= 0 || previousCall == null) return null
        faults = faults.copy(foreignAnswers = left - 1)
        return Unit
    }

    private fun takeCut(): Unit? {
        val left = faults.cutStreams
        if (left <= 0) return null
        faults = faults.copy(cutStreams = left - 1)
        return Unit
    }

    private fun cancel(attempt: String) {
        val call = calls.remove(attempt) ?: return
        model.cancel(attempt)
        recorder.end(call.number, CallOutcome.CANCELLED)
        call.exchange.reset()
        noteLoad()
    }

    private fun schedule() {
        timer?.cancel(false)
        val deadline = model.nextDeadline ?: return
        timer = StandinThreads.runAfter(deadline - StandinThreads.now(), ::advance)
    }

    private fun advance() {
        for (output in model.advance(StandinThreads.now())) {
            val call = calls[output.attempt] ?: continue
            when (output) {
                is EngineOutput.Token -> sendToken(call, output.index)
                is EngineOutput.Finished -> finish(call, output.cachedTokens)
            }
        }
        noteLoad()
        schedule()
    }

    private fun sendToken(call: EngineCall, index: Int) {
        if (call.cutAt == index) {
            calls.remove(call.attempt)
            model.cancel(call.attempt)
            recorder.end(call.number, CallOutcome.CUT)
            return call.exchange.reset()
        }
        call.sendToken(index)
    }

    private fun finish(call: EngineCall, cachedTokens: Int) {
        calls.remove(call.attempt)
        recorder.update(call.number) { it.copy(cachedTokens = cachedTokens, outputTokens = call.job.outputTokens - call.job.firstOutput) }
        recorder.end(call.number, CallOutcome.COMPLETED)
        call.finish(cachedTokens)
    }

    private fun crashNow() {
        if (restarting) return
        restarting = true
        timer?.cancel(false)
        model.crash()
        for (call in calls.values) {
            recorder.end(call.number, CallOutcome.CRASHED)
            call.crash()
        }
        calls.clear()
        StandinThreads.runAfter(settings.restartMillis.milliseconds, ::restart)
    }

    private fun restart() {
        incarnation++
        feed = CacheEventFeed(settings.eventDelayMillis.milliseconds, random).apply { loss = faults.eventLoss }
        loads.clear()
        state = TargetState.SERVING
        restarting = false
    }

    private companion object {
        const val TAIL_CHARACTERS = 512
        const val MAXIMUM_LOAD_SAMPLES = 100
        val LOAD_SAMPLE_INTERVAL = 10.milliseconds
        val EVENT_POLL_INTERVAL = 50.milliseconds
    }
}
