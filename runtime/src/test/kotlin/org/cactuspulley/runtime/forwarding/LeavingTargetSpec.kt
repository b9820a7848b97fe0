package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The time after which targets that leave must get no more requests. */
private val DRAIN_LIMIT = 2.seconds

/** The time in which a request that waits for a connection may still be sent. */
private val CONNECT_TIME = 300.milliseconds

/** The time in which every instance that reaches the store must know of a leaving target. */
private val KNOWLEDGE_LIMIT: Duration = DRAIN_LIMIT - CONNECT_TIME

/** The time after the end of an outage from which on the store counts as stable. */
private val STABLE_TIME = 3.seconds

private fun ExchangeSimulation.usersOf(id: String) = instances.filter { it.uses(id) }.map { it.member.id.text }

/** Starts all instances with three targets, whose heartbeats have been read. */
private fun ExchangeSimulation.start() {
    listOf("t-1", "t-2", "t-3").forEach { registryLog.report(it) }
    instances.forEach { it.registry.read() }
    runTimers(4.seconds)
    usersOf("t-1").size shouldBe instances.size
}

class LeavingTargetSpec : DescribeSpec({
    for (size in listOf(8, 80)) {
        describe("in a fleet of $size instances, a target that leaves") {
            it("is known to all of them in time") {
                simulate(size) {
                    start()
                    registryLog.report("t-1", "draining")
                    registryLog.remove("t-2")
                    runTimers(KNOWLEDGE_LIMIT)
                    usersOf("t-1").shouldBeEmpty()
                    usersOf("t-2").shouldBeEmpty()
                }
            }

            // Guards against a reader that leaves out of its relay what it had learned from a peer before it read.
            it("is known to an instance that missed the first relay of its record") {
                simulate(size) {
                    start()
                    val (first, second, third) = instances.shuffled(kotlin.random.Random(1))
                    listOf(second, third).forEach { it.losesDatagrams = true }
                    registryLog.report("t-2", startedAt = 2_000)
                    first.registry.read()
                    second.losesDatagrams = false
                    registryLog.report("t-1", "draining")
                    first.registry.read()
                    third.losesDatagrams = false
                    second.registry.read()
                    third.registry.replica.next shouldBe registryLog.end
                    third.uses("t-1") shouldBe false
                }
            }

            // Guards against a removal that a reader does not pass on because it had stopped using the target by itself.
            it("is known to the others if its reader has found another target at its address") {
                simulate(size) {
                    start()
                    val reader = instances.first()
                    reader.state.directory.removeMisidentified(TargetId("t-1"))
                    registryLog.remove("t-1")
                    reader.registry.read()
                    runTimers(KNOWLEDGE_LIMIT)
                    usersOf("t-1").shouldBeEmpty()
                }
            }

            // Guards against a resynchronization, after the history was deleted, of which the other instances do not learn.
            it("is known to all of them in time if the history is deleted before they have read its record") {
                simulate(size) {
                    start()
                    registryLog.report("t-1", "draining")
                    registryLog.remove("t-2")
                    registryLog.compact()
                    runTimers(KNOWLEDGE_LIMIT)
                    usersOf("t-1").shouldBeEmpty()
                    usersOf("t-2").shouldBeEmpty()
                }
            }

            // Guards against a removed target that an outdated peer makes known again to an instance that has read all records.
            it("is not used again by a restarted instance that a lagging peer sends its records") {
                simulate(size) {
                    start()
                    val (lagging, restarted) = instances
                    lagging.isDown = true
                    registryLog.remove("t-1")
                    runTimers(1.seconds)
                    restarted.restart()
                    val range = RelayedRange(
                        StoreTopic.REGISTRY,
                        null,
                        lagging.registry.replica.next ?: 0,
                        lagging.registry.replica.all().map { RelayedRecord(it.key, it.offset, it.value) },
                    )
                    restarted.registry.applyRelayed(lagging.member.id, range, now)
                    restarted.uses("t-1") shouldBe false
                }
            }

            // Guards against records that a restarted instance relays as complete, without the removals that it has not seen.
            it("is known to an instance that a restarted one sends the records that it missed") {
                simulate(size) {
                    start()
                    val lagging = instances[0]
                    val restarted = instances[4]
                    (instances - restarted).forEach { it.isDown = true }
                    registryLog.remove("t-1")
                    registryLog.report("t-2")
                    restarted.restart()
                    lagging.isDown = false
                    lagging.exchange.sendDigests()
                    restarted.exchange.sendDigests()
                    lagging.registry.replica.next shouldBe registryLog.end
                    lagging.uses("t-1") shouldBe false
                }
            }

            // Guards against a removal that is put off because an instance's own read failed long ago while the store served the others.
            it("is not used on by an instance whose last own read failed") {
                simulate(size) {
                    start()
                    val instance = instances.last()
                    instance.registryStore.isRefused = true
                    instance.registry.read()
                    instance.registryStore.isRefused = false
                    runTimers(STABLE_TIME)
                    registryLog.remove("t-1")
                    instance.registry.read()
                    runTimers(KNOWLEDGE_LIMIT)
                    usersOf("t-1").shouldBeEmpty()
                }
            }

            // Guards against turns that add up when the store does not answer many instances whose turn comes first.
            it("is known in time to the instances that the store answers while it refuses every third one") {
                simulate(size) {
                    start()
                    val refused = instances.sortedBy { it.member.id.text }.take(size / 3).onEach { it.registryStore.isRefused = true }
                    runTimers(5.seconds)
                    repeat(5) { round ->
                        registryLog.report("t-$round-late")
                        runTimers(3.seconds)
                        registryLog.report("t-$round-late", "draining")
                        runTimers(KNOWLEDGE_LIMIT)
                        (instances - refused).filter { it.uses("t-$round-late") }.map { it.member.id.text }.shouldBeEmpty()
                    }
                }
            }

            // Guards against an instance that waits for a far turn while no peer's records reach it.
            it("is known in time to an instance that reaches the store but no peer") {
                simulate(size) {
                    start()
                    val isolated = instances[size / 2].apply { isDown = true }
                    registryLog.report("t-1", "draining")
                    repeat((KNOWLEDGE_LIMIT / 100.milliseconds).toInt()) {
                        runTimers(100.milliseconds)
                        isolated.registry.advance(now)
                    }
                    isolated.uses("t-1") shouldBe false
                }
            }
        }

        describe("in a fleet of $size instances, a target that says to one of them in a response that it leaves") {
            // Guards against instances that go on sending requests to the target while the registry says nothing of its leaving.
            it("is known to the others by the next digests") {
                simulate(size) {
                    start()
                    val told = instances[size / 2]
                    told.leavingTargets.observed(checkNotNull(told.state.directory[TargetId("t-1")]))
                    told.uses("t-1") shouldBe false
                    runTimers(KNOWLEDGE_LIMIT)
                    usersOf("t-1").shouldBeEmpty()
                    usersOf("t-2").size shouldBe size
                }
            }
        }

        describe("in a fleet of $size instances, a target whose entry expires during an outage") {
            // Guards against a return of the entry that its reader does not relay, because it had put the removal off and saw no change.
            it("stays in use everywhere if it is registered again") {
                simulate(size) {
                    start()
                    registryLog.isDown = true
                    runTimers(4.seconds)
                    registryLog.remove("t-1")
                    registryLog.isDown = false
                    val usersAfterReturn = (1..50).map { step ->
                        if (step == 15) registryLog.report("t-1")
                        runTimers(100.milliseconds)
                        usersOf("t-1").size
                    }
                    usersAfterReturn.toSet() shouldBe setOf(size)
                }
            }

            it("is not used any more if it is not registered again") {
                simulate(size) {
                    start()
                    registryLog.isDown = true
                    runTimers(4.seconds)
                    registryLog.remove("t-1")
                    registryLog.isDown = false
                    runTimers(STABLE_TIME)
                    usersOf("t-1").shouldBeEmpty()
                }
            }
        }
    }
})
