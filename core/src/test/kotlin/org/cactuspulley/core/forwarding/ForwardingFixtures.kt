package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.requests.PromptPiece
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val MODEL = ModelName("model-a")
internal val POOL = PoolName("engines")
internal val START = MonotonicTime.ZERO + 100.seconds

internal fun route(
    repeatability: Repeatability = Repeatability.RESUMABLE,
    prefix: String = "/ask/",
    maximumAttempts: Int = 2,
    anonymous: Boolean = false,
) = ForwardingRoute(
    name = RouteName("route$prefix"),
    host = "desk.example",
    pathPrefix = prefix,
    repeatability = repeatability,
    isStream = repeatability == Repeatability.RESUMABLE,
    isAnonymous = anonymous,
    timeout = 6.seconds,
    latencyObjective = 800.milliseconds,
    maximumAttempts = maximumAttempts,
    priority = 1,
    split = listOf(WeightedPool(POOL, 1.0)),
)

internal fun workspace(name: String = "tenant-a", rate: Double = 0.0, isolated: Boolean = false) =
    WorkspaceDescription(
        WorkspaceId(name),
        setOf("key-$name"),
        null,
        rate,
        rate,
        countsTokens = true,
        defaultTokenCost = 200,
        isIsolated = isolated,
    )

internal fun configuration(
    version: Long = 1,
    routes: List<ForwardingRoute> = listOf(route()),
    workspaces: List<WorkspaceDescription> = listOf(workspace()),
    store: String? = null,
    stores: List<String> = listOfNotNull(store),
) = ForwardingConfiguration(
    version = version,
    routes = routes,
    pools = (
        listOf(PoolDescription(POOL, setOf(MODEL), null)) +
            stores.map { PoolDescription(PoolName("memory-$it"), emptySet(), it) }
        ).associateBy { it.name },
    workspaces = workspaces.associateBy { it.name },
    callerLimits = CallerLimits(16_384, 1_000_000, 3.seconds, 15.seconds),
)

internal fun request(path: String = "/ask/1", key: String? = "key-tenant-a", prompt: PromptDescription? = prompt()) =
    ForwardedRequest(RequestId("r-1"), "desk.example", path, key, START + 5.seconds, prompt, null)

internal fun prompt(subject: Long = 7, own: Int = 100) =
    PromptDescription(MODEL, 1_000 + own, 50, listOf(PromptPiece(1, 500), PromptPiece(subject, 500), PromptPiece(999, own)))

internal fun fleetMember(id: String) =
    FleetMember(InstanceId(id), InstanceIncarnation(1), ZoneName("zone-a"), "$id:1", "$id:2")

internal fun grant(route: ForwardingRoute = route(), workspace: WorkspaceDescription? = workspace()) =
    ForwardingGrant(route, POOL, workspace, cost = 100.0, configurationVersion = 1)

internal fun entry(
    id: String,
    weights: Long = 1,
    leaving: Boolean = false,
    startedAt: Long = 1_000,
    reportNumber: Long = 1,
    zone: String = "zone-a",
    address: String = "10.0.0.1:8080",
) = TargetEntry(TargetId(id), POOL, address, ZoneName(zone), 8, leaving, startedAt, reportNumber, mapOf(MODEL to weights))
