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

/** Runs a stand-in for one platform service or target as a process; `POST /faults` injects faults at run time. */
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

    override fun help(context: Context): String = "Runs a stand-in for a platform service or a target until it is stopped."

    override fun run(): Unit = Unit
}

/** The base class of the stand-in commands: it holds their common options and serves until SIGTERM. */
internal abstract class StandinServerCommand(name: String, private val helpText: String) : CliktCommand(name = name) {
    protected val host: String by option(help = "Address to listen on").default("127.0.0.1")
    protected val port: Int by option(help = "Port to listen on; 0 picks a free one").int().default(0)
    protected val down: Boolean by option(help = "Start with the fault that breaks every connection").flag()

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
    private val delayMillis by option("--delay-ms", help = "Delay of every answer, in milliseconds").long().default(0)
    private val loseAppendAnswers by option(help = "Number of appends that take effect but lose their answer").int().default(0)
    private val keptRecords by option(help = "Maximum number of records that a stream retains").int().default(Int.MAX_VALUE)
    private val keptMillis by option("--kept-ms", help = "Retention time of a record, in milliseconds").long().default(Long.MAX_VALUE)
    private val appendsPerSecond by option(help = "Maximum number of appends per second").int().default(500)

    override fun run() {
        val standin = LogStandin(host, port, LogSettings(keptRecords, keptMillis, appendsPerSecond))
        standin.faults = LogFaults(down, delayMillis, loseAppendAnswers)
        serveUntilStopped(standin.address, standin)
    }
}

internal class InstanceListStandinCommand : StandinServerCommand("list", "List of live and leaving instances.") {
    private val lagMillis by option("--lag-ms", help = "Age of the answered list, in milliseconds").long().default(500)

    override fun run() {
        val standin = InstanceListStandin(host, port, lagMillis)
        standin.faults = standin.faults.copy(down = down)
        serveUntilStopped(standin.address, standin)
    }
}

internal class WeightStoreStandinCommand : StandinServerCommand("weights", "Rate-limited weight store.") {
    private val requestsPerSecond by option(help = "Maximum number of requests per second").int().default(20)

    override fun run() {
        val standin = WeightStoreStandin(host, port, requestsPerSecond)
        standin.faults = standin.faults.copy(down = down)
        serveUntilStopped(standin.address, standin)
    }
}

internal class EngineStandinCommand : StandinServerCommand("engine", "Model engine with continuous batching and a prefix cache.") {
    private val id by option(help = "Name of the target").default("engine-1")
    private val model by option(help = "Model to serve").default("layout-llm")
    private val weights by option(help = "Version of the weights").default("v1")
    private val adapter by option(help = "Adapter on top of the model")
    private val decodeSlots by option(help = "Maximum number of requests computed in one batch").int().default(16)
    private val cachePieces by option(help = "Capacity of the prefix cache, in pieces of 1,024 tokens").int().default(256)
    private val prefillRate by option(help = "Prompt tokens computed per second").int().default(20_000)
    private val ignoreFencing by option(help = "Accept orders with an outdated fencing number").flag()
    private val slowFactor by option(help = "Factor that every step is slowed down by").double().default(1.0)
    private val eventLoss by option(help = "Fraction of cache events that are lost, 0 to 1").double().default(0.0)
    private val cutStreams by option(help = "Number of streams to cut").int().default(0)
    private val emptyAnswers by option(help = "Number of requests that get an empty answer").int().default(0)
    private val foreignAnswers by option(help = "Number of requests that get the answer to another request").int().default(0)

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

internal class CacheStoreStandinCommand : StandinServerCommand("cache-store", "Cache store that holds prompt pieces for all engines.") {
    private val capacityPieces by option(help = "Capacity of the cache, in pieces").int().default(4096)

    override fun run() {
        val standin = CacheStoreStandin(host, port, capacityPieces)
        standin.faults = standin.faults.copy(down = down)
        serveUntilStopped(standin.address, standin)
    }
}

internal class ServiceStandinCommand : StandinServerCommand("service", "Plain service that runs every call it gets.") {
    private val id by option(help = "Name of the target").default("service-1")
    private val callMillis by option("--call-ms", help = "Duration of a call, in milliseconds").long().default(5)
    private val loseAnswers by option(help = "Number of calls that run but lose their answer").int().default(0)
    private val foreignAnswers by option(help = "Number of calls that get the answer to another call").int().default(0)

    override fun run() {
        val standin = ServiceStandin(TargetId(id), host, port, callMillis)
        standin.faults = ServiceFaults(down, loseAnswers, foreignAnswers)
        serveUntilStopped(standin.address, standin)
    }
}
