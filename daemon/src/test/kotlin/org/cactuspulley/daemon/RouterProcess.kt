package org.cactuspulley.daemon

import com.github.ajalt.clikt.testing.test
import kotlinx.serialization.json.Json
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.runtime.operator.IssuedKey
import org.cactuspulley.standins.engine.EngineSettings
import org.cactuspulley.standins.engine.EngineStandin
import org.cactuspulley.standins.list.InstanceListStandin
import org.cactuspulley.standins.log.LogStandin
import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit

private const val SECRET = "router-process-secret-0123456789"

/**
 * A router as a process of its own, started with the Java options of `bin/cactuspulley` and the settings of the quick start, but with a
 * small heap. Its platform and its engine are stand-ins in this process. It is not started again when it ends.
 *
 * @param descriptorLimit the most descriptors that the process may have open; null for the system's limit.
 * @param settings further sections of the settings file.
 */
internal class RouterProcess(descriptorLimit: Int? = null, settings: String = "") : AutoCloseable {
    private val log = LogStandin(HOST)
    private val list = InstanceListStandin(HOST)
    private val engine = EngineStandin(
        EngineSettings(TargetId("layout-1"), listOf(ServedModel(ModelName("layout-llm"), WeightsVersion("v1"), emptyList()))),
        HOST,
    )
    private val folder = kotlin.io.path.createTempDirectory("router-process").toFile()
    private val logFile = File(folder, "router.log")
    private val key: String
    private val process: Process

    val callersPort = freePort()
    val peersPort = freePort()

    init {
        operate("profiles", "put", "desk", "--rate", "100000", "--burst", "400000", "--repeatable", "POST:/v1/")
        operate("workspaces", "put", "puget", "--profile", "desk")
        operate("models", "put", "layout-llm", "--pool", "layout-llm", "--weights", "v1")
        val (engineHost, enginePort) = engine.address.split(':')
        operate(
            "targets", "put", "layout-1", "--kind", "engine", "--pool", "layout-llm",
            "--host", engineHost, "--port", enginePort, "--zone", "west-1",
        )
        key = Json.decodeFromString<IssuedKey>(operate("--json", "keys", "give", "puget")).plainKey
        val settingsFile = File(folder, "router.toml").apply { writeText(baseSettings() + settings) }
        val java = listOf(File(System.getProperty("java.home"), "bin/java").path) + fixedJavaOptions() + "-Xmx${HEAP_MEGABYTES}m" +
            listOf(
                "-cp",
                System.getProperty("java.class.path"),
                "org.cactuspulley.daemon.MainKt",
                "router",
                "--settings",
                settingsFile.path,
            )
        val limited = descriptorLimit?.let { listOf("prlimit", "--nofile=$it") }.orEmpty()
        process = ProcessBuilder(limited + java).redirectErrorStream(true).redirectOutput(logFile).start()
        awaitReady()
    }

    val isAlive: Boolean get() = process.isAlive

    /** The last lines that the process has printed, for a failed check. */
    val output: String get() = logFile.readLines().takeLast(OUTPUT_LINES).joinToString("\n") { it.take(OUTPUT_LINE_LENGTH) }

    /** The largest amount of memory in kB that the process has had resident so far. */
    val peakMemory: Long
        get() = File("/proc/${process.pid()}/status").readLines().first { it.startsWith("VmHWM:") }.filter(Char::isDigit).toLong()

    val openDescriptors: Int get() = File("/proc/${process.pid()}/fd").list().orEmpty().size

    fun connect(port: Int = callersPort): Socket = Socket().apply {
        connect(InetSocketAddress(InetAddress.getLoopbackAddress(), port), SOCKET_TIMEOUT_MILLIS)
        soTimeout = SOCKET_TIMEOUT_MILLIS
    }

    /** Sends an ordinary request, and again while it is refused, as callers do; returns the last status or failure. */
    fun ask(): String = untilAnswered {
        val body = """{"model":"layout-llm","max_tokens":4,"messages":[{"role":"user","content":"Is 9 inch right near the wall?"}]}"""
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer $key\r\nContent-Type: application/json\r\n" +
            "Content-Length: ${body.length}\r\n\r\n$body"
    }

