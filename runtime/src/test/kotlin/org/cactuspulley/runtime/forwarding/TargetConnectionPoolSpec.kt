package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.Channel
import io.netty.channel.embedded.EmbeddedChannel
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration.Companion.seconds

private val TARGET = TargetId("t-1")
private val ADDRESS = HostAndPort("10.1.0.1", 8080)

/** More requests than may have been refused on a connection that is kept. */
private const val TOO_MANY_REFUSALS = 65

/** A pool whose connections are established at once. */
private class PoolFixture {
    private val loopChannel = EmbeddedChannel()
    private val now = MonotonicTime.ZERO + 100.seconds
    private val pool = TargetConnectionPool(loopChannel.eventLoop(), MonotonicClock { now }) { _, onReady ->
        onReady(EmbeddedChannel(TargetResponseHandler()))
    }

    fun acquire(request: String): Channel {
        var acquired: Channel? = null
        pool.acquire(TARGET, ADDRESS, RequestId(request)) { acquired = it }
        return checkNotNull(acquired) { "no connection" }
    }

    /** Returns [channel] to the pool after [requests] were refused on it. */
    fun releaseAfterRefusal(channel: Channel, vararg requests: String) {
        requests.forEach { pool.recordRefusal(channel, RequestId(it)) }
        pool.release(TARGET, channel, null)
        loopChannel.runPendingTasks()
    }
}

class TargetConnectionPoolSpec : DescribeSpec({
    describe("a connection on which requests were refused") {
        // Guards against a late copy of a refusal that cannot be told from the response to the same request's next send.
        it("is not used again for any of them, whatever else was refused on it later") {
            val fixture = PoolFixture()
            val connection = fixture.acquire("r-1")
            fixture.releaseAfterRefusal(connection, "r-1")
            (fixture.acquire("r-2") === connection) shouldBe true
            fixture.releaseAfterRefusal(connection, "r-2")
            (fixture.acquire("r-1") === connection) shouldBe false
            (fixture.acquire("r-2") === connection) shouldBe false
        }

        it("is used for other requests") {
            val fixture = PoolFixture()
            val connection = fixture.acquire("r-1")
            fixture.releaseAfterRefusal(connection, "r-1")
            (fixture.acquire("r-2") === connection) shouldBe true
        }

        // Guards against a bound on its memory that is kept by forgetting refusals.
        it("is closed rather than kept after more refusals than it remembers") {
            val fixture = PoolFixture()
            val connection = fixture.acquire("r-0")
            fixture.releaseAfterRefusal(connection, *Array(TOO_MANY_REFUSALS) { "r-$it" })
            connection.isActive shouldBe false
            (fixture.acquire("r-other") === connection) shouldBe false
        }
    }
})
