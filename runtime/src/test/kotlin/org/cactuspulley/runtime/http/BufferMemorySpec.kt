package org.cactuspulley.runtime.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NOW = MonotonicTime.ZERO + 100.seconds

/** A connection that gives up its memory when it is evicted. */
private class Sender(memory: BufferMemory, silentMillis: Int, override val isReading: Boolean = true) : MemoryHolder {
    val share = memory.Share(this)
    var isEvicted = false
    override val lastActive = NOW - silentMillis.milliseconds
    override val heldBytes: Long get() = share.bytes

    init {
        memory.register(this)
    }

    override fun evict() {
        isEvicted = true
        share.resize(0)
    }
}

class BufferMemorySpec : DescribeSpec({
    fun memory() = BufferMemory(maxShareBytes = 100, maxHeldBytes = 100) { NOW }

    describe("a message that exceeds the memory of all together") {
        // A crowd of silent senders must not keep the messages of others out.
        it("takes the place of the message whose sender is silent the longest, and of no more than needed") {
            val memory = memory()
            val senders = listOf(1_000, 2_000, 3_000).map { Sender(memory, it).apply { share.resize(30) } }
            Sender(memory, 0).share.resize(40) shouldBe true
            senders.map { it.isEvicted } shouldBe listOf(false, false, true)
            memory.heldBytes shouldBe 100
        }

        // Messages that arrive steadily must not push each other out.
        it("is refused if no other sender is silent") {
            val memory = memory()
            val others = listOf(0, 1_400).map { Sender(memory, it).apply { share.resize(40) } }
            Sender(memory, 0).share.resize(40) shouldBe false
            others.map { it.isEvicted } shouldBe listOf(false, false)
        }

        // A request that may run must not be refused as not run.
        it("does not take the place of a complete request") {
            val memory = memory()
            val running = Sender(memory, 5_000, isReading = false).apply { share.resize(80) }
            Sender(memory, 0).share.resize(40) shouldBe false
            running.isEvicted shouldBe false
        }
    }

    describe("a message that exceeds the limit for one") {
        // One sender must not push out all others without a chance to be served itself.
        it("is refused, and nobody is evicted") {
            val memory = memory()
            val silent = Sender(memory, 5_000).apply { share.resize(50) }
            Sender(memory, 0).share.resize(101) shouldBe false
            silent.isEvicted shouldBe false
        }
    }
})
