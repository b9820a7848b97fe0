package org.cactuspulley.core.queueing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.WorkspaceId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FairRequestQueueSpec : DescribeSpec({
    val pool = PoolName("pool")
    val start = MonotonicTime.ZERO

    fun request(
        id: String,
        workspace: String,
        cost: Long = 100,
        weight: Int = 1,
        mayWait: Boolean = false,
        deadline: MonotonicTime = start + 60.seconds,
    ) =
        QueuedRequest(RequestId(id), BucketId(WorkspaceId(workspace), ProfileName("p")), pool, weight, mayWait, cost, deadline)

    fun FairRequestQueue.drainAll(limit: Int = Int.MAX_VALUE): List<String> {
        val started = mutableListOf<String>()
        drain(pool, start) { request -> (started.size < limit).also { if (it) started.add(request.id.text) } }
        return started
    }

    describe("weighted sharing") {
        it("alternates between workspaces regardless of the order of arrival") {
            val queue = FairRequestQueue()
            (1..4).forEach { queue.offer(request("a$it", "a"), start) }
            (1..2).forEach { queue.offer(request("b$it", "b"), start) }
            queue.drainAll() shouldContainExactly listOf("a1", "b1", "a2", "b2", "a3", "a4")
        }

        it("starts twice the tokens for a workspace with twice the weight") {
            val queue = FairRequestQueue()
            (1..300).forEach {
                queue.offer(request("a$it", "a", weight = 2), start)
                queue.offer(request("b$it", "b", weight = 1), start)
            }
            queue.drainAll(limit = 300).count { it.startsWith("a") } shouldBe 200
        }

        it("starts interactive requests before those that may wait") {
            val queue = FairRequestQueue()
            queue.offer(request("w", "a", mayWait = true), start)
            queue.offer(request("i", "b"), start)
            queue.drainAll() shouldContainExactly listOf("i", "w")
        }
    }

    describe("capacity and deadlines") {
        it("keeps the reserved places for interactive requests") {
            val queue = FairRequestQueue(QueueSettings(capacity = 10, interactiveReserve = 4, capacityPerFlow = 10))
            val waiting = (1..10).map { queue.offer(request("w$it", "a", mayWait = true), start) }
            waiting.count { it == OfferResult.Queued } shouldBe 6
            val interactive = (1..10).map { queue.offer(request("i$it", "b"), start) }
            interactive.count { it == OfferResult.Queued } shouldBe 4
        }

        it("returns each request whose deadline has passed once") {
            val queue = FairRequestQueue()
            queue.offer(request("a", "a", deadline = start + 1.seconds), start)
            queue.offer(request("b", "a", deadline = start + 3.seconds), start)
            queue.expire(start + 2.seconds).map { it.id.text } shouldContainExactly listOf("a")
            queue.expire(start + 2.seconds) shouldBe emptyList()
            queue.size shouldBe 1
        }
    }

    describe("early refusal") {
        it("refuses only requests that can't start before their deadline at the measured drain rate") {
            val queue = FairRequestQueue()
            (1..200).forEach { queue.offer(request("a$it", "a", cost = 100), start) }
            (1..100).forEach { step -> queue.drainOne(pool, start + 100.milliseconds * step) }
            val now = start + 10.seconds
            queue.offer(request("late", "a", deadline = now + 5.seconds), now).shouldBeInstanceOf<OfferResult.TooLate>()
            queue.offer(request("early", "a", deadline = now + 15.seconds), now) shouldBe OfferResult.Queued
            queue.offer(request("other", "b", deadline = now + 1.seconds), now) shouldBe OfferResult.Queued
        }

        it("refuses no request before a drain rate was measured") {
            val queue = FairRequestQueue()
            (1..100).forEach { queue.offer(request("a$it", "a"), start) shouldBe OfferResult.Queued }
        }
    }

    describe("a workspace that offers 8 times its rate") {
        it("raises the p99 waiting time of other workspaces by less than 10 %") {
            val baseline = WaitingSimulation(seed = 3, overloadFactor = 1).waitingP99Milliseconds()
            val overloaded = WaitingSimulation(seed = 3, overloadFactor = 8).waitingP99Milliseconds()
            println("p99 waiting time of the others: %.1f ms baseline, %.1f ms with one at 8 times its rate".format(baseline, overloaded))
            baseline shouldBeGreaterThan 0.0
            overloaded shouldBeLessThan baseline * 1.1
        }
    }
})

private fun FairRequestQueue.drainOne(pool: PoolName, now: MonotonicTime) {
    var taken = false
    drain(pool, now) { !taken.also { taken = true } }
}
