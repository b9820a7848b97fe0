package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.settings.FleetBounds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMIT = 15.seconds

/** A connection of which the network takes what a test says. */
private class SlowConnection {
    var now = MonotonicTime.ZERO + 100.seconds
    private val clock = MonotonicClock { now }
    val channel = EmbeddedChannel()
    private val loop = channel.eventLoop()
    private val member = FleetMember(InstanceId("i-1"), InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2")
    val context = ForwardingContext(
        loop,
        clock,
        ForwardingState(member, FleetBounds(), now),
        NoTargets,
        TargetConnectionPool(loop, clock) { _, _ -> error("nothing is sent") },
        DecisionLog(ForwardingMetrics()),
        LoopDelayMonitor(100.milliseconds, now),
        sendDigests = {},
    )
    val unread = UnreadResponses(channel, context)

    /** Queues [bytes] bytes, which stay in the channel's buffer until it is flushed. */
    fun write(bytes: Int) {
        unread.add(bytes)
        channel.write(Unpooled.wrappedBuffer(ByteArray(bytes)))
        unread.record()
    }
}

class UnreadResponsesSpec : DescribeSpec({
    describe("what a caller does not read") {
        // What is queued for callers was in no account.
        it("counts toward the memory of responses until it is taken") {
            val connection = SlowConnection()
            connection.write(10_000)
            connection.context.responseMemory.heldBytes shouldBeGreaterThan 9_999
            connection.channel.flush()
            connection.unread.record()
            connection.context.responseMemory.heldBytes shouldBe 0
        }

        // A caller that reads nothing held its responses for as long as it liked.
        it("is dropped with its connection when nothing was taken for too long") {
            val connection = SlowConnection()
            connection.write(10_000)
            connection.now += LIMIT
            connection.unread.closeIfStalled(LIMIT)
            connection.channel.isOpen shouldBe true
            connection.now += 1.milliseconds
            connection.unread.closeIfStalled(LIMIT)
            connection.channel.isOpen shouldBe false
            connection.context.responseMemory.heldBytes shouldBe 0
        }
    }
})
