package org.cactuspulley.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.Socket

/** The descriptors that the router may open, and the connections that a crowd opens. */
private const val DESCRIPTOR_LIMIT = 400
private const val CONNECTIONS = 600

/** A quarter of the descriptors stays free for what the router itself needs. */
private const val DESCRIPTOR_BOUND = DESCRIPTOR_LIMIT * 3 / 4

private const val REQUESTS = 8
private const val HEAD = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"

/** What each connection of a crowd sends before it falls silent. */
private val messages = mapOf(
    "nothing" to "",
    "a part of a head" to HEAD,
    "a head without its body" to "${HEAD}Content-Length: 9\r\n\r\n",
    "a whole request, whose connection it keeps" to "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n",
)

private fun RouterProcess.withCrowd(port: Int, message: String, action: () -> Unit) {
    val sockets = ArrayList<Socket>()
    try {
        repeat(CONNECTIONS) {
            try {
                sockets += connect(port).apply { getOutputStream().write(message.toByteArray()) }
            } catch (_: IOException) {
                // A router may close such connections.
                return@repeat
            }
        }
        withClue({ "after ${sockets.size} connections, output:\n$output" }, action)
    } finally {
        sockets.forEach { it.close() }
    }
}

private fun RouterProcess.servesBeside(port: Int, message: String) {
    withCrowd(port, message) {
        List(REQUESTS) { ask() } shouldBe List(REQUESTS) { RouterProcess.OK }
        offersHandshake() shouldBe true
        openDescriptors shouldBeLessThan DESCRIPTOR_BOUND
    }
    withClue({ "after the crowd has gone, output:\n$output" }) {
        offersHandshake() shouldBe true
        ask() shouldBe RouterProcess.OK
    }
}

class RouterConnectionsSpec : DescribeSpec({
    describe("a router as a process with few descriptors, to which a crowd keeps connections that send") {
        // Such connections took all descriptors, and the address for peers accepted nobody any more, also after they had gone.
        for ((kind, message) in messages) {
            it("$kind, on the address for callers, responds to ordinary requests and to peers") {
                RouterProcess(DESCRIPTOR_LIMIT).use { it.servesBeside(it.callersPort, message) }
            }
        }

        it("nothing, on the address for peers, responds to ordinary requests and to peers") {
            RouterProcess(DESCRIPTOR_LIMIT).use { it.servesBeside(it.peersPort, "") }
        }
    }
})
