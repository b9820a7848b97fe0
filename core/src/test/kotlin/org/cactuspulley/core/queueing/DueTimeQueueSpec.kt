package org.cactuspulley.core.queueing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.WorkspaceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("engines")
private val start = MonotonicTime.ZERO + 100.seconds

/** The route with 415 ms to its first event and 4 s in total, and the one with 1.2 s and 10 s. */
private enum class TestRoute(val objective: Duration, val timeout: Duration) {
    SHORT(415.milliseconds, 4.seconds),
    LONG(1_200.milliseconds, 10.seconds),
}

/** The requests of this spec take 200 ms to their first event and 2 s in total. */
private fun request(id: String, route: TestRoute, arrivedAt: MonotonicTime = start, workspace: String = "a", priority: Int = 1) =
    QueuedRequest(
        RequestId(id),
        BucketId(WorkspaceId(workspace), ProfileName("p")),
        pool,
        1,
        false,
        1,
        arrivedAt + route.timeout,
        DueTimes(
            priority,
            onTimeUntil = arrivedAt + route.objective - 200.milliseconds,
            objectiveAt = arrivedAt + route.objective,
            latestStart = arrivedAt + route.timeout - 2.seconds,
            usualTime = 2.seconds,
        ),
    )

private fun queue(capacity: Int = 4_096, consumption: (String) -> Double? = { 0.5 }) =
    FairRequestQueue(QueueSettings(capacity), QueueOrder.FairByDueTime { flow, _ -> consumption(flow.workspace.text) })

private fun FairRequestQueue.orderAt(now: MonotonicTime) = ordered(pool, now).map { it.id.text }