    /** Queries the metrics; returns the status or the failure. */
    fun askForMetrics(): String = untilAnswered { "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n" }

    /** Connects to the address for peers, and again while there is no response; returns whether the router offers a handshake. */
    fun offersHandshake(): Boolean = retry(true) { connect(peersPort).use { it.getInputStream().read() >= 0 } } == true

    private fun untilAnswered(request: () -> String): String = retry(OK) {
        connect().use { socket ->
            socket.getOutputStream().write(request().toByteArray())
            readStatus(socket)
        }
    }.toString()

    /** Repeats [attempt] until it returns [expected]; returns its last result or failure. */
    private fun retry(expected: Any, attempt: () -> Any): Any {
        val endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_SECONDS)
        var result: Any = "not tried"
        while (isAlive && System.nanoTime() < endsAt) {
            result = try {
                attempt()
            } catch (failure: IOException) {
                failure
            }
            if (result == expected) return result
            Thread.sleep(RETRY_MILLIS)
        }
        return result
    }

    private fun readStatus(socket: Socket): String =
        socket.getInputStream().bufferedReader().readLine()?.split(' ')?.getOrNull(1) ?: "connection closed"

    /** Sends SIGTERM; returns whether the process ends by itself. */
    fun terminate(): Boolean {
        process.destroy()
        return process.waitFor(HANG_SECONDS, TimeUnit.SECONDS)
    }

    private fun awaitReady() {
        val endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_SECONDS)
        while (isAlive && ask() != OK) check(System.nanoTime() < endsAt) { "the router does not get ready:\n$output" }
        check(isAlive) { "the router ended at its start:\n$output" }
    }

    private fun operate(vararg arguments: String): String {
        val result = OperatorCommand().test(listOf("--log", log.address) + arguments)
        check(result.statusCode == ExitStatus.SUCCESS) { "operator ${arguments.joinToString(" ")}: ${result.stderr}" }
        return result.stdout
    }

    private fun baseSettings() = """
        instance = { id = "quickstart-1", zone = "west-1" }
        listen = { host = "$HOST", port = $callersPort }
        peers = { host = "$HOST", port = $peersPort, secret = "$SECRET" }
        platform = { log = ["${log.address}"], list = ["${list.address}"] }
        stop = { deadline_millis = 5000 }

    """.trimIndent()

    override fun close() {
        process.destroyForcibly().waitFor(HANG_SECONDS, TimeUnit.SECONDS)
        listOf(engine, list, log).forEach { it.close() }
        folder.deleteRecursively()
    }

    companion object {
        const val OK = "200"
        const val HEAP_MEGABYTES = 64

        /** The memory of the smallest machine, 280 MB, in kB, less the 32 MB by which the heap is smaller than its heap of 96 MB. */
        const val MEMORY_BOUND = (280 - 32) * 1024L

        /** The descriptors of a router beside those of its callers: class path, platform, target, listeners and selectors. */
        const val OWN_DESCRIPTORS = 200

        /** After this time something hangs; no check depends on how long it takes before. */
        private const val HANG_SECONDS = 60L
        private const val HOST = "127.0.0.1"
        private const val SOCKET_TIMEOUT_MILLIS = 6_000
        private const val RETRY_MILLIS = 50L
        private const val OUTPUT_LINES = 8
        private const val OUTPUT_LINE_LENGTH = 300

        /** The options that `bin/cactuspulley` passes to Java whatever its environment says. */
        private fun fixedJavaOptions(): List<String> {
            val root = generateSequence(File("").absoluteFile) { it.parentFile }.first { File(it, "bin/cactuspulley").exists() }
            val command = File(root, "bin/cactuspulley").readLines().first { it.startsWith("exec java ") }
            return command.removePrefix("exec java ").substringBefore("$").split(' ').filter { it.startsWith("-") }
        }

        /** Ports below those that the system assigns to outgoing connections. */
        private fun freePort(): Int = generateSequence { (10_000..32_000).random() }.first { port ->
            runCatching { ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close() }.isSuccess
        }
    }
}
