package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun ExchangeSimulation.SimulatedInstance.target() = checkNotNull(state.directory[TargetId("t-1")])

private val ExchangeSimulation.SimulatedInstance.limit: Double? get() = state.rateLimits.limit(target())

private fun ExchangeSimulation.start() {
    registryLog.report("t-1")
    instances.forEach { it.registry.read() }
    runTimers(4.seconds)
}

/** The time in which all instances of a fleet of [size] hear of a limit if no datagram is lost. */
private fun newsTime(size: Int) = if (size < 16) 500.milliseconds else 2.seconds

class RateLimitExchangeSpec : DescribeSpec({
    for (size in listOf(7, 95)) {
        describe("in a fleet of $size instances, a limit that a target names to one of them") {
            it("is known to all of them, and no more when it is lifted") {
                simulate(size) {
                    start()
                    instances[2].rateLimits.observed(instances[2].target(), 5.0, now, now)
                    runTimers(newsTime(size))
                    instances.map { it.limit }.toSet() shouldBe setOf(5.0)
                    instances[size - 1].rateLimits.observed(instances[size - 1].target(), null, now, now)
                    runTimers(newsTime(size))
                    instances.map { it.limit }.toSet() shouldBe setOf(null)
                }
            }

            // Guards against instances that pass on each other's reports, which would then never become old.
            it("is passed on only by the instances that it was named to, as long as it holds") {
                simulate(size) {
                    start()
                    instances[2].rateLimits.observed(instances[2].target(), 5.0, now, now)
                    runTimers(10.seconds)
                    instances.filter { it.rateLimits.notices(now).isNotEmpty() } shouldBe listOf(instances[2])
                    instances[2].rateLimits.notices(now).single().ageMillis shouldBe 10_000
                    instances[3].rateLimits.observed(instances[3].target(), 4.0, now, now)
                    runTimers(newsTime(size))
                    instances.filter { it.rateLimits.notices(now).isNotEmpty() } shouldBe listOf(instances[3])
                }
            }

            // Guards against an instance that missed the end of a limit and, having no share of it, never asks the target again.
            it("ends also for an instance that was cut off when it was lifted") {
                simulate(size) {
                    start()
                    instances[2].rateLimits.observed(instances[2].target(), 0.5, now, now)
                    runTimers(newsTime(size))
                    instances[0].losesDatagrams = true
                    runTimers(1.seconds)
                    instances[3].rateLimits.observed(instances[3].target(), null, now, now)
                    runTimers(20.seconds)
                    instances[0].limit shouldBe 0.5
                    instances[0].losesDatagrams = false
                    runTimers(newsTime(size))
                    instances[0].limit shouldBe null
                }
            }
        }
    }

    describe("what a response says about a limit") {
        it("counts from its arrival if it names one, and from the sending of its request if it names none") {
            simulate(1) {
                start()
                val instance = instances.single()
                val target = instance.target()
                instance.rateLimits.observed(target, 5.0, sentAt = now - 2.seconds, receivedAt = now)
                instance.rateLimits.observed(target, null, sentAt = now - 1.seconds, receivedAt = now + 1.seconds)
                instance.limit shouldBe 5.0
                instance.rateLimits.observed(target, null, sentAt = now + 1.milliseconds, receivedAt = now + 1.seconds)
                instance.limit shouldBe null
            }
        }

        it("is not remembered of targets that never named one") {
            simulate(1) {
                start()
                val instance = instances.single()
                instance.rateLimits.observed(instance.target(), null, now, now)
                instance.rateLimits.notices(now).shouldBeEmpty()
                instance.state.rateLimits.isKnown(TargetId("t-1")) shouldBe false
            }
        }
    }

    describe("a notice of a peer that makes no sense") {
        // Guards against figures that end the processing of digests, or of requests to the target.
        it("is ignored") {
            simulate(1) {
                start()
                val instance = instances.single()
                fun receive(limit: Double?, age: Long = 0, at: MonotonicTime = now) =
                    instance.rateLimits.receive("i-9", listOf(TargetLimitNotice("t-1", 1_000, limit, age)), at)
                listOf(Double.NaN, -1.0, Double.POSITIVE_INFINITY).forEach { receive(it) }
                receive(5.0, age = -1_000)
                instance.limit shouldBe null
                receive(5.0)
                instance.limit shouldBe 5.0
                instance.rateLimits.notices(now) shouldHaveSize 0
            }
        }
    }
})
