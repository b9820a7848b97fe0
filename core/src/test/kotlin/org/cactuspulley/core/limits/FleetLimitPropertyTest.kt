package org.cactuspulley.core.limits

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.model.InstanceId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that in no time window a workspace is admitted for more tokens than its burst plus its rate times the length of
 * the window. Every fault runs alone, as other faults might keep the buckets low and hide an excess, and all faults run
 * together.
 */
class FleetLimitPropertyTest : FunSpec({
    val settings = LimitSettings(
        bulkLease = 4.seconds,
        reserveLease = 15.seconds,
        renewalInterval = 1.seconds,
        leaseMargin = 200.milliseconds,
        loanLifetime = 3.seconds,
        clockDriftPerMille = 30,
    )

    fun maxExcess(seed: Long, faultProbabilities: FaultProbabilities, faults: List<FleetFault>): Double {
        val fleet = SimulatedFleet(seed, settings, faultProbabilities, FleetPlan(slotCount = 5, homesPerWorkspace = 2))
        val buckets = listOf("a", "b").map { SimulatedFleet.bucket(it) }
        buckets.forEach { fleet.setLimit(it, rate = 3_000, burst = 6_000) }
        (1..5).forEach { fleet.start(InstanceId("i$it")) }
        fleet.offerLoad(buckets)
        fleet.runFor(8.seconds)
        fleet.inject(faults, buckets)
        fleet.monitorSpendableParts()
        fleet.runFor(2.minutes)
        withClue("seed $seed, parts that two instances could spend from") { fleet.doublySpendableParts shouldBe 0 }
        return buckets.maxOf { fleet.maxExcess(it) }
    }

    fun check(name: String, faultProbabilities: FaultProbabilities, faults: List<FleetFault>, seeds: LongRange) {
        test("enforces the limits under $name") {
            val excesses = seeds.map { seed ->
                maxExcess(seed, faultProbabilities, faults).also {
                    withClue("seed $seed, excess in tokens") { it shouldBeLessThan TOLERANCE }
                }
            }
            println("limits under %s: largest excess %.1f tokens".format(name, excesses.max()))
            withClue("the load must come close to the limit, otherwise an excess could not show") {
                excesses.max() shouldBeGreaterThan -MAX_UNUSED_TOKENS
            }
        }
    }

    val noFaults = FaultProbabilities()
    check("no faults", noFaults, emptyList(), 1L..3L)
    check("duplicated and delayed messages", FaultProbabilities(messageDuplication = 0.2, messageDelay = 0.1), emptyList(), 1L..3L)
    FleetFault.entries.forEach { check(it.name.lowercase().replace('_', ' '), noFaults, listOf(it), 1L..3L) }
    check(
        "slow reads and late appends",
        noFaults.copy(readDelay = 0.005, appendDelay = 0.1, appendAnswerLoss = 0.1),
        FleetFault.entries,
        1L..3L,
    )
    check("all faults together", FaultProbabilities(0.03, 0.05, 0.05, 0.05, 0.03, 0.002), FleetFault.entries, 1L..12L)
}) {
    private companion object {
        /** The excess below which rounding errors are ignored, in tokens. */
        const val TOLERANCE = 1e-3

        /** How far the most loaded window may stay below the limit, in tokens. */
        const val MAX_UNUSED_TOKENS = 600.0
    }
}

/** Offers load that lets the buckets fill and then requests all their tokens at every instance at once. */
internal fun SimulatedFleet.offerLoad(buckets: List<BucketId>) {
    fun sendRequest(instance: SimulatedFleet.SimulatedInstance, random: Random) {
        val estimate = random.nextLong(1, 300)
        val used = if (random.nextInt(12) == 0) 0 else estimate
        request(instance, buckets.random(random), estimate, used, jitter(if (random.nextInt(3) == 0) 6.seconds else 300.milliseconds))
    }

    fun requestBurst(random: Random) {
        for (instance in instances.values.toList()) {
            val calls = random.nextInt(20, 50)
            repeat(calls) { schedule(jitter(60.milliseconds)) { sendRequest(instance, random) } }
        }
        schedule(jitter(if (random.nextBoolean()) 6.seconds else 600.milliseconds)) { requestBurst(random) }
    }

    /** Sends one request at a time; phases of rare requests alternate with phases of frequent ones. */
    fun singleRequests(random: Random) {
        instances.values.toList().randomOrNull(random)?.let { sendRequest(it, random) }
        schedule(jitter(if (time / LOAD_PHASE_NANOSECONDS % 2 == 0L) 10.seconds else 400.milliseconds)) { singleRequests(random) }
    }
    requestBurst(Random(random.nextLong()))
    singleRequests(Random(random.nextLong()))
}

private const val LOAD_PHASE_NANOSECONDS = 20_000_000_000L
