package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.ExperimentalSerializationApi
import org.cactuspulley.runtime.platform.HostAndPort
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private fun digest(id: String) = FleetDigest(id, 1, 1, "zone-a", "127.0.0.1:1", "127.0.0.1:2", serves = true)

/** The receiving side of a test: a transport on [loop], the messages that it delivered and whether each came on [loop]. */
private class Receiver(loop: EventLoop) : AutoCloseable {
    val address = DatagramSocket(0, InetAddress.getLoopbackAddress()).use { HostAndPort("127.0.0.1", it.localPort) }
    private val messages = LinkedBlockingQueue<Pair<PeerMessage, Boolean>>()
    private val transport = DigestTransport(address, loop) { messages += it to loop.inEventLoop() }

    fun next(): Pair<PeerMessage, Boolean> = messages.poll(5, TimeUnit.SECONDS) ?: error("no message arrived")

    override fun close() = transport.close()
}

private fun sendRaw(bytes: ByteArray, address: HostAndPort) = DatagramSocket().use {
    it.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), address.port))
}

@OptIn(ExperimentalSerializationApi::class)
class DigestTransportSpec : DescribeSpec({
    val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val loop = group.next()
    afterSpec { group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS) }

    /** Runs [action] with a receiver and a transport that sends to it. */
    fun withTransports(action: (Receiver, DigestTransport) -> Unit) = Receiver(loop).use { receiver ->
        DigestTransport(HostAndPort("127.0.0.1", 0), group.next()) {}.use { action(receiver, it) }
    }

    describe("a message") {
        // Guards against a handover between threads for each datagram, which cost more processor time than the messages themselves.
        it("is delivered on the event loop of the receiving instance") {
            withTransports { receiver, sender ->
                sender.send(PeerMessage(digest("i-1")), listOf(receiver.address))
                receiver.next() shouldBe (PeerMessage(digest("i-1")) to true)
            }
        }

        it("is sent in parts if it is larger than a datagram") {
            withTransports { receiver, sender ->
                val digests = (1..4).map { BundledDigest("i-$it", 1, 1, 0, Random(it).nextBytes(20_000)) }
                sender.send(PeerMessage(bundle = DigestBundle("zone-a", false, digests)), listOf(receiver.address))
                val received = List(2) { receiver.next().first.bundle?.digests.orEmpty() }.flatten()
                received.map { it.id } shouldContainExactlyInAnyOrder listOf("i-1", "i-2", "i-3", "i-4")
            }
        }
    }

    describe("a datagram that is no message") {
        val random = Random(1)
        val valid = peerCodec.encodeToByteArray(PeerMessage.serializer(), PeerMessage(digest("i-1")))
        val cases = mapOf(
            "random bytes" to random.nextBytes(300),
            "an empty datagram" to ByteArray(0),
            "a truncated message" to valid.copyOf(valid.size / 2),
            "deeply nested arrays" to ByteArray(60_000) { 0x81.toByte() },
            "a list that claims two billion elements" to claimedList("digests"),
        )
        for ((name, bytes) in cases) {
            it("does not keep the next message from being delivered: $name") {
                withTransports { receiver, sender ->
                    sendRaw(bytes, receiver.address)
                    sender.send(PeerMessage(digest("i-1")), listOf(receiver.address))
                    receiver.next().first shouldBe PeerMessage(digest("i-1"))
                }
            }
        }
    }
})

/** A bundle in which the array [field] claims 2,147,483,647 elements and has none. */
private fun claimedList(field: String): ByteArray {
    fun text(value: String) = byteArrayOf((0x60 + value.length).toByte()) + value.toByteArray()
    val map = byteArrayOf(0xa1.toByte())
    val claim = byteArrayOf(0x9a.toByte(), 0x7f, 0xff.toByte(), 0xff.toByte(), 0xff.toByte())
    return map + text("bundle") + map + text(field) + claim
}
