package org.cactuspulley.runtime.edge

import org.cactuspulley.core.platform.TargetHeaders
import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/** A request as a fake target received it. [raw] is the complete text of its head and body. */
internal class ReceivedRequest(val method: String, val uri: String, val headers: Map<String, String>, val body: String, val raw: String) {
    val attempt: String get() = headers.getValue(TargetHeaders.REQUEST_ID.lowercase())
    val resumeFrom: Int get() = headers[TargetHeaders.RESUME_FROM.lowercase()]?.toInt() ?: 0
}

/** Defines how a fake target responds to one request. */
internal fun interface TargetBehaviour {
    fun respond(request: ReceivedRequest, connection: Socket)
}

/**
 * A target on a real socket that applies [behaviour] to each request and stores the received requests.
 *
 * @param keepsConnections whether a connection serves further requests. If not, it is closed after the first one.
 */
internal class FakeTarget(private val behaviour: TargetBehaviour, private val keepsConnections: Boolean = false) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val receivedRequests = CopyOnWriteArrayList<ReceivedRequest>()
    val port: Int get() = listener.localPort

    init {
        executor.execute(::acceptAll)
    }

    private fun acceptAll() {
        try {
            while (true) listener.accept().let { connection -> executor.execute { serve(connection) } }
        } catch (_: SocketException) {
            return
        }
    }

    private fun serve(connection: Socket) = connection.use {
        try {
            val input = BufferedInputStream(connection.getInputStream())
            do {
                val request = readRequest(input) ?: return
                receivedRequests += request
                behaviour.respond(request, connection)
            } while (keepsConnections)
        } catch (_: IOException) {
            return
        }
    }

    private fun readRequest(input: InputStream): ReceivedRequest? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.append(next.toChar())
        }
        val lines = head.trim().lines()
        val headers = lines.drop(1).associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = String(input.readNBytes(headers["content-length"]?.toInt() ?: 0))
        val (method, uri) = lines.first().split(' ')
        return ReceivedRequest(method, uri, headers, body, head.toString() + body)
    }

    override fun close() {
        listener.close()
        executor.shutdownNow()
    }
}

internal fun OutputStream.writeText(text: String) {
    write(text.toByteArray())
    flush()
}

/** Sends the head of a streamed response. */
internal fun Socket.startStream(id: String) =
    getOutputStream().writeText(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: $id\r\n\r\n",
    )

/** Sends one event of a streamed response as an HTTP chunk. */
internal fun Socket.sendEvent(data: String) {
    val event = "data: $data\n\n"
    getOutputStream().writeText("${event.length.toString(16)}\r\n$event\r\n")
}

internal fun Socket.sendToken(id: String, index: Int) = sendEvent(
    """{"id":"$id","index":$index,"choices":[{"delta":{"content":"t$index "}}]}""",
)

/** Sends the final events of a streamed response of [tokens] tokens and ends the body. */
internal fun Socket.endStream(id: String, tokens: Int) {
    sendEvent("""{"id":"$id","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":$tokens}}""")
    sendEvent("[DONE]")
    getOutputStream().writeText("0\r\n\r\n")
}

/** Sends a complete response that is not streamed. */
internal fun Socket.sendResponse(id: String, body: String, status: String = "200 OK") = getOutputStream().writeText(
    "HTTP/1.1 $status\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\nX-Request-Id: $id\r\n\r\n$body",
)

/** Streams a response of [tokens] tokens, starting at the token from which the request resumes. */
internal fun streamingEngine(tokens: Int = 5) = TargetBehaviour { request, connection ->
    connection.startStream(request.attempt)
    for (index in request.resumeFrom until tokens) connection.sendToken(request.attempt, index)
    connection.endStream(request.attempt, tokens)
}
