package org.cactuspulley.core.configuration

import com.github.michaelbull.result.getError
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.effect.WithdrawalState
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.WithdrawKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs a simulated fleet under random message loss, delay and duplication, network partitions, pauses and
 * crashes of instances, and outages of the log and the instance list.
 */
class ConfigurationPropertySpec : DescribeSpec({
    describe("under random faults") {
        for (seed in SEEDS) {
            it("no key is accepted more than 3 s after its withdrawal and no change is reverted, seed $seed") {
                val run = RandomFaultRun(seed)
                run.executeRounds()
                withClue("violations") { run.violations.shouldBeEmpty() }
                run.endFaults()
                withClue("all instances serve the configuration of the log after the faults have ended") {
                    run.fleet.runUntil(20.seconds) {
                        run.fleet.instances.all {
                            it.isServing &&
                                it.configuration.effective == run.fleet.log.configuration
                        }
                    }
                        .shouldNotBeNull()
                }
                run.fleet.instances.map { it.configuration.effective }.toSet() shouldBe setOf(run.fleet.log.configuration)
            }
        }
    }
})

/** Each of the last three seeds has exposed a fault. */
private val SEEDS = (1L..25L) + listOf(63L, 152L, 190L)
private const val KEY_COUNT = 30
private val WITHDRAWAL_LIMIT = 3.seconds

/** One seeded run: a random fault or operator action every 500 ms, and a check of the guarantees after every event. */
private class RandomFaultRun(seed: Long) {
    val fleet = servingFleet(seed, keys = KEY_COUNT)
    val violations = mutableListOf<String>()
    private val random = fleet.random
    private val refusalDeadlines = mutableMapOf<KeyDigest, MonotonicTime>()
    private val lastOffsets = mutableMapOf<Pair<Any, Long>, LogOffset>()
    private val startCounts = mutableMapOf<Any, Long>()
    private val pendingWithdrawals = mutableMapOf<Long, Pair<FleetSimulation.SimulatedInstance, KeyDigest>>()
    private var nextKey = 0
    private var lastRequestNumber = 0L
    private var version = LogOffset(0)

    fun executeRounds() {
        fleet.faults = Faults(loss = 0.05, duplication = 0.05, longDelay = 0.05, lostAnswers = 0.3)
        fleet.onEventHandled = ::check
        repeat(ROUNDS) {
            performRandomAction()
            repeat(STEPS_PER_ROUND) {
                fleet.run(STEP)
                recordReportedWithdrawals()
                fleet.instances.filter { it.isRunning }.forEach(::check)
            }
        }
    }

    fun endFaults() {
        fleet.faults = Faults()
        fleet.log.isUp = true
        fleet.instanceList.isUp = true
        fleet.isolate(emptySet())
        fleet.instances.filterNot { it.isUp }.forEach { it.start() }
        fleet.run(15.seconds)
    }

    private fun performRandomAction() {
        val instance = fleet.instances[random.nextInt(fleet.instances.size)]
        when (random.nextInt(10)) {
            0 -> fleet.log.isUp = !fleet.log.isUp
            1 -> fleet.instanceList.isUp = !fleet.instanceList.isUp
            2 -> fleet.isolate(fleet.instances.shuffled(random).take(random.nextInt(4)).map { it.id }.toSet())
            3 -> fleet.isolate(emptySet())
            4 -> if (instance.isUp) instance.pause(random.nextLong(5_000).milliseconds)
            5 -> if (instance.isUp) instance.crash() else restart(instance)
            6 -> fleet.instances.filterNot { it.isUp }.forEach(::restart)
            7, 8 -> withdraw(instance)
            else -> changeProfile()
        }
    }

    private fun restart(instance: FleetSimulation.SimulatedInstance) {
        startCounts.merge(instance.id, 1L, Long::plus)
        instance.start()
    }

    private fun withdraw(instance: FleetSimulation.SimulatedInstance) {
        if (nextKey == KEY_COUNT) return
        val digest = key(nextKey++).digest
        if (fleet.log.isUp) {
            fleet.log.append(WithdrawKey(digest))
            refusalDeadlines[digest] = fleet.now + WITHDRAWAL_LIMIT
        } else if (instance.isRunning) {
            instance.withdraw(++lastRequestNumber, digest)
            pendingWithdrawals[lastRequestNumber] = instance to digest
        }
    }

    private fun recordReportedWithdrawals() {
        pendingWithdrawals.entries.removeIf { (number, request) ->
            val (instance, digest) = request
            val state = instance.withdrawalAnswers[number]
            val isReported = state == WithdrawalState.KEPT || state == WithdrawalState.IN_FORCE_NOT_KEPT
            if (isReported) {
                refusalDeadlines.putIfAbsent(
                    digest,
                    fleet.now + if (state == WithdrawalState.KEPT) WITHDRAWAL_LIMIT else Duration.ZERO,
                )
            }
            state != null
        }
    }

    private fun changeProfile() {
        if (!fleet.log.isUp) return
        version = fleet.log.append(PutProfile(deskProfile.copy(weight = random.nextInt(1, 9)), version))
    }

    private fun check(instance: FleetSimulation.SimulatedInstance) {
        if (!instance.isRunning) return
        checkConfiguration(instance)
        if (!instance.isServing) return
        for ((digest, refusalDeadline) in refusalDeadlines) {
            if (fleet.now < refusalDeadline) continue
            val refusal = instance.configuration.authorize(request(key = digest), fleet.now).getError()
            if (refusal ==
                null
            ) {
                violations +=
                    "${instance.id} accepts $digest ${fleet.now - refusalDeadline} after the deadline " +
                    "(${instance.configuration.statusAt(fleet.now)})"
            }
        }
    }

    private fun checkConfiguration(instance: FleetSimulation.SimulatedInstance) {
        val incarnation = instance.id to (startCounts[instance.id] ?: 0L)
        val next = instance.configuration.effective.next
        val before = lastOffsets.put(incarnation, next)
        if (before != null && next < before) violations += "${instance.id} moved back from offset ${before.number} to ${next.number}"
        if (before != next && instance.configuration.effective.profiles != fleet.log.configurationAt(next.number.toInt()).profiles) {
            violations += "${instance.id} differs from the log at offset ${next.number}"
        }
    }

    private companion object {
        const val ROUNDS = 60
        const val STEPS_PER_ROUND = 10
        val STEP = 50.milliseconds
    }
}
