package org.cactuspulley.runtime.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime.ZERO + 100.seconds

/** A connection that has been silent since [silentSince] seconds after the start; it ends as soon as it is closed. */
private class Connection(
    private val limit: ConnectionLimit,
    silentSince: Int,
    override var isIdle: Boolean = true,
    override val isReading: Boolean = false,
    override val isServing: Boolean = false,
) : ClientConnection {
    var isClosed = false
    override val lastActive = START + silentSince.seconds
    override val heldBytes = 0L
    val isAccepted = limit.opened(this)

    override fun evict() = error("memory is not short")

    override fun closeForRoom() {
        isClosed = true
        limit.closed(this)
    }
}

private fun List<Connection>.closed() = map { it.isClosed }

class ConnectionLimitSpec : DescribeSpec({
    describe("a connection beyond the limit") {
        // Connections that send nothing took all descriptors.
        it("takes the place of the one that has been idle for longest") {
            val limit = ConnectionLimit(3)
            val connections = listOf(2, 1, 3).map { Connection(limit, it) }
            Connection(limit, 4).isAccepted shouldBe true
            connections.closed() shouldBe listOf(false, true, false)
        }

        it("takes the place of an idle one before that of one whose request arrives") {
            val limit = ConnectionLimit(2)
            val reading = Connection(limit, 1, isIdle = false, isReading = true)
            val idle = Connection(limit, 2)
            Connection(limit, 3).isAccepted shouldBe true
            listOf(reading, idle).closed() shouldBe listOf(false, true)
        }

        it("takes the place of the one whose request arrives most slowly if none is idle") {
            val limit = ConnectionLimit(2)
            val connections = listOf(2, 1).map { Connection(limit, it, isIdle = false, isReading = true) }
            Connection(limit, 3).isAccepted shouldBe true
            connections.closed() shouldBe listOf(false, true)
        }

        // A request that may run must not be cut.
        it("is refused if the requests of all others are being served") {
            val limit = ConnectionLimit(2)
            val connections = listOf(
                Connection(limit, 1, isIdle = false, isServing = true),
                Connection(limit, 2, isIdle = false, isReading = true, isServing = true),
            )
            Connection(limit, 3).isAccepted shouldBe false
            connections.closed() shouldBe listOf(false, false)
        }

        // The connection of an ordinary caller must last until its request has arrived.
        it("is not the one that is closed for the next one") {
            val limit = ConnectionLimit(3)
            val silent = List(3) { Connection(limit, it) }
            val newest = Connection(limit, 4)
            repeat(2) { Connection(limit, 5 + it) }
            silent.closed() shouldBe listOf(true, true, true)
            newest.isClosed shouldBe false
        }

        it("is counted") {
            val limit = ConnectionLimit(1)
            repeat(3) { Connection(limit, it) }
            limit.drainExcess() shouldBe 2
            limit.drainExcess() shouldBe 0
        }
    }

    describe("the descriptors of a process") {
        it("are read as the system states them") {
            DescriptorBudget.parseLimit(
                listOf("Limit  Soft Limit  Hard Limit  Units", "Max open files            400                  4096                 files"),
            ) shouldBe
                400L
            DescriptorBudget.parseLimit(listOf("Max open files            unlimited            unlimited            files")) shouldBe null
            DescriptorBudget.parseLimit(emptyList()) shouldBe null
        }

        // What an instance needs itself must stay free, whatever the limit is.
        it("are kept to more than a third for the instance itself") {
            for (limit in listOf(64L, 400L, 1_024L, 4_100L, 20_000L, 1_048_576L, Long.MAX_VALUE)) {
                val budget = DescriptorBudget.ofLimit(limit)
                val total = minOf(limit, Int.MAX_VALUE.toLong())
                (budget.callers + budget.queries < total * 2 / 3) shouldBe true
            }
        }
    }
})
