/*
 * Sets up the process's log lines: text for people or one JSON object a line for machines, on
 * standard error, or on standard output where they tell decisions on requests.
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

/** Writes log lines of [level] and above to standard error as [format] from now on. */
public fun configureLogging(format: LogFormat, level: Level = Level.INFO): Unit =
    installAppender(level) { consoleAppender("System.err", format, it) }

/**
 * Writes decisions as lines of [format] to standard output from now on. Lines wait in a bounded queue;
 * while it is full they are dropped rather than hold up traffic.
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

/** Lines that may wait to be written: some seconds of a busy instance. */
private const val DECISION_QUEUE_CAPACITY = 2_048
