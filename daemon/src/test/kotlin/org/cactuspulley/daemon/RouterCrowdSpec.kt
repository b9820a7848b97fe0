package org.cactuspulley.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.Socket

/** The size of the lines of one request; with the rest of its head it is below the limit of 16,384 bytes. */
private const val LINES_BYTES = 16_100

/** How long the crowd's last messages take to be read before the process is looked at. */
private const val SETTLE_MILLIS = 1_000L

private const val HEAD = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
private val shortLines = "a:\r\n".repeat(LINES_BYTES / 4)

/** Callers that each send one message [rounds] times, keep their connections, send nothing more and read nothing. */
private class Crowd(val connections: Int, val message: String, val rounds: Int = 1)

private val crowds = mapOf(
    "many short lines in the head, with a body that stays away" to Crowd(300, "$HEAD${shortLines}Content-Length: 9\r\n\r\n"),
    "many short lines in the trailer of a chunked body" to
        Crowd(300, "${HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n$shortLines"),
    "many folded lines" to Crowd(1_200, "${HEAD}a:\r\n${" a\r\n".repeat(LINES_BYTES / 4)}Content-Length: 9\r\n\r\n"),
    "queries, eight at a time, whose responses stay unread" to Crowd(
        100,
        "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".repeat(8),
        rounds = 40,
    ),
    "bodies of 300,000 bytes without their ends" to Crowd(300, "${HEAD}Content-Length: 300001\r\n\r\n${"x".repeat(300_000)}"),
)

/** The size of one body, below the limit of 8 MiB. */
private const val BODY_BYTES = 8_000_000

private const val LAST_MESSAGE = """{"role":"user","content":"hi"}]}"""

/** Returns a body of [BODY_BYTES] that begins with [start], repeats [unit] and ends with [end]. */
private fun bodyOf(start: String, unit: String, end: String = LAST_MESSAGE): String {
    val head = """{"model":"layout-llm",$start"""
    return head + unit.repeat((BODY_BYTES - head.length - end.length) / unit.length) + end
}

/** Bodies of legal size whose parts need many times their bytes as objects. */
private val bodies = mapOf(
    "an array of numbers" to bodyOf(""""messages":[{"content":""}],"other":[""", "1,"),
    "an array of objects" to bodyOf(""""messages":[{"content":""}],"other":[""", "{},"),
    "many messages" to bodyOf(""""messages":[""", """{"content":""},"""),
    "a content of many parts" to bodyOf(""""messages":[{"content":[""", """{"text":""},"""),
    "nested arrays" to bodyOf(""""other":""", "["),
    "one long prompt" to bodyOf(""""messages":[{"content":"""", "word ", """"}]}"""),
)

class RouterCrowdSpec : DescribeSpec({
    describe("a router as a process with a small heap, to which a crowd of callers sends") {
        // All its threads ended for lack of memory, while the process stayed, answered nobody and did not end on SIGTERM.
        for ((kind, crowd) in crowds) {
            it("$kind, stays alive within its memory, responds to an ordinary request and ends on SIGTERM") {
                RouterProcess().use { it.endures(crowd) }
            }
        }

        // A limit on what a crowd may hold must not refuse one caller.
        it("nothing, reads a request with 4,025 header lines") {
            RouterProcess().use { router ->
                router.connect().use { socket ->
                    socket.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: h\r\n$shortLines\r\n".toByteArray())
                    socket.getInputStream().bufferedReader().readLine() shouldBe "HTTP/1.1 200 OK"
                }
            }
        }
    }

    describe("a router as a process with a small heap, to which one caller sends") {
        // The body of one request was parsed to a tree of objects, before its key was looked at; the process ended.
        for ((kind, body) in bodies) {
            it("a request of 8,000,000 bytes with $kind, stays alive and responds") {
                RouterProcess().use { router ->
                    router.connect().use { socket ->
                        val head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n"
                        socket.getOutputStream().write((head + body).toByteArray())
                        withClue({ router.output }) { socket.getInputStream().read() shouldBe 'H'.code }
                    }
                    router.ask() shouldBe RouterProcess.OK
                }
            }
        }
    }
})

/** Sends [message]; returns false if the connection has been closed. */
private fun Socket.sends(message: ByteArray): Boolean = try {
    getOutputStream().write(message)
    true
} catch (_: IOException) {
    close()
    false
}

private fun RouterProcess.endures(crowd: Crowd) {
    val message = crowd.message.toByteArray()
    val sockets = ArrayList<Socket>()
    try {
        repeat(crowd.connections) {
            try {
                if (isAlive) sockets += connect().apply { getOutputStream().write(message) }
            } catch (_: IOException) {
                // A router may refuse or close such connections, and one that has ended is noticed below.
                return@repeat
            }
        }
        repeat(crowd.rounds - 1) { sockets.removeAll { !it.sends(message) } }
        val answer = ask()
        Thread.sleep(SETTLE_MILLIS)
        withClue({ "after ${sockets.size} connections, answer: $answer, output:\n$output" }) {
            isAlive shouldBe true
            answer shouldBe RouterProcess.OK
            peakMemory shouldBeLessThan RouterProcess.MEMORY_BOUND
            openDescriptors shouldBeLessThan crowd.connections + RouterProcess.OWN_DESCRIPTORS
        }
    } finally {
        sockets.forEach { it.close() }
    }
    withClue({ "after the crowd has gone, output:\n$output" }) {
        ask() shouldBe RouterProcess.OK
        terminate() shouldBe true
    }
}
