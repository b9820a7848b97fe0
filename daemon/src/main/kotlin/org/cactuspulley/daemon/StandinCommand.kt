package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.standins.cachestore.CacheStoreStandin
import org.cactuspulley.standins.engine.EngineFaults
import org.cactuspulley.standins.engine.EngineSettings
import org.cactuspulley.standins.engine.EngineStandin
import org.cactuspulley.standins.list.InstanceListStandin
import org.cactuspulley.standins.log.LogFaults
import org.cactuspulley.standins.log.LogSettings
import org.cactuspulley.standins.log.LogStandin
import org.cactuspulley.standins.service.ServiceFaults
import org.cactuspulley.standins.service.ServiceStandin
import org.cactuspulley.standins.weights.WeightStoreStandin
import java.util.concurrent.CountDownLatch

/** Runs one stand-in of the platform or of a target as a process; `POST /faults` sets its faults. */
public class StandinCommand : CliktCommand(name = "standin") {
    init {
        subcommands(
            LogStandinCommand(),
            InstanceListStandinCommand(),
            WeightStoreStandinCommand(),
            EngineStandinCommand(),
            CacheStoreStandinCommand(),
            ServiceStandinCommand(),
        )
    }

    override fun help(context: Context): String = "Runs a stand-in for a part of the platform or a target until it is stopped."

    override fun run(): Unit = Unit
}

/** The options that all stand-ins share, and the wait for SIGTERM. */
internal abstract class StandinServerCommand(name: String, private val helpText: String) : CliktCommand(name = name) {
    protected val host: String by option(help = "Address to listen on").default("127.0.0.1")
    protected val port: Int by option(help = "Port to listen on; 0 picks a free one").int().default(0)
    protected val down: Boolean by option(help = "Start with every connection broken").flag()

    override fun help(context: Context): String = helpText

    protected fun serveUntilStopped(address: String, standin: AutoCloseable) {
        echo("$commandName listens on $address")
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                standin.close()
                stopped.countDown()
            },
        )
        stopped.await()
    }
}

internal class LogStandinCommand : StandinServerCommand("log", "Append-only log service.") {
    private val delayMillis by option("--delay-ms", help = "Delay of every answer").long().default(0)
    private val loseAppendAnswers by option(help = "Appends whose answers are lost after they took effect").int().default(0)
    private val keptRecords by option(help = "Records that a stream holds").int().default(Int.MAX_VALUE)
    private val keptMillis by option("--kept-ms", help = "How long a record is held").long().default(Long.MAX_VALUE)
    private val appendsPerSecond by option(help = "Appends taken in a second").int().default(500)

    override fun run() {
        val standin = LogStandin(host, port, LogSettings(keptRecords, keptMillis, appendsPerSecond))
        standin.faults = LogFaults(down, delayMillis, loseAppendAnswers)
        serveUntilStopped(standin.address, standin)
    }
}

internal class InstanceListStandinCommand : StandinServerCommand("list", "List of live and leaving instances.") {
    private val lagMillis by option("--lag-ms", help = "How far the answers lie in the past").long().default(500)

    override fun run() {
        val standin = InstanceListStandin(host, port, lagMillis)
        standin.faults = standin.faults.copy(down = down)
        serveUntilStopped(standin.address, standin)
    }
}

internal class WeightStoreStandinCommand : StandinServerCommand("weights", "Rate-limited weight store.") {
    private val requestsPerSecond by option(help = "Requests taken in a second").int().default(20)

    override fun run() {
        val standin = WeightStoreStandin(host, port, requestsPerSecond)
        standin.faults = standin.faults.copy(down = down)
        serveUntilStopped(standin.address, standin)
    }
}

internal class EngineStandinCommand : StandinServerCommand("engine", "Model engine with continuous batching and a prefix cache.") {
    private val id by option(help = "Name of the target").default("engine-1")
    private val model by option(help = "Model that is served").default("layout-llm")
    private val weights by option(help = "Version of the weights").default("v1")
    private val adapter by option(help = "Adapter on top of the model")
    private val decodeSlots by option(help = "Requests computed together").int().default(16)
    private val cachePieces by option(help = "Pieces of 1,024 tokens that are cached").int().default(256)
    private val prefillRate by option(help = "Prompt tokens computed in a second").int().default(20_000)
    private val ignoreFencing by option(help = "Take orders with an old fencing number").flag()
    private val slowFactor by option(help = "Factor on the time of every step").double().default(1.0)
    private val eventLoss by option(help = "Share of cache events that are lost, 0 to 1").double().default(0.0)
    private val cutStreams by option(help = "Streams that break off").int().default(0)
    private val emptyAnswers by option(help = "Requests that get an empty answer").int().default(0)
    private val foreignAnswers by option(help = "Requests that get another one's answer").int().default(0)

    override fun run() {
        val servedModel = ServedModel(ModelName(model), WeightsVersion(weights), listOfNotNull(adapter?.let(::AdapterName)))
        val settings = EngineSettings(
            id = TargetId(id),
            models = listOf(servedModel),
            decodeSlots = decodeSlots,
            cachePieces = cachePieces,
            prefillTokensPerSecond = prefillRate,
            checksFencing = !ignoreFencing,
        )
        val standin = EngineStandin(settings, host, port)
        standin.faults = EngineFaults(down, slowFactor, eventLoss, cutStreams, emptyAnswers, foreignAnswers)
        serveUntilStopped(standin.address, standin)
    }
}

internal class CacheStoreStandinCommand : StandinServerCommand("cache-store", "Cache store that keeps prompt pieces for all engines.") {
    private val capacityPieces by option(help = "Pieces that are held").int().default(4096)

    override fun run() {
        val standin = CacheStoreStandin(host, port, capacityPieces)
        standin.faults = standin.faults.copy(down = down)
        serveUntilStopped(standin.address, standin)
    }
}

internal class ServiceStandinCommand : StandinServerCommand("service", "Plain service; it runs every call that reaches it.") {
    private val id by option(help = "Name of the target").default("service-1")
    private val callMillis by option("--call-ms", help = "How long a call takes").long().default(5)
    private val loseAnswers by option(help = "Calls that run and lose their answer").int().default(0)
    private val foreignAnswers by option(help = "Calls that get another one's answer").int().default(0)

    override fun run() {
        val standin = ServiceStandin(TargetId(id), host, port, callMillis)
        standin.faults = ServiceFaults(down, loseAnswers, foreignAnswers)
        serveUntilStopped(standin.address, standin)
    }
}
