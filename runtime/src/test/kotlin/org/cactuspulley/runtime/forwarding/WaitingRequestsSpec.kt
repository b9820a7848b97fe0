package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.forwarding.Urgency
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime.ZERO + 100.seconds

class WaitingRequestsSpec : DescribeSpec({
    describe("requests that wait for a target") {
        // Guards against a free place that goes to whoever looks first by chance, before more urgent callers.
        it("look for one in the order of their priority, and of the time left among equals") {
            val timers = mutableListOf<() -> Unit>()
            val order = mutableListOf<String>()
            val waiting = WaitingRequests({ _, action -> timers += action }, { it() })
            waiting.add(Urgency(priority = 2, START)) { order += "low" }
            waiting.add(Urgency(priority = 1, START + 5.seconds)) { order += "patient" }
            waiting.add(Urgency(priority = 1, START + 1.seconds)) { order += "pressed" }
            waiting.add(Urgency(priority = 0, START + 9.seconds)) { order += "high" }
            timers.single()()
            order shouldBe listOf("high", "pressed", "patient", "low")
        }

        it("look again if they still wait, and only once each time") {
            val timers = ArrayDeque<() -> Unit>()
            var looks = 0
            val waiting = WaitingRequests({ _, action -> timers += action }, { it() })
            fun look() {
                looks++
                waiting.add(Urgency(0, START), ::look)
            }
            waiting.add(Urgency(0, START), ::look)
            repeat(3) { timers.removeFirst()() }
            looks shouldBe 3
            timers.size shouldBe 1
        }
    }
})
