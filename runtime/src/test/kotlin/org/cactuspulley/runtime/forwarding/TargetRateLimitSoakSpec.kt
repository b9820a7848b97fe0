package org.cactuspulley.runtime.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.ForwardingRoute
import org.cactuspulley.core.forwarding.RateLimitAdmission
import org.cactuspulley.core.forwarding.Repeatability
import org.cactuspulley.core.forwarding.SelectionCriteria
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.forwarding.WeightedPool
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SEEDS = 1..(System.getProperty("soak.seeds")?.toInt() ?: 3)
private val TICK = 100.milliseconds
private val WINDOW = 4.seconds

/** The time after an instance has passed on a limit from which on its requests count. */
private val GRACE = 500.milliseconds
private val LIMITED = TargetId("t-1")

/** The time after a change of the limit until the new one binds. */
private fun stableTime(size: Int): Duration = if (size < 16) 3.seconds else 5.seconds

/** A fleet whose callers ask for more than its targets take; target t-1 names limits that change. */
private class LimitedFleet(
    private val simulation: ExchangeSimulation,
    private val random: Random,
    private val requestsPerSecond: Double,
    targets: Int,
) {
    private class Arrival(val instance: ExchangeSimulation.SimulatedInstance, val at: MonotonicTime, val isCounted: Boolean)

    /** Something that happens at [at]; it is void if the state of [instance] was lost meanwhile. */
    private class Pending(
        val at: MonotonicTime,
        val instance: ExchangeSimulation.SimulatedInstance,
        val state: ForwardingState,
        val action: () -> Unit,
    )

    /** The limit from [at] on. */
    private class Phase(val at: MonotonicTime, val limit: Double?)

    private val now get() = simulation.now
    private val size = simulation.instances.size
    private val arrivals = mutableListOf<Arrival>()
    private val phases = mutableListOf<Phase>()
    private val told = HashMap<ExchangeSimulation.SimulatedInstance, MonotonicTime>()
    private var pending = mutableListOf<Pending>()
    private val dead = HashMap<ExchangeSimulation.SimulatedInstance, MonotonicTime>()
    private var deferred = 0.0

    /** The probability per tick that an instance is restarted or lost. */
    var disruptionsPerTick = 0.0

    private val grant = ForwardingGrant(
        ForwardingRoute(
            RouteName("file"), "desk.example", "/file/", Repeatability.FROM_START, isStream = false, isAnonymous = true,
            timeout = 1.seconds, latencyObjective = 1.seconds, maximumAttempts = 3, priority = 1,
            split = listOf(WeightedPool(PoolName("engines"), 1.0)),
        ),
        PoolName("engines"),
        null,
        cost = 1.0,
        configurationVersion = 1,
    )

    init {
        (1..targets).forEach { simulation.registryLog.report("t-$it") }
        simulation.instances.forEach { it.registry.read() }
        simulation.runTimers(4.seconds)
    }

    /** Lets the target name [limit], or none, for [duration]. */
    fun phase(limit: Double?, duration: Duration) {
        phases += Phase(now, limit)
        if (limit == null) told.clear()
        val end = now + duration
        while (now < end) tick(limit)
    }

    private fun tick(limit: Double?) {
        if (random.nextDouble() < disruptionsPerTick) disrupt()
        dead.filterValues { it <= now }.keys.forEach { revive(it) }
        val due = pending.filter { it.at <= now }
        pending = pending.filterTo(mutableListOf()) { it.at > now }
        due.filter { it.instance.state === it.state && it.instance !in dead }.forEach { it.action() }
        deferred += requestsPerSecond * (TICK / 1.seconds)
        val live = simulation.instances.filterNot { it in dead }
        while (deferred >= 1) {
            deferred--
            ask(live.random(random), limit, attempts = 3)
        }
        simulation.runTimers(TICK)
    }

    private fun disrupt() {
        if (dead.size > size / 2) return
        val instance = simulation.instances.filterNot { it in dead }.random(random)
        told.remove(instance)
        if (random.nextBoolean()) return instance.restart()
        instance.isDown = true
        dead[instance] = now + (500 + random.nextInt(5_000)).milliseconds
    }

    private fun revive(instance: ExchangeSimulation.SimulatedInstance) {
        dead.remove(instance)
        instance.isDown = false
        instance.restart()
    }

    /** Has a caller ask [instance], which tries up to [attempts] targets, some of them in vain. */
    private fun ask(instance: ExchangeSimulation.SimulatedInstance, limit: Double?, attempts: Int, excluded: Set<TargetId> = emptySet()) {
        val isLastResort = random.nextInt(4) == 0
        val criteria = SelectionCriteria(grant, null, excluded, null, null, isLastResort = isLastResort)
        val state = instance.state
        val target = state.selector.select(criteria, now) ?: return
        val admission = state.rateLimits.admit(target, now)
        check(admission != RateLimitAdmission.Denied) { "a selected target does not admit the request" }
        val connectTime = if (random.nextInt(10) == 0) 800 else random.nextInt(200)
        later(instance, connectTime.milliseconds) { send(instance, target, admission, attempts) }
    }

    private fun send(instance: ExchangeSimulation.SimulatedInstance, target: Target, admission: RateLimitAdmission, attempts: Int) {
        val state = instance.state
        if (random.nextInt(10) == 0) return state.rateLimits.giveBack(admission)
        if (state.rateLimits.renew(target, admission, now) == RateLimitAdmission.Denied) return
        if (target.id == LIMITED) arrivals += Arrival(instance, now, told[instance]?.let { now >= it + GRACE } ?: false)
        val sentAt = now
        val isLost = random.nextInt(8) == 0
        later(instance, random.nextInt(500).milliseconds) {
            val limit = phases.last().limit.takeIf { target.id == LIMITED }
            if (isLost) {
                if (attempts > 1) ask(instance, limit, attempts - 1, setOf(target.id).filter { random.nextBoolean() }.toSet())
            } else {
                instance.rateLimits.observed(target, limit, sentAt, now)
                if (limit != null) told.putIfAbsent(instance, now)
            }
        }
    }

    private fun later(instance: ExchangeSimulation.SimulatedInstance, delay: Duration, action: () -> Unit) {
        pending += Pending(now + delay, instance, instance.state, action)
    }

    /** The number of requests that the target got since [from]. */
    fun arrivalsSince(from: MonotonicTime): Int = arrivals.count { it.at >= from }

    /** Returns the windows in which the target got too many requests. */
    fun violations(): List<String> = arrivals.filter { it.isCounted }.mapNotNull { last ->
        val begin = last.at - WINDOW
        val allowed = allowed(begin, last.at)
        val count = arrivals.count { it.isCounted && it.at > begin && it.at <= last.at }
        "$count requests in the window until ${last.at}, $allowed allowed".takeIf { count > allowed }
    }

    /**
     * The requests that are allowed between [begin] and [end]. Until a new limit binds, the one before it does. Requests of
     * instances that have not been told of a limit do not count, so a time without one adds nothing.
     */
    private fun allowed(begin: MonotonicTime, end: MonotonicTime): Double {
        val from = minOf(begin, end - stableTime(size))
        val limits = phases.filterIndexed { index, phase ->
            phase.at <= end && (phases.getOrNull(index + 1)?.at?.let { it > from } ?: true)
        }
        return 1.5 * (WINDOW / 1.seconds) * limits.maxOf { it.limit ?: 0.0 } + 5
    }
}

