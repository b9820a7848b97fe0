package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.queueing.DueTimes
import org.cactuspulley.core.queueing.FairRequestQueue
import org.cactuspulley.core.queueing.OfferResult
import org.cactuspulley.core.queueing.QueueOrder
import org.cactuspulley.core.queueing.QueueSettings
import org.cactuspulley.core.queueing.QueuedRequest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime.ZERO + 100.seconds

private fun request(id: String, priority: Int, latestStart: MonotonicTime, workspace: String = "a") = QueuedRequest(
    RequestId(id),
    BucketId(WorkspaceId(workspace), ProfileName("p")),
    PoolName("desk"),
    1,
    false,
    1,
    latestStart,
    DueTimes(priority, latestStart, latestStart, latestStart, 100.milliseconds),
)

/** The requests of an instance whose timer runs when a test says so, and whose workspace "heavy" consumes six times its rate. */
private class TestWaiting(order: QueueOrder, capacity: Int = Int.MAX_VALUE) {
    val timers = ArrayDeque<() -> Unit>()
    val requests = WaitingRequests(
        FairRequestQueue(QueueSettings(capacity = capacity), order),
        { START },
        { _, action -> timers += action },
        { it() },
    )
}

private val byDueTime = QueueOrder.FairByDueTime { flow, _ -> if (flow.workspace.text == "heavy") 6.0 else 0.5 }

class WaitingRequestsSpec : DescribeSpec({
    describe("requests that wait for a target") {
        // Guards against a free place that goes to whoever looks first by chance, before more urgent callers.
        it("look for one in the order of their priority, and of the time left among equals") {
            val test = TestWaiting(QueueOrder.ByLatestStart)
            val order = mutableListOf<String>()
            fun offer(id: String, priority: Int, latestStart: MonotonicTime) =
                test.requests.offer(request(id, priority, latestStart), { order += id })
            offer("low", 2, START)
            offer("patient", 1, START + 5.seconds)
            offer("pressed", 1, START + 1.seconds)
            offer("high", 0, START + 9.seconds)
            test.timers.single()()
            order shouldBe listOf("high", "pressed", "patient", "low")
        }

        it("look again if they still wait, and only once each time") {
            val test = TestWaiting(QueueOrder.ByLatestStart)
            var looks = 0
            fun look() {
                looks++
                test.requests.offer(request("r", 0, START), ::look)
            }
            test.requests.offer(request("r", 0, START), ::look)
            repeat(3) { test.timers.removeFirst()() }
            looks shouldBe 3
            test.timers.size shouldBe 1
        }

        // Guards against requests that stay in the queue for ever and are counted before all others, because looking failed.
        it("no longer wait after they looked and were not offered again, also if looking failed") {
            val test = TestWaiting(QueueOrder.ByLatestStart)
            test.requests.offer(request("r", 0, START), { error("no memory") })
            runCatching { test.timers.removeFirst()() }.isFailure shouldBe true
            test.requests.size shouldBe 0
        }

        // Guards against a deployment without fair queueing that suddenly refuses requests or makes new ones wait.
        it("are neither bounded nor made to yield unless the settings ask for fair queueing") {
            val test = TestWaiting(QueueOrder.ByLatestStart, capacity = 1)
            repeat(100) { test.requests.offer(request("r$it", 1, START), {}) shouldBe OfferResult.Queued }
            test.requests.mustYield(request("new", 2, START + 9.seconds)) shouldBe false
        }
    }

    describe("a full queue, half of it of a workspace that consumes six times its rate") {
        // Guards against one workspace that keeps all others out of a bounded queue.
        it("gives a place to a request of another workspace, and refuses the last one of the heavy workspace") {
            val test = TestWaiting(byDueTime, capacity = 4)
            val refused = mutableListOf<String>()
            fun offer(id: String, workspace: String, after: Int) = test.requests.offer(
                request(id, 1, START + after.milliseconds, workspace),
                retry = {},
                refuse = { refused += id },
            )
            offer("heavy-1", "heavy", 100)
            offer("heavy-2", "heavy", 200)
            offer("light-1", "light", 300)
            offer("light-2", "light", 400)
            offer("light-3", "light", 900) shouldBe OfferResult.Queued
            refused shouldBe listOf("heavy-2")
            offer("heavy-3", "heavy", 50) shouldBe OfferResult.Queued
            refused shouldBe listOf("heavy-2", "heavy-1")
            offer("heavy-4", "heavy", 950) shouldBe OfferResult.Full
            test.requests.size shouldBe 4
        }

        it("makes a new request wait unless it precedes those that wait") {
            val test = TestWaiting(byDueTime)
            test.requests.offer(request("light", 1, START + 300.milliseconds, "light"), {})
            test.requests.mustYield(request("heavy", 1, START + 100.milliseconds, "heavy")) shouldBe true
            test.requests.mustYield(request("first", 0, START + 900.milliseconds, "heavy")) shouldBe false
            test.requests.mustYield(request("sooner", 1, START + 200.milliseconds, "light")) shouldBe false
        }
    }
})
