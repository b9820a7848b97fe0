package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.cactuspulley.runtime.control.exitOnUncaughtErrors
import org.cactuspulley.runtime.instance.Router
import org.cactuspulley.runtime.logging.configureLogging
import org.cactuspulley.runtime.settings.StopSettings
import org.cactuspulley.runtime.settings.loadRouterSettings
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private val logger = KotlinLogging.logger {}

/** Runs one instance until SIGTERM and a graceful stop. */
internal class RouterCommand : CliktCommand(name = "router") {
    private val settings by option(
        "--settings",
        metavar = "FILE",
        help = "Settings file of the instance, in TOML",
    ).path(mustExist = false).required()

    override fun help(context: Context): String = "Runs one instance until SIGTERM, then finishes its requests and exits."

    override fun run() {
        val routerSettings = loadRouterSettings(settings).getOrElse { error ->
            echo(error.message, err = true)
            throw ProgramResult(ExitStatus.USAGE_ERROR)
        }
        configureLogging(routerSettings.log.logFormat)
        exitOnUncaughtErrors()
        val router = Router(routerSettings)
        router.start()
        echo("callers: ${router.address}")
        serveUntilStopped(router, routerSettings.stop)
    }

    private fun serveUntilStopped(router: Router, settings: StopSettings) {
        val stopped = CountDownLatch(1)
        val shutdownHook = Thread {
            try {
                router.stop().toCompletableFuture().get(settings.deadlineMillis + STOP_MARGIN_MILLIS, TimeUnit.MILLISECONDS)
                router.close()
            } catch (_: TimeoutException) {
                logger.error { "the instance does not stop by its deadline; ending the process" }
                Runtime.getRuntime().halt(ExitStatus.FAILURE)
            }
            stopped.countDown()
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        stopped.await()
    }

    private companion object {
        /** What a stop takes after its deadline at most: the last responses are written, and a busy machine is late. */
        const val STOP_MARGIN_MILLIS = 5_000L
    }
}
