package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import org.cactuspulley.core.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The number of seeds for each fleet; more are played with `-Dsoak.seeds`. */
private val SEEDS = 1..(System.getProperty("soak.seeds")?.toInt() ?: 5)

private val DURATION = 60.seconds
private val TICK = 100.milliseconds
private val HEARTBEAT = 1_200.milliseconds

/** The time without any disruption after which an instance, and the store, have to keep their limits. */
private val STABLE_TIME = 3.seconds

/** The time in which a configuration is in force, and instances learn that a target leaves. */
private val CHANGE_LIMIT = 2.seconds

/** The time in which instances learn that a target is ready. */
private val READY_LIMIT = 3.seconds

/** The time in which the operator and the targets write again what a copy lacks. */
private const val RETURN_MILLIS = 1_500

/** A target of the soak; [since] is when its present state was written to the registry. */
private class RestoredTarget(val id: String, var nextReport: MonotonicTime) {
    var isReady = true
    var isRemoved = false
    var since = nextReport

    /** When the registry deletes the entry; null if it does not. */
    var removesAt: MonotonicTime? = null

    /** When the registry last listed the target although it had left, because a copy did. */
    var reappearedUntil: MonotonicTime = MonotonicTime.ZERO
}

/** Restores the store of a fleet from copies, among cuts and restarts, and checks what its undisturbed instances know. */
private class RestoredStoreSoak(
    private val simulation: ExchangeSimulation,
    private val operations: SimulatedTopic,
    private val random: Random,
) {
    private class Copy(val at: MonotonicTime, val registryEnd: Long, val operationsEnd: Long)

    private val registry get() = simulation.registryLog
    private val now get() = simulation.now
    private val targets = mutableListOf<RestoredTarget>()
    private val copies = ArrayDeque<Copy>()
    private val due = mutableListOf<Pair<MonotonicTime, () -> Unit>>()
    private val disturbedUntil = HashMap<ExchangeSimulation.SimulatedInstance, MonotonicTime>()
    private var storeDisturbedUntil = now

    /** The newest version, and when it was last written; null if the log lacks it. */
    private var version = 0
    private var versionSince: MonotonicTime? = null
    val violations = mutableListOf<String>()

    fun run() {
        repeat(8) { addTarget() }
        configure()
        simulation.instances.forEach { it.restart() }
        simulation.runTimers(4.seconds)
        val end = now + DURATION
        while (now < end) {
            val ending = due.filter { it.first <= now }
            due.removeAll(ending)
            ending.forEach { it.second() }
            targets.forEach(::advance)
            if (random.nextDouble() < DISRUPTIONS_PER_TICK) disrupt()
            copies.addLast(Copy(now, registry.end, operations.end))
            simulation.runTimers(TICK)
            if (!registry.isDown && now >= storeDisturbedUntil + STABLE_TIME) check()
        }
    }

    private fun addTarget() {
        targets += RestoredTarget("t-${targets.size}", now + HEARTBEAT).also { registry.report(it.id) }
    }

    private fun configure() {
        operations.append("config", "${++version}")
        versionSince = now
        repeat(random.nextInt(3)) { operations.append("other-$it", "0") }
    }

    private fun advance(target: RestoredTarget) {
        if (registry.isDown) return
        val removesAt = target.removesAt
        if (removesAt != null && now >= removesAt) return remove(target)
        if (target.isRemoved || now < target.nextReport) return
        target.nextReport = now + HEARTBEAT
        registry.report(target.id, if (target.isReady) "ready" else "draining")
    }

    private fun remove(target: RestoredTarget) {
        if (target.isReady) target.since = now
        if (target.isRemoved) target.reappearedUntil = now
        target.isReady = false
        target.isRemoved = true
        target.removesAt = null
        registry.remove(target.id)
    }

    private fun disrupt() {
        val instance = simulation.instances.random(random)
        val lasts = (500 + random.nextInt(5_000)).milliseconds
        when (random.nextInt(10)) {
            0, 1, 2 -> if (!registry.isDown) configure()
            3 -> leave(withNotice = true)
            4 -> leave(withNotice = false)
            5 -> if (!registry.isDown) addTarget()
            6 -> disturb(instance, lasts, { instance.refuseStore(true) }) { instance.refuseStore(false) }
            7 -> disturb(instance, lasts, { instance.losesDatagrams = true }) { instance.losesDatagrams = false }
            8 -> disturb(instance, Duration.ZERO, { instance.restart() }) {}
            9 -> takeStoreDown()
        }
    }

    private fun leave(withNotice: Boolean) {
        val target = targets.filter { it.isReady }.randomOrNull(random)
        if (target == null || registry.isDown) return
        if (!withNotice) return remove(target)
        target.isReady = false
        target.since = now
        target.removesAt = now + 4.seconds
        registry.report(target.id, "draining")
    }

    private fun disturb(instance: ExchangeSimulation.SimulatedInstance, lasts: Duration, begin: () -> Unit, end: () -> Unit) {
        disturbedUntil[instance] = maxOf(now + lasts, disturbedUntil[instance] ?: now)
        begin()
        due += now + lasts to end
    }

    /** Takes the store down and restores it; at times again right after that. */
    private fun takeStoreDown() {
        if (registry.isDown) return
        val lasts = random.nextInt(2_500).milliseconds
        setDown(true)
        storeDisturbedUntil = now + lasts
        due += now + lasts to { restore(copies.filter { now - it.at < OLDEST_COPY }.random(random)) }
        if (random.nextInt(4) == 0) due += now + lasts + 300.milliseconds to { takeStoreDown() }
    }

    private fun setDown(isDown: Boolean) {
        registry.isDown = isDown
        operations.isDown = isDown
    }

    private fun restore(copy: Copy) {
        registry.restore(copy.registryEnd)
        operations.restore(copy.operationsEnd)
        copies.removeAll { it.at > copy.at }
        setDown(false)
        storeDisturbedUntil = now
        val listed = registry.newest().get()?.records.orEmpty().map { it.key }.toSet()
        for (target in targets) {
            if (target.isRemoved && target.id in listed) target.removesAt = now + random.nextInt(RETURN_MILLIS).milliseconds
            if (!target.isRemoved) target.nextReport = minOf(target.nextReport, now + random.nextInt(RETURN_MILLIS).milliseconds)
        }
        writeVersionAgain()
    }

    private fun writeVersionAgain() {
        val written = operations.newest().get()?.records.orEmpty().firstOrNull { it.key == "config" }?.value?.decodeToString()?.toInt()
        if (written == version) return
        versionSince = null
        val lost = version
        due += now + random.nextInt(RETURN_MILLIS).milliseconds to {
            if (!registry.isDown && version == lost && versionSince == null) {
                operations.append("config", "$version")
                versionSince = now
            }
        }
    }

    private fun check() {
        for (instance in simulation.instances) {
            val disturbed = disturbedUntil[instance]
            if (disturbed != null && now < disturbed + STABLE_TIME) continue
            checkVersion(instance)
            targets.forEach { checkTarget(instance, it, wasDisturbed = disturbed != null) }
        }
    }

    private fun checkVersion(instance: ExchangeSimulation.SimulatedInstance) {
        val since = versionSince ?: return
        if (now - since <= CHANGE_LIMIT || instance.version == version) return
        violations += "${instance.member.id.text}: version ${instance.version} instead of $version, written ${now - since} before $now"
    }

    private fun checkTarget(instance: ExchangeSimulation.SimulatedInstance, target: RestoredTarget, wasDisturbed: Boolean) {
        // An instance that has started again since knows no more than what the registry lists.
        val since = if (wasDisturbed) maxOf(target.since, target.reappearedUntil) else target.since
        if (wasDisturbed && target.isRemoved && target.removesAt != null) return
        if (now - since <= if (target.isReady) READY_LIMIT else CHANGE_LIMIT) return
        if (instance.uses(target.id) == target.isReady) return
        violations += "${instance.member.id.text}: ${target.id} is ${if (target.isReady) "ready" else "left"} for ${now - since} at $now"
    }

    private companion object {
        const val DISRUPTIONS_PER_TICK = 0.08
        val OLDEST_COPY = 10.seconds
    }
}

class RestoredStoreSoakSpec : DescribeSpec({
    for (size in listOf(8, 40)) {
        describe("a fleet of $size instances whose store is restored from copies, among restarts and cuts") {
            // Guards against versions that are not in force in time, and targets used or left out wrongly, after offsets went back.
            for (seed in SEEDS) {
                it("knows the newest configuration and which targets are ready, seed $seed") {
                    val random = Random(seed)
                    val operations = SimulatedTopic()
                    simulate(size, random = random, operationsLog = operations) {
                        lossRate = 0.01
                        val soak = RestoredStoreSoak(this, operations, random)
                        soak.run()
                        withClue("seed $seed") { soak.violations.take(5).shouldBeEmpty() }
                    }
                }
            }
        }
    }
})
