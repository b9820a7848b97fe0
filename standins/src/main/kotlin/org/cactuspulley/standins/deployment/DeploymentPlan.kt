/*
 * The two reference deployments as plain data: zones, instances, targets, profiles and workspaces.
 * The demo, the trace generator and the replay use them.
 */
package org.cactuspulley.standins.deployment

import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.RequestPattern
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName

/**
 * Describes one deployment.
 *
 * @property instances the number of instances, which are assigned to the zones in turn.
 * @property model the model that all engines serve.
 * @property weights the weights version that the engines start with.
 * @property enginePool the pool of the engines; it also prefixes their target ids.
 * @property engines the number of engines, which are assigned to the zones in turn.
 * @property cacheStore the target id of the cache store.
 * @property servicePool the pool of the plain service; it also names the service's route and prefixes its target ids.
 * @property services the number of targets of the plain service, which are assigned to the zones in turn.
 * @property servicePath the path prefix that is routed to the plain service.
 * @property fleet the settings that apply to all instances.
 */
public data class DeploymentPlan(
    val name: String,
    val zones: List<ZoneName>,
    val instances: Int,
    val model: ModelName,
    val weights: WeightsVersion,
    val enginePool: PoolName,
    val engines: Int,
    val cacheStore: String,
    val servicePool: PoolName,
    val services: Int,
    val servicePath: String,
    val profiles: List<Profile>,
    val workspaces: List<Workspace>,
    val fleet: FleetPlan,
) {
    /** The zone of the instance or target at [index], which counts from 0. */
    public fun zoneOf(index: Int): ZoneName = zones[index % zones.size]

    public companion object {
        /** The deployment with this [name]; null if there is none. */
        public fun named(name: String): DeploymentPlan? = all.find { it.name == name }

        /** All reference deployments. */
        public val all: List<DeploymentPlan> get() = listOf(CASCADIA, QUEENSLAND)
    }
}

/**
 * A deployment with four zones. Its completions are slab questions that share long specifications; its
 * calls are filings of stamps and permits.
 */
public val CASCADIA: DeploymentPlan = DeploymentPlan(
    name = "cascadia",
    zones = listOf("west-1", "west-2", "west-3", "west-4").map(::ZoneName),
    instances = 8,
    model = ModelName("layout-llm"),
    weights = WeightsVersion("v1"),
    enginePool = PoolName("layout-llm"),
    engines = 8,
    cacheStore = "spec-memory",
    servicePool = PoolName("member-desk"),
    services = 4,
    servicePath = "/member-desk/",
    profiles = listOf(
        Profile(
            name = ProfileName("slab-question"),
            tokensPerSecond = 400_000,
            burstTokens = 2_000_000,
            repeatable = listOf(RequestPattern("POST", "/v1/")),
            weight = 4,
        ),
        Profile(
            name = ProfileName("plan-check"),
            tokensPerSecond = 400_000,
            burstTokens = 2_000_000,
            repeatable = listOf(RequestPattern("POST", "/v1/")),
            mayWait = true,
        ),
        Profile(
            name = ProfileName("slab-question-small"),
            tokensPerSecond = 40_000,
            burstTokens = 400_000,
            repeatable = listOf(RequestPattern("POST", "/v1/")),
            weight = 4,
        ),
        Profile(name = ProfileName("filing"), tokensPerSecond = 10_000, burstTokens = 100_000, weight = 4),
    ),
    workspaces = listOf("puget-radiant", "willamette-floors", "columbia-slab", "rogue-heating", "yakima-tube")
        .map { Workspace(WorkspaceId(it), listOf("slab-question", "plan-check", "filing", "slab-question-small").map(::ProfileName)) },
    fleet = FleetPlan(slotCount = 8, homesPerWorkspace = 2, intentPartitions = 8, concurrentWeightLoads = 2),
)

/**
 * A deployment with three zones. Its completions are van questions and overnight drafts that share a
 * whole ledger; its calls are bookings.
 */
public val QUEENSLAND: DeploymentPlan = DeploymentPlan(
    name = "queensland",
    zones = listOf("north-1", "north-2", "north-3").map(::ZoneName),
    instances = 8,
    model = ModelName("route-lm"),
    weights = WeightsVersion("v1"),
    enginePool = PoolName("route-lm"),
    engines = 13,
    cacheStore = "ledger-memo",
    servicePool = PoolName("booking-desk"),
    services = 3,
    servicePath = "/booking-desk/",
    profiles = listOf(
        Profile(
            name = ProfileName("van-question"),
            tokensPerSecond = 500_000,
            burstTokens = 2_500_000,
            repeatable = listOf(RequestPattern("POST", "/v1/")),
            weight = 4,
        ),
        Profile(
            name = ProfileName("ledger-draft"),
            tokensPerSecond = 500_000,
            burstTokens = 2_500_000,
            repeatable = listOf(RequestPattern("POST", "/v1/")),
            mayWait = true,
        ),
        Profile(
            name = ProfileName("van-question-small"),
            tokensPerSecond = 70_000,
            burstTokens = 700_000,
            repeatable = listOf(RequestPattern("POST", "/v1/")),
            weight = 4,
        ),
        Profile(name = ProfileName("booking"), tokensPerSecond = 10_000, burstTokens = 100_000, weight = 4),
    ),
    workspaces = listOf("roma-run", "longreach-run", "emerald-run", "mackay-run", "cairns-run")
        .map { Workspace(WorkspaceId(it), listOf("van-question", "ledger-draft", "booking", "van-question-small").map(::ProfileName)) },
    fleet = FleetPlan(slotCount = 8, homesPerWorkspace = 2, intentPartitions = 8, concurrentWeightLoads = 3),
)
