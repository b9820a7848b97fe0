package org.cactuspulley.runtime.targets

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.effect.ReadStatus
import org.cactuspulley.core.effect.SendOrder
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.OrderAnswered
import org.cactuspulley.core.event.OrderOutcome
import org.cactuspulley.core.event.StatusRead
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.OrderAction
import org.cactuspulley.core.platform.TargetOrder
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.edge.FakeTarget
import org.cactuspulley.runtime.edge.writeText
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private fun response(status: String, body: String = "{}") = "HTTP/1.1 $status\r\nContent-Length: ${body.length}\r\n\r\n$body"

/** Returns a target that sends its last response on a connection once more when the next one is due, and then that of [responses]. */
private fun targetThatRepeats(responses: Map<String, String>): FakeTarget {
    val lastResponses = ConcurrentHashMap<Socket, String>()
    return FakeTarget({ request, connection ->
        val response = responses.getValue(request.uri)
        val repeated = lastResponses.put(connection, response).orEmpty()
        connection.getOutputStream().writeText(repeated + response)
    }, keepsConnections = true)
}

class TargetControlClientSpec : DescribeSpec({
    val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    afterSpec { eventLoopGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS) }

    describe("a response that a target repeats when the next one is due") {
        // An order was taken as done that its target had refused.
        it("is not read as the response to an order") {
            val events = LinkedBlockingQueue<CoreEvent>()
            val responses = mapOf("/status" to response("200 OK", """{"incarnation":1}"""), "/orders" to response("409 Conflict"))
            targetThatRepeats(responses).use { fake ->
                TargetControlClient(eventLoopGroup, submit = { events += it }).use { client ->
                    val target = Target(TargetId("t-1"), TargetKind.ENGINE, PoolName("p"), "127.0.0.1", fake.port, ZoneName("zone"))
                    val deadline = MonotonicClock.SYSTEM.now() + 5.seconds
                    client.execute(ReadStatus(target, deadline))
                    events.poll(5, TimeUnit.SECONDS).shouldBeInstanceOf<StatusRead>()
                    val order = TargetOrder(1, "i-1", OrderAction.LoadWeights(ModelName("m"), WeightsVersion("2")))
                    client.execute(SendOrder(target, order, deadline))
                    events.poll(5, TimeUnit.SECONDS).shouldBeInstanceOf<OrderAnswered>().outcome shouldBe OrderOutcome.STALE
                }
            }
        }
    }
})
