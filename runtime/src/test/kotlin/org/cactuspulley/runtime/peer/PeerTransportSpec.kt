package org.cactuspulley.runtime.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.effect.UpdatePeerAddresses
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.message.WithdrawalsSpread
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.runtime.platform.HostAndPort
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** The number of handshakes that may be pending. */
private const val PENDING_HANDSHAKES = 64

class PeerTransportSpec : DescribeSpec({
    val message = WithdrawalsSpread(setOf(KeyDigest("ab")))

    describe("two instances with the same secret") {
        it("deliver messages in order") {
            Endpoint("a", SECRET).use { a ->
                Endpoint("b", SECRET).use { b ->
                    a.connectTo(b)
                    val messages = (1..50).map { WithdrawalsSpread(setOf(KeyDigest("$it"))) }
                    messages.forEach { a.transport.execute(SendToPeer(b.id, it)) }
                    messages.map { b.next() } shouldBe messages.map { PeerMessageReceived(a.id, it) }
                }
            }
        }

        it("reconnect after the receiver has restarted") {
            Endpoint("a", SECRET).use { a ->
                val first = Endpoint("b", SECRET)
                a.connectTo(first)
                a.transport.execute(SendToPeer(first.id, message))
                first.next() shouldBe PeerMessageReceived(a.id, message)
                first.close()
                Endpoint("b", SECRET).use { second ->
                    a.connectTo(second)
                    a.transport.execute(SendToPeer(second.id, message))
                    second.next() shouldBe PeerMessageReceived(a.id, message)
                }
            }
        }
    }

    describe("a connection beyond the number of handshakes that may be pending") {
        // A crowd of silent connections kept other instances out until their handshakes timed out.
        it("takes the place of the oldest one") {
            Endpoint("b", SECRET).use { b ->
                val silent = List(PENDING_HANDSHAKES) { Socket("127.0.0.1", b.transport.port) }
                try {
                    silent.forEach { it.getInputStream().read() shouldNotBe -1 }
                    Socket("127.0.0.1", b.transport.port).use { it.getInputStream().read() shouldNotBe -1 }
                } finally {
                    silent.forEach { it.close() }
                }
            }
        }
    }

    describe("a connection that fails the handshake") {
        it("is rejected by the accepting side if the secrets differ") {
            Endpoint("a", "another secret of 16").use { a ->
                Endpoint("b", SECRET).use { b ->
                    a.connectTo(b)
                    a.transport.execute(SendToPeer(b.id, message))
                    b.awaitRejectedConnection()
                    b.received.isEmpty() shouldBe true
                }
            }
        }

        it("is rejected if it sends arbitrary bytes") {
            Endpoint("b", SECRET).use { b ->
                Socket("127.0.0.1", b.transport.port).use { socket ->
                    socket.getOutputStream().apply {
                        write(ByteArray(4096) { 0x7F })
                        flush()
                    }
                    b.awaitRejectedConnection()
                }
                b.received.isEmpty() shouldBe true
            }
        }

        it("carries no messages if another instance runs at the address of the peer") {
            Endpoint("a", SECRET).use { a ->
                Endpoint("x", SECRET).use { other ->
                    a.transport.execute(UpdatePeerAddresses(mapOf(InstanceId("b") to "127.0.0.1:${other.transport.port}")))
                    a.transport.execute(SendToPeer(InstanceId("b"), message))
                    other.awaitRejectedConnection()
                    other.received.isEmpty() shouldBe true
                }
            }
        }
    }

    describe("messages to a peer without a known address") {
        it("are dropped and counted without blocking") {
            Endpoint("a", SECRET).use { a ->
                repeat(2_000) { a.transport.execute(SendToPeer(InstanceId("nobody"), message)) }
                a.transport.counters.dropped.sum() shouldBe 2_000
            }
        }
    }
})

private const val SECRET = "0123456789abcdef"
private const val TIMEOUT_SECONDS = 20L

private class Endpoint(name: String, secret: String) : AutoCloseable {
    val id = InstanceId(name)
    val received = LinkedBlockingQueue<CoreEvent>()
    val transport = PeerTransport(id, HostAndPort("127.0.0.1", 0), PeerSecret(secret)) { received.add(it) }

    fun connectTo(other: Endpoint) = transport.execute(UpdatePeerAddresses(mapOf(other.id to "127.0.0.1:${other.transport.port}")))

    fun next(): CoreEvent? = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)

    fun awaitRejectedConnection() {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
        while (transport.counters.rejectedConnections.sum() == 0L) {
            check(System.nanoTime() < deadline) { "no connection was rejected within $TIMEOUT_SECONDS seconds" }
            Thread.onSpinWait()
        }
    }

    override fun close() = transport.close()
}
