/*
 * Measures how the control traffic, processor time and memory of one instance grow with the number of instances,
 * workspaces, targets and cache events. Runs the production state machines in one process.
 */
package org.cactuspulley.standins.capacity

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.platform.TargetLoad
import org.cactuspulley.core.platform.TargetRole
import org.cactuspulley.core.platform.TargetState
import org.cactuspulley.core.platform.TargetStatus
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.PutFleetPlan
import org.cactuspulley.core.record.PutModel
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.PutTarget
import org.cactuspulley.core.record.PutWorkspace
import kotlin.time.Duration.Companion.seconds

/**
 * The size of one measured fleet.
 *
 * @property instances the number of instances.
 * @property workspaces the number of workspaces.
 * @property targets the number of targets in the whole fleet.
 * @property cacheEventsPerSecond the number of cache events per second of each target.
 */
@Serializable
public data class CapacityLoad(
    val instances: Int = 8,
    val workspaces: Int = 100,
    val targets: Int = 13,
    @SerialName("cache_events_per_second_and_target") val cacheEventsPerSecond: Int = 0,
)

/**
 * The resources that one instance of a measured fleet used, on average over the instances.
 *
 * @property load the size of the measured fleet.
 * @property bytesPerSecond the control traffic, in bytes per second.
 * @property callsPerSecond the control messages and calls per second.
 * @property processorShare the processor time as a share of one core.
 * @property heapBytes the heap that the fleet holds after the run, in bytes per instance.
 * @property bytesByKind the control traffic by kind, in bytes per second.
 */
@Serializable
public data class CapacitySample(
    val load: CapacityLoad,
    @SerialName("control_bytes_per_second") val bytesPerSecond: Double,
    @SerialName("control_calls_per_second") val callsPerSecond: Double,
    @SerialName("processor_share_of_a_core") val processorShare: Double,
    @SerialName("heap_bytes") val heapBytes: Long,
    @SerialName("bytes_per_second_by_kind") val bytesByKind: Map<String, Double>,
)

/**
 * The least-squares line of a measured quantity over a size of the fleet.
 *
 * @property quantity the name and unit of the measured quantity.
 * @property size the name of the size that was varied.
 * @property slope the growth of the quantity per unit of the size.
 * @property intercept the quantity at size 0.
 */
@Serializable
public data class CapacitySlope(val quantity: String, val size: String, val slope: Double, val intercept: Double)

/** All samples and the lines fitted to them. */
@Serializable
public data class CapacityReport(val samples: List<CapacitySample>, val slopes: List<CapacitySlope>)

/** Measures fleets of several sizes. [progress] is called with each sample. */
public class CapacityMeasurement(private val progress: (CapacitySample) -> Unit = {}) {
    /** Measures all sizes. A first sample is discarded as a warm-up of the JVM. */
    public fun run(): CapacityReport {
        sample(CapacityLoad())
        val byInstances = INSTANCE_COUNTS.map { sample(CapacityLoad(instances = it)).also(progress) }
        val byWorkspaces = WORKSPACE_COUNTS.map { sample(CapacityLoad(workspaces = it)).also(progress) }
        val byTargets = TARGET_COUNTS.map { sample(CapacityLoad(targets = it)).also(progress) }
        val byEvents = CACHE_EVENT_RATES.map { sample(CapacityLoad(cacheEventsPerSecond = it)).also(progress) }
        val slopes = fitSlopes("instances", byInstances) { it.instances } + fitSlopes("workspaces", byWorkspaces) { it.workspaces } +
            fitSlopes("targets", byTargets) { it.targets } +
            fitSlopes("cache events per second and target", byEvents) { it.cacheEventsPerSecond }
        return CapacityReport(byInstances + byWorkspaces + byTargets + byEvents, slopes)
    }