class DueTimeQueueSpec : DescribeSpec({
    describe("requests with 415 ms and with 1.2 s to their objective that compete for one slot") {
        // Guards against an order of arrival, in which the one that may wait makes the other one late.
        it("start by when they are due") {
            val queue = queue()
            queue.offer(request("may-wait", TestRoute.LONG), start)
            queue.offer(request("pressed", TestRoute.SHORT, start + 100.milliseconds), start + 100.milliseconds)
            queue.orderAt(start + 100.milliseconds) shouldContainExactly listOf("pressed", "may-wait")
        }

        it("start by priority first") {
            val queue = queue()
            queue.offer(request("pressed", TestRoute.SHORT), start)
            queue.offer(request("first", TestRoute.LONG, priority = 0), start)
            queue.orderAt(start) shouldContainExactly listOf("first", "pressed")
        }

        // Guards against earliest-due-first alone, which under overload serves those that are late already and makes all others late.
        it("yield to those that can be on time once they can only be late") {
            val queue = queue()
            val now = start + 1_500.milliseconds
            queue.offer(request("late", TestRoute.LONG), start)
            queue.offer(request("on-time", TestRoute.SHORT, now), now)
            queue.orderAt(now) shouldContainExactly listOf("on-time", "late")
        }

        // Guards against a late request that starves behind a steady flow of requests that can be on time.
        it("yield no longer than until one usual time before their latest start, with one on-time request for each slot") {
            val queue = queue()
            queue.offer(request("late", TestRoute.LONG, start - 1_500.milliseconds), start)
            var startedAt: MonotonicTime? = null
            var now = start
            while (startedAt == null && now < start + 10.seconds) {
                queue.offer(request("n-${now.nanoseconds}", TestRoute.SHORT, now), now)
                var places = 1
                queue.drain(pool, now) { waiting -> (places-- > 0).also { if (it && waiting.id.text == "late") startedAt = now } }
                now += 20.milliseconds
            }
            startedAt shouldBe start - 1_500.milliseconds + 10.seconds - 2.seconds - 2.seconds
        }
    }

    describe("100 requests a second with 415 ms to their objective at a pool that starts 50") {
        // Guards against the collapse in which requests that are late already take the places of those that can be on time, so that
        // almost all are late although half of them could be on time.
        it("start on time for the most part, and the others in time or not at all") {
            val queue = queue()
            var onTime = 0
            var late = 0
            (0 until 1_000).forEach { step ->
                val now = start + 20.milliseconds * step
                repeat(2) { queue.offer(request("r-$step-$it", TestRoute.SHORT, now), now) }
                var places = 1
                queue.ordered(pool, now).forEach { waiting ->
                    if (places > 0) {
                        places--
                        queue.start(waiting.id, pool, now)
                        val due = checkNotNull(waiting.dueTimes)
                        if (due.canOnlyBeLate(now)) late++ else onTime++
                        now shouldBeLessThanOrEqualTo due.latestStart
                    } else if (queue.offer(waiting, now) is OfferResult.TooLate) {
                        queue.remove(waiting.id)
                    }
                }
            }
            onTime + late shouldBe 1_000
            onTime shouldBeGreaterThan 800
        }
    }

    describe("a workspace at six times its usual load beside a small one") {
        // Guards against a workspace whose many requests take the places of those that keep to their share.
        it("bears the wait itself: the small one's requests start as if it had its usual load") {
            val queue = queue { if (it == "heavy") 3.0 else 0.5 }
            repeat(60) { queue.offer(request("heavy-$it", TestRoute.SHORT, workspace = "heavy"), start) }
            val now = start + 150.milliseconds
            repeat(2) { queue.offer(request("small-$it", TestRoute.LONG, now, workspace = "small"), now) }
            queue.orderAt(now).take(2) shouldContainExactly listOf("small-0", "small-1")
        }

        // Guards against requests of the heavy workspace that get ahead of the small one's by becoming late.
        it("gains nothing from its requests that have waited long") {
            val queue = queue { if (it == "heavy") 3.0 else 0.5 }
            queue.offer(request("heavy", TestRoute.LONG, workspace = "heavy"), start)
            queue.offer(request("heavy", TestRoute.LONG, workspace = "heavy"), start + 1_500.milliseconds) shouldBe OfferResult.Queued
            val now = start + 7_900.milliseconds
            queue.offer(request("small", TestRoute.SHORT, now, workspace = "small"), now)
            queue.orderAt(now) shouldContainExactly listOf("small", "heavy")
        }

        it("ranks with those that consume about as much by due time, and requests without a rate between both") {
            val queue = queue { mapOf("heavy" to 1.6, "light" to 0.52, "lighter" to 0.55, "none" to null)[it] }
            listOf("heavy", "none", "lighter").forEach { queue.offer(request(it, TestRoute.SHORT, workspace = it), start) }
            queue.offer(request("light", TestRoute.LONG, workspace = "light"), start)
            queue.orderAt(start) shouldContainExactly listOf("lighter", "light", "none", "heavy")
        }
    }

    describe("a queue of 40 requests at a pool that starts ten a second") {
        /** A queue that has started ten requests a second for two seconds and still has 40 waiting. */
        fun busyQueue(): FairRequestQueue {
            val queue = queue { if (it == "heavy") 3.0 else 0.5 }
            repeat(60) { queue.offer(request("r-$it", TestRoute.LONG), start) }
            repeat(20) { step ->
                var places = 1
                queue.drain(pool, start + 100.milliseconds * (step + 1)) { places-- > 0 }
            }
            return queue
        }

        // Guards against callers that learn at their deadline what was known at their arrival.
        it("refuses at once what can't start in time, and says when it could have started") {
            val now = start + 2.seconds
            val result = busyQueue().offer(request("late", TestRoute.LONG, now - 4_500.milliseconds, "heavy"), now)
            val expected = result.shouldBeInstanceOf<OfferResult.TooLate>().expectedStart
            (expected - now).inWholeMilliseconds shouldBe 4_000
        }

        // Guards against refusing those that precede the requests that make the queue long.
        it("accepts what precedes the waiting requests, or can wait for them") {
            val now = start + 2.seconds
            val queue = busyQueue()
            queue.offer(request("pressed", TestRoute.SHORT, now), now) shouldBe OfferResult.Queued
            queue.offer(request("patient", TestRoute.LONG, now - 1_200.milliseconds, "heavy"), now) shouldBe OfferResult.Queued
        }

        it("refuses one that waits already, once those before it take too long") {
            val queue = busyQueue()
            val now = start + 7.seconds
            queue.ordered(pool, now)
            queue.offer(request("r-59", TestRoute.LONG), now).shouldBeInstanceOf<OfferResult.TooLate>()
        }

        it("refuses none before it has measured how fast requests start, as after a restart") {
            val queue = queue()
            repeat(1_000) { queue.offer(request("r-$it", TestRoute.SHORT), start) shouldBe OfferResult.Queued }
        }
    }
})
