/*
 * What happens to errors that no thread handles. A process whose control thread or event loop has ended still holds its sockets and answers
 * nobody, so it must end itself; whoever runs it starts it again.
 *
 * Errors are passed to the handler of uncaught errors, which the program that embeds an instance may choose. The daemons install
 * [exitOnUncaughtErrors].
 */
package org.cactuspulley.runtime.control

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoopGroup

/** The exit status of a process that ends because of an error that none of its threads has handled. */
public const val FATAL_ERROR_STATUS: Int = 70

private val logger = KotlinLogging.logger {}

/** Reported when an event loop ends that was not asked to. Its cause has been logged by the loop. */
public class EventLoopEndedError : Error("an event loop has ended")

/** Ends the process when a thread ends with an [Error]. An exception is logged, since it ends only the work that threw it. */
public fun exitOnUncaughtErrors(): Unit = Thread.setDefaultUncaughtExceptionHandler { thread, failure ->
    try {
        logger.error(failure) { "uncaught error of thread ${thread.name}" }
    } finally {
        // No shutdown hooks: they would wait for the thread that has ended.
        if (failure is Error) Runtime.getRuntime().halt(FATAL_ERROR_STATUS)
    }
}

/** Passes [error] to the handler of uncaught errors of the current thread. */
internal fun reportUncaught(error: Throwable) {
    val thread = Thread.currentThread()
    thread.uncaughtExceptionHandler.uncaughtException(thread, error)
}

/** Reports the end of a loop of this group unless [isClosing] returns true by then. */
public fun EventLoopGroup.reportEndedLoops(isClosing: () -> Boolean) {
    for (loop in this) loop.terminationFuture().addListener { if (!isClosing()) reportUncaught(EventLoopEndedError()) }
}
