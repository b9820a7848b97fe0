package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.queueing.DueTimes
import org.cactuspulley.core.requests.RetryBudget
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RequestProgressSpec : DescribeSpec({
    fun progress(
        repeatability: Repeatability,
        maximumAttempts: Int = 2,
        budget: RetryBudget = RetryBudget(0.2, 10.0),
        deadline: MonotonicTime? = null,
        serviceTimes: ServiceTimes = ServiceTimes(),
    ) =
        RequestProgress(grant(route(repeatability, maximumAttempts = maximumAttempts)), deadline, START, budget, serviceTimes)

    /** Complete responses that took 100 to 190 ms, 140 ms at the median. */
    fun observedTimes() = ServiceTimes().apply { repeat(10) { recordTotal(100.milliseconds + 10.milliseconds * it, START) } }

    val mayHaveRun = setOf(SendFailure.BROKEN, SendFailure.SILENT, SendFailure.FAILED, SendFailure.WITHDRAWN)
    val notRunRefusals = setOf(
        ForwardingRefusal.NO_TARGET,
        ForwardingRefusal.REPEATS_EXHAUSTED,
        ForwardingRefusal.DEADLINE_PASSED,
        ForwardingRefusal.OVER_RATE,
    )

    describe("a request that runs at most once") {
        it("is never sent again after an attempt that may have run, and is not refused as not run") {
            checkAll(Arb.list(Arb.enum<SendFailure>(), 1..8)) { failures ->
                val progress = progress(Repeatability.AT_MOST_ONCE)
                var ran = false
                for ((index, failure) in failures.withIndex()) {
                    progress.recordSent()
                    ran = ran || failure in mayHaveRun
                    val next = progress.recordFailure(TargetId("t-$index"), failure, START + 10.milliseconds)
                    if (ran) {
                        next.shouldBeInstanceOf<NextStep.GiveUp>()
                        (next.refusal in notRunRefusals) shouldBe false
                        next.retryAfter shouldBe null
                        break
                    }
                    if (next is NextStep.GiveUp) break
                }
            }
        }

        it("is sent to another target if the first was unreachable") {
            val progress = progress(Repeatability.AT_MOST_ONCE)
            progress.recordFailure(TargetId("t-1"), SendFailure.UNREACHABLE, START) shouldBe NextStep.Retry
            progress.excluded shouldBe setOf(TargetId("t-1"))
        }

        // Guards against a request that is given up, or counted as run, because its target left before it was sent.
        it("is sent to another target if the first stopped accepting requests before it was sent") {
            val progress = progress(Repeatability.AT_MOST_ONCE, budget = RetryBudget(0.0, 0.0))
            progress.recordFailure(TargetId("t-1"), SendFailure.NOT_SENT, START) shouldBe NextStep.Retry
            progress.excluded shouldBe setOf(TargetId("t-1"))
            progress.mayHaveRun shouldBe false
        }

        it("is not sent again after silence, which would lead to a second run") {
            val progress = progress(Repeatability.AT_MOST_ONCE)
            progress.recordSent()
            progress.mayRepeatAfterSilence(START) shouldBe false
        }
    }

    describe("a repeatable request") {
        it("runs on as many targets as its route allows") {
            val progress = progress(Repeatability.FROM_START, maximumAttempts = 2)
            progress.recordSent()
            progress.recordFailure(TargetId("t-1"), SendFailure.BROKEN, START) shouldBe NextStep.Retry
            progress.recordSent()
            progress.recordFailure(TargetId("t-2"), SendFailure.BROKEN, START) shouldBe
                NextStep.GiveUp(ForwardingRefusal.TARGET_FAILED, null)
        }

        it("is not sent again when the retry budget of the fleet is exhausted") {
            val progress = progress(Repeatability.FROM_START, budget = RetryBudget(0.0, 0.5))
            progress.recordSent()
            val next = progress.recordFailure(TargetId("t-1"), SendFailure.NOT_RUN_FULL, START)
            next.shouldBeInstanceOf<NextStep.GiveUp>().refusal shouldBe ForwardingRefusal.REPEATS_EXHAUSTED
        }

        // Guards against repeats that wait and then come on top of those that the budget has earned meanwhile.
        it("keeps its place in the retry budget while it waits to be sent again") {
            val budget = RetryBudget(1.0, 1.0)
            val waiting = progress(Repeatability.FROM_START, budget = budget)
            waiting.recordSent()
            waiting.recordFailure(TargetId("t-1"), SendFailure.NOT_RUN_FULL, START) shouldBe NextStep.Retry
            budget.credit()
            budget.hasRetry shouldBe false
            waiting.recordSent()
            budget.credit()
            budget.hasRetry shouldBe true
        }

        it("takes one retry from the budget however many targets it can't reach before it is sent again") {
            val budget = RetryBudget(0.0, 1.0)
            val progress = progress(Repeatability.FROM_START, budget = budget)
            progress.recordSent()
            progress.recordFailure(TargetId("t-1"), SendFailure.NOT_RUN_FULL, START) shouldBe NextStep.Retry
            progress.recordFailure(TargetId("t-2"), SendFailure.UNREACHABLE, START) shouldBe NextStep.Retry
            progress.recordFailure(TargetId("t-3"), SendFailure.NOT_SENT, START) shouldBe NextStep.Retry
        }

        // Guards against retries that are lost to the fleet because a request ended before it was sent again.
        it("returns the retry that it has not used when it ends") {
            val budget = RetryBudget(0.0, 1.0)
            val progress = progress(Repeatability.FROM_START, budget = budget)
            progress.recordSent()
            progress.recordFailure(TargetId("t-1"), SendFailure.NOT_RUN_FULL, START) shouldBe NextStep.Retry
            progress.recordEnd()
            budget.hasRetry shouldBe true
        }

        it("takes nothing from the retry budget if no target was reached") {
            val progress = progress(Repeatability.FROM_START, budget = RetryBudget(0.0, 0.5))
            progress.recordFailure(TargetId("t-1"), SendFailure.UNREACHABLE, START) shouldBe NextStep.Retry
        }
    }

    describe("a silent attempt") {
        it("is unusually slow after twice the time within which almost all responses have begun") {
            val times = ServiceTimes().apply { (1..20).forEach { recordStart(50.milliseconds * it, START) } }
            progress(Repeatability.FROM_START, serviceTimes = times).silenceLimit(START) shouldBe 1_900.milliseconds
        }

        it("is not unusually slow before a delay of this process would be noticed") {
            val times = ServiceTimes().apply { repeat(20) { recordStart(20.milliseconds, START) } }
            progress(Repeatability.FROM_START, serviceTimes = times).silenceLimit(START) shouldBe 250.milliseconds
        }

        it("is unusually slow after a second while no service times are known") {
            progress(Repeatability.FROM_START).silenceLimit(START) shouldBe 1.seconds
        }

        // Guards against attempts that are given up although no other target can complete the request, so that the caller gets nothing.
        it("is given up for another one only while that can complete the request and the limits on repeats allow it") {
            val deadline = START + 600.milliseconds
            val progress = progress(Repeatability.FROM_START, deadline = deadline, serviceTimes = observedTimes())
            progress.recordSent()
            progress.mayRepeatAfterSilence(START + 460.milliseconds) shouldBe true
            progress.mayRepeatAfterSilence(START + 461.milliseconds) shouldBe false
            progress.recordFailure(TargetId("t-1"), SendFailure.SILENT, START)
            progress.recordSent()
            progress.mayRepeatAfterSilence(START) shouldBe false
            val exhausted = progress(Repeatability.FROM_START, budget = RetryBudget(0.0, 0.5))
            exhausted.recordSent()
            exhausted.mayRepeatAfterSilence(START) shouldBe false
        }
    }

    describe("the time for which a request may wait for a target") {
        // Guards against refusals of requests whose callers have ample time left.
        it("lasts until a usual request would no longer be complete by the deadline, however soon responses should come") {
            val progress = progress(Repeatability.AT_MOST_ONCE, deadline = START + 600.milliseconds, serviceTimes = observedTimes())
            progress.latestStart(START) shouldBe START + 460.milliseconds
        }

        it("lasts until the deadline while no service times are known") {
            progress(Repeatability.AT_MOST_ONCE).latestStart(START) shouldBe START + 6.seconds
        }

        it("is the same after an attempt in which the request did not run") {
            val progress = progress(Repeatability.AT_MOST_ONCE, deadline = START + 600.milliseconds, serviceTimes = observedTimes())
            progress.recordSent()
            progress.recordFailure(TargetId("t-1"), SendFailure.NOT_RUN_FULL, START) shouldBe NextStep.Retry
            progress.latestStart(START) shouldBe START + 460.milliseconds
        }
    }

    describe("a request with little time left") {
        it("can be complete if a recent one took no longer, and not otherwise") {
            val progress = progress(Repeatability.AT_MOST_ONCE, deadline = START + 600.milliseconds, serviceTimes = observedTimes())
            progress.canComplete(START + 500.milliseconds) shouldBe true
            progress.canComplete(START + 501.milliseconds) shouldBe false
            progress.cannotComplete().refusal shouldBe ForwardingRefusal.DEADLINE_PASSED
        }

        it("can be complete at any time before its deadline if its stream has begun, since less work is left") {
            val progress = progress(Repeatability.RESUMABLE, deadline = START + 600.milliseconds, serviceTimes = observedTimes())
            progress.recordBeginning()
            progress.canComplete(START + 599.milliseconds) shouldBe true
            progress.canComplete(START + 600.milliseconds) shouldBe false
        }
    }

    describe("a refusal because no target can accept the request") {
        it("sends the caller to another instance at once if the targets have asked only this one to pause") {
            val progress = progress(Repeatability.AT_MOST_ONCE)
            progress.noTarget(arePaused = true).retryAfter shouldBe 50.milliseconds
            progress.noTarget().retryAfter shouldBe 250.milliseconds
        }
    }

    describe("a full target") {
        // Guards against requests that wait although each target has turned them away once.
        it("may be tried again while others are not") {
            val progress = progress(Repeatability.AT_MOST_ONCE)
            progress.recordSent()
            progress.recordFailure(TargetId("t-1"), SendFailure.NOT_RUN_FULL, START) shouldBe NextStep.Retry
            progress.excluded shouldBe emptySet()
        }
    }

    describe("the due times of a request with 800 ms to its objective and 6 s in total, whose route takes 140 ms") {
        it("follow from the route's objective, its timeout and its usual times") {
            val due = progress(Repeatability.FROM_START, serviceTimes = observedTimes()).dueTimes(START)
            due shouldBe DueTimes(1, START + 660.milliseconds, START + 800.milliseconds, START + 5_860.milliseconds, 140.milliseconds)
            due.yieldsUntil shouldBe START + 5_720.milliseconds
            due.canOnlyBeLate(START + 660.milliseconds) shouldBe false
            due.canOnlyBeLate(START + 661.milliseconds) shouldBe true
        }

        // Guards against streams that are taken for late because their objective is compared with the time of the whole stream.
        it("allow for the time to the first event of a stream") {
            val times = observedTimes().apply { repeat(10) { recordStart(50.milliseconds, START) } }
            progress(Repeatability.RESUMABLE, serviceTimes = times).dueTimes(START).onTimeUntil shouldBe START + 750.milliseconds
        }
    }

    describe("the deadline of a request") {
        it("is the earlier of the route's timeout and the caller's deadline") {
            progress(Repeatability.FROM_START).deadline shouldBe START + 6.seconds
            progress(Repeatability.FROM_START, deadline = START + 1.seconds).deadline shouldBe START + 1.seconds
        }

        it("guarantees that the request has not run only if no attempt is outstanding or may have run") {
            progress(Repeatability.AT_MOST_ONCE).timedOut(isSentAttemptOutstanding = false).refusal shouldBe
                ForwardingRefusal.DEADLINE_PASSED
            progress(Repeatability.AT_MOST_ONCE).timedOut(isSentAttemptOutstanding = true).refusal shouldBe ForwardingRefusal.NO_ANSWER
        }
    }
})