    private fun sample(load: CapacityLoad): CapacitySample {
        val heapBefore = usedHeap()
        val fleet = CapacityFleet(load.instances, operatorRecords(load), TARGET_STATUS, load.cacheEventsPerSecond)
        fleet.measure(WARM_UP_DURATION, MEASURED_DURATION)
        val heapPerInstance = (usedHeap() - heapBefore).coerceAtLeast(0) / load.instances
        val instanceSeconds = load.instances * MEASURED_DURATION.inWholeSeconds.toDouble()
        return CapacitySample(
            load = load,
            bytesPerSecond = fleet.bytesByKind.values.sum() / instanceSeconds,
            callsPerSecond = fleet.countByKind.values.sum() / instanceSeconds,
            processorShare = fleet.processorNanoseconds / instanceSeconds / NANOSECONDS_PER_SECOND,
            heapBytes = heapPerInstance,
            bytesByKind = fleet.bytesByKind.mapValues { it.value / instanceSeconds },
        )
    }

    private fun usedHeap(): Long {
        repeat(GARBAGE_COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun fitSlopes(size: String, samples: List<CapacitySample>, sizeOf: (CapacityLoad) -> Int): List<CapacitySlope> {
        val sizes = samples.map { sizeOf(it.load).toDouble() }
        return listOf(
            fitSlope("control bytes per second", size, sizes, samples.map { it.bytesPerSecond }),
            fitSlope("control calls per second", size, sizes, samples.map { it.callsPerSecond }),
            fitSlope("share of a core", size, sizes, samples.map { it.processorShare }),
            fitSlope("heap bytes", size, sizes, samples.map { it.heapBytes.toDouble() }),
        )
    }

    private companion object {
        val INSTANCE_COUNTS = listOf(8, 16, 32, 64)
        val WORKSPACE_COUNTS = listOf(100, 600, 1_200, 2_400)
        val TARGET_COUNTS = listOf(13, 26, 52, 104)
        val CACHE_EVENT_RATES = listOf(0, 50, 100, 200)
        val WARM_UP_DURATION = 20.seconds
        val MEASURED_DURATION = 30.seconds
        const val NANOSECONDS_PER_SECOND = 1e9
        const val GARBAGE_COLLECTIONS = 3
    }
}

/** Fits the least-squares line of [values] over [sizes]. */
internal fun fitSlope(quantity: String, size: String, sizes: List<Double>, values: List<Double>): CapacitySlope {
    val meanSize = sizes.average()
    val meanValue = values.average()
    val covariance = sizes.zip(values).sumOf { (x, y) -> (x - meanSize) * (y - meanValue) }
    val slope = covariance / sizes.sumOf { (it - meanSize) * (it - meanSize) }
    return CapacitySlope(quantity, size, slope, meanValue - slope * meanSize)
}

private val MODEL = ModelName("model")
private val WEIGHTS = WeightsVersion("v1")
private val POOL = PoolName("engines")
private const val ZONES = 5

private fun operatorRecords(load: CapacityLoad): List<LogRecord> {
    val profile = ProfileName("standard")
    val plan = PutFleetPlan(FleetPlan(slotCount = load.instances), LogOffset.FIRST)
    val workspaces = List(load.workspaces) { PutWorkspace(Workspace(WorkspaceId("workspace-$it"), listOf(profile))) }
    val targets = List(load.targets) { number ->
        val zone = ZoneName("zone-${number % ZONES}")
        PutTarget(Target(TargetId("engine-$number"), TargetKind.ENGINE, POOL, "10.9.${number / 250}.${number % 250}", 9000, zone))
    }
    return listOf(plan, PutProfile(Profile(profile, 10_000, 40_000)), PutModel(Model(MODEL, POOL, WEIGHTS))) + workspaces + targets
}

private val TARGET_STATUS = TargetStatus(
    incarnation = 1,
    state = TargetState.SERVING,
    load = TargetLoad(running = 4, waiting = 1, waitingPrefillTokens = 2_000, prefillTokensPerSecond = 8_000, decodeSlots = 32),
    models = listOf(ServedModel(MODEL, WEIGHTS)),
    role = TargetRole.MIXED,
)
