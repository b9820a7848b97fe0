package org.cactuspulley.runtime.forwarding

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.string.shouldContain
import org.slf4j.LoggerFactory

/** What the lines of a full queue may hold, a sixteenth of the heap of the smallest machine, over their number. */
private const val MAX_LINE_CHARACTERS = 96 * 1024 * 1024 / 16 / 2_048

/** Returns the text of the line that [action] logs. */
private fun lineOf(action: (DecisionLog) -> Unit): String {
    val logger = LoggerFactory.getLogger("decisions") as Logger
    val appender = ListAppender<ILoggingEvent>().apply { start() }
    val level = logger.level
    logger.level = Level.INFO
    logger.addAppender(appender)
    try {
        action(DecisionLog(ForwardingMetrics()))
    } finally {
        logger.detachAppender(appender)
        logger.level = level
    }
    return appender.list.single().keyValuePairs.joinToString { "$it" }
}

class DecisionLogSpec : DescribeSpec({
    describe("a line of the decision log") {
        // Lines wait in a queue of thousands while the output is slow, each with the ids and paths that callers choose, up to 16 KB each.
        it("holds the beginning of a long text of a caller only") {
            val line = lineOf { it.event("caller_connection_failed", "reason" to "begin" + "x".repeat(16_000)) }
            line shouldContain "begin"
            line.length shouldBeLessThan MAX_LINE_CHARACTERS
        }

        it("holds an ordinary id whole") {
            val id = "9c41d07be2a35f68".repeat(8)
            lineOf { it.event("refused", "request" to id) } shouldContain id
        }
    }
})
