/*
 * Configures logging. Log lines are either human-readable text or one JSON object per line. Processes that log
 * decisions on requests write to standard output, all others write to standard error.
 */
package org.cactuspulley.runtime.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.cactuspulley.runtime.settings.LogFormat
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Configures the process to write log lines of [level] and above to standard error in [format]. */
public fun configureLogging(format: LogFormat, level: Level = Level.INFO): Unit =
    installAppender(level) { consoleAppender("System.err", format, it) }

/**
 * Configures the process to write log lines of [level] and above to standard output in [format]. Lines are written
 * asynchronously through a bounded queue; while it is full, lines are dropped so that logging does not delay traffic.
 */
public fun configureDecisionLogging(format: LogFormat, level: Level = Level.INFO): Unit = installAppender(level) { loggers ->
    AsyncAppender().apply {
        context = loggers
        queueSize = DECISION_QUEUE_CAPACITY
        isNeverBlock = true
        addAppender(consoleAppender("System.out", format, loggers))
        start()
    }
}

private fun installAppender(level: Level, appender: (LoggerContext) -> Appender<ILoggingEvent>) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        this.level = level
        addAppender(appender(context))
    }
}

private fun consoleAppender(stream: String, format: LogFormat, loggers: LoggerContext) = ConsoleAppender<ILoggingEvent>().apply {
    context = loggers
    target = stream
    encoder = encoderFor(format, loggers)
    start()
}

private fun encoderFor(format: LogFormat, context: LoggerContext): Encoder<ILoggingEvent> = when (format) {
    LogFormat.TEXT -> PatternLayoutEncoder().apply {
        this.context = context
        pattern = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg%n%ex{short}"
        start()
    }

    LogFormat.JSON -> JsonEncoder().apply {
        this.context = context
        setWithSequenceNumber(false)
        setWithNanoseconds(false)
        setWithThreadName(false)
        setWithContext(false)
        setWithMarkers(false)
        setWithMDC(false)
        setWithArguments(false)
        start()
    }
}

/** The maximum number of lines that wait to be written. A busy instance logs this many in a few seconds. */
private const val DECISION_QUEUE_CAPACITY = 2_048
