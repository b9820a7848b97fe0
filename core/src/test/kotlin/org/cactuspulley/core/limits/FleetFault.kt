package org.cactuspulley.core.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The faults of a simulated fleet. Each of them is injected repeatedly at random times.
 *
 * @property interval the mean time between two injections.
 */
internal enum class FleetFault(val interval: Duration) {
    PAUSES(3.seconds),
    CRASHES_AND_RESTARTS(3.seconds),
    MASS_RESTARTS(12.seconds),
    LOG_OUTAGES(20.seconds),
    INSTANCE_LOG_PARTITIONS(8.seconds),
    RESTARTS_IN_LOG_OUTAGES(20.seconds),
    PEER_PARTITIONS(3.seconds),
    GRACEFUL_REPLACEMENTS(5.seconds),
    RAISED_LIMITS(15.seconds),
    CHANGED_PLANS(15.seconds),
    ;

    fun inject(fleet: SimulatedFleet, buckets: List<BucketId>) {
        val instance = fleet.randomInstance() ?: return
        when (this) {
            PAUSES -> instance.pause(fleet.jitter(12.seconds))
            CRASHES_AND_RESTARTS -> fleet.crashAndRestart(instance)
            MASS_RESTARTS -> fleet.massRestart()
            INSTANCE_LOG_PARTITIONS -> instance.partitionFromLog(fleet.jitter(35.seconds))
            LOG_OUTAGES -> fleet.logOutage(fleet.jitter(25.seconds))
            RESTARTS_IN_LOG_OUTAGES -> fleet.restartsInOutage()
            PEER_PARTITIONS -> fleet.randomInstance()?.let { fleet.partition(instance.id, it.id, fleet.jitter(10.seconds)) }
            GRACEFUL_REPLACEMENTS -> fleet.replaceGracefully(instance)
            RAISED_LIMITS -> fleet.raiseLimit(buckets.random(fleet.random))
            CHANGED_PLANS -> fleet.changePlan()
        }
    }
}

internal fun SimulatedFleet.inject(faults: List<FleetFault>, buckets: List<BucketId>) {
    fun next(fault: FleetFault) {
        schedule(jitter(fault.interval * 2)) {
            fault.inject(this, buckets)
            next(fault)
        }
    }
    faults.forEach { next(it) }
}

internal fun SimulatedFleet.randomInstance() = instances.values.filter { it.alive }.randomOrNull(random)

private fun SimulatedFleet.crashAndRestart(instance: SimulatedFleet.SimulatedInstance) {
    crash(instance.id)
    val restart = if (random.nextInt(4) == 0) 20.seconds else 1.seconds
    schedule(jitter(restart)) { if (instances[instance.id] === instance) start(instance.id) }
}

private fun SimulatedFleet.massRestart() {
    instances.keys.toList().filter { random.nextInt(4) > 0 }.forEach { id -> schedule(jitter(300.milliseconds)) { start(id) } }
}

private fun SimulatedFleet.restartsInOutage() {
    logOutage(4.seconds + jitter(16.seconds))
    repeat(random.nextInt(1, 4)) { schedule(jitter(8.seconds)) { randomInstance()?.let { start(it.id) } } }
}

private fun SimulatedFleet.raiseLimit(bucket: BucketId) {
    val current = limits.getValue(bucket).last()
    if (current.rate < HIGHEST_RATE) setLimit(bucket, current.rate + random.nextLong(500), current.burst + random.nextLong(1_000))
}

private fun SimulatedFleet.changePlan() {
    changePlan(plan.copy(slotCount = random.nextInt(3, 7), homesPerWorkspace = random.nextInt(1, 4)))
}

private fun SimulatedFleet.replaceGracefully(instance: SimulatedFleet.SimulatedInstance) {
    if (instance.stopping || instances.values.count { it.alive && !it.stopping } < 3) return
    instance.stop()
    val restart: Duration = 1.seconds + jitter(5.seconds)
    schedule(restart) { if (instances[instance.id] === instance) start(instance.id) }
}

private const val HIGHEST_RATE = 5_000L
