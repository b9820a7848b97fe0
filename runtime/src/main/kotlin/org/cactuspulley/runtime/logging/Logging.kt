/*
 * Sets up the process's log lines: text for people or one JSON object a line for machines, on
 * standard error.
 */
package org.cactuspulley.runtime.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.cactuspulley.runtime.settings.LogFormat
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Writes log lines of [level] and above to standard error as [format] from now on. */
public fun configureLogging(format: LogFormat, level: Level = Level.INFO) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val appender = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        target = "System.err"
        encoder = encoderFor(format, context)
        start()
    }
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        this.level = level
        addAppender(appender)
    }
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

/**
 * Writes decisions as lines of [format] to standard output from now on. Lines wait in a bounded queue;
 * while it is full they are dropped rather than hold up traffic.
 */
public fun configureDecisionLogging(format: LogFormat, level: Level = Level.INFO) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val output = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        target = "System.out"
        encoder = encoderFor(format, context)
        start()
    }
    val queue = AsyncAppender().apply {
        this.context = context
        queueSize = DECISION_QUEUE
        isNeverBlock = true
        addAppender(output)
        start()
    }
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        this.level = level
        addAppender(queue)
    }
}

/** Lines that may wait to be written: some seconds of a busy instance. */
private const val DECISION_QUEUE = 2_048