class TargetRateLimitSoakSpec : DescribeSpec({
    for (size in listOf(7, 95)) {
        describe("a fleet of $size instances and a target that names a limit") {
            for (limit in listOf(0.3, 1.0, 1.3, 5.0, 40.0)) {
                for (seed in SEEDS) {
                    // Guards against a target that gets more requests than it takes from all instances together.
                    it("sends it no more than that, $limit, while instances restart and datagrams are lost, seed $seed") {
                        val random = Random(seed)
                        simulate(size, random = random) {
                            lossRate = 0.02
                            val fleet = LimitedFleet(this, random, requestsPerSecond = maxOf(20.0, 5 * limit), targets = 2)
                            fleet.phase(null, 1.seconds)
                            fleet.disruptionsPerTick = 0.05
                            fleet.phase(limit, 30.seconds)
                            withClue("seed $seed") { fleet.violations().take(5).shouldBeEmpty() }
                        }
                    }
                }
            }

            for (seed in SEEDS) {
                // Guards against tokens of a former limit that are added to those of a new one.
                it("follows a limit that rises, falls, is lifted and named again, seed $seed") {
                    val random = Random(seed)
                    simulate(size, random = random) {
                        val fleet = LimitedFleet(this, random, requestsPerSecond = 60.0, targets = 2)
                        listOf(null to 1, 5.0 to 10, 20.0 to 10, 1.0 to 15, 0.0 to 10, 3.0 to 10, null to 15, 2.0 to 12).forEach {
                            fleet.phase(it.first, it.second.seconds)
                        }
                        withClue("seed $seed") { fleet.violations().take(5).shouldBeEmpty() }
                    }
                }
            }

            // Guards against a limit that the instances without a share never learn to be lifted.
            it("uses it on all instances again when the limit is lifted") {
                val random = Random(1)
                simulate(size, random = random) {
                    val fleet = LimitedFleet(this, random, requestsPerSecond = 40.0, targets = 2)
                    fleet.phase(5.0, 10.seconds)
                    fleet.phase(null, 12.seconds)
                    instances.filter { it.state.rateLimits.limit(checkNotNull(it.state.directory[LIMITED])) != null }.size shouldBe 0
                }
            }
        }
    }

    describe("a small fleet and its only target, which names a limit") {
        for (limit in listOf(0.3, 1.0, 1.3, 5.0, 40.0)) {
            // Guards against a limit that keeps callers from a target that would have served them.
            it("sends it at least half of that, $limit, if callers ask for much more") {
                val random = Random(1)
                simulate(7, random = random) {
                    val fleet = LimitedFleet(this, random, requestsPerSecond = maxOf(20.0, 10 * limit), targets = 1)
                    fleet.phase(limit, 10.seconds)
                    val from = now
                    fleet.phase(limit, 40.seconds)
                    fleet.arrivalsSince(from).toDouble() shouldBeGreaterThanOrEqualTo limit * 40 / 2
                    fleet.violations().shouldBeEmpty()
                }
            }
        }
    }
})
