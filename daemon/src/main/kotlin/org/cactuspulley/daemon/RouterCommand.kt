package org.cactuspulley.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import org.cactuspulley.runtime.instance.Router
import org.cactuspulley.runtime.logging.configureLogging
import org.cactuspulley.runtime.settings.loadRouterSettings
import java.util.concurrent.CountDownLatch

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
        val router = Router(routerSettings)
        router.start()
        echo("callers: ${router.address}")
        serveUntilStopped(router)
    }

    private fun serveUntilStopped(router: Router) {
        val stopped = CountDownLatch(1)
        val shutdownHook = Thread {
            router.stop().toCompletableFuture().join()
            router.close()
            stopped.countDown()
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        stopped.await()
    }
}
