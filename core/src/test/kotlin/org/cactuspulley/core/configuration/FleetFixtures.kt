package org.cactuspulley.core.configuration

import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.record.GiveKey
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.PutModel
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.PutRoute
import org.cactuspulley.core.record.PutWorkspace
import org.cactuspulley.core.requests.RequestDescription
import kotlin.time.Duration.Companion.seconds

internal val deskProfile = Profile(ProfileName("desk"), 1_000, 5_000, listOf(RequestPattern("POST", "/plans/check")))
internal val nightProfile = Profile(ProfileName("night"), 500, 50_000, mayWait = true)
internal val workspaceOne = Workspace(WorkspaceId("one"), listOf(deskProfile.name, nightProfile.name))

internal fun key(number: Int): KeyGrant = KeyGrant(keyDigestOf("key-$number"), workspaceOne.id, "tablet $number")

/** Returns the records that configure a small deployment with [keys] keys. */
internal fun deploymentRecords(keys: Int): List<LogRecord> = listOf(
    PutProfile(deskProfile),
    PutProfile(nightProfile),
    PutWorkspace(workspaceOne),
    PutModel(Model(ModelName("layout-llm"), PoolName("engines"), WeightsVersion("v1"))),
    PutRoute(Route(RouteName("permits"), "/permits", PoolName("member-desk"))),
    PutRoute(Route(RouteName("permit-forms"), "/permits/forms", PoolName("forms"), openToAll = true)),
) + (0 until keys).map { GiveKey(key(it)) }

/** Returns a request, by default a chat completion with a valid key. */
internal fun request(
    key: KeyDigest? = key(0).digest,
    profile: ProfileName? = null,
    method: String = "POST",
    path: String = "/v1/chat/completions",
    model: ModelName? = ModelName("layout-llm"),
    idempotencyKey: IdempotencyKey? = null,
): RequestDescription = RequestDescription(
    id = RequestId("r"),
    key = key,
    profile = profile,
    method = method,
    path = path,
    model = model,
    adapter = null,
    prompt = emptyList(),
    maximumOutputTokens = 10,
    streaming = true,
    idempotencyKey = idempotencyKey,
    fingerprint = 0,
    deadline = MonotonicTime.ZERO + 60.seconds,
)

/** Returns a fleet on which every instance has loaded the configuration and serves. */
internal fun servingFleet(
    seed: Long,
    size: Int = 8,
    keys: Int = 10,
    timing: ConfigurationTiming = ConfigurationTiming(),
): FleetSimulation {
    val fleet = FleetSimulation(seed, size, timing = timing)
    deploymentRecords(keys).forEach { fleet.log.append(it) }
    fleet.startAll()
    fleet.run(10.seconds)
    check(fleet.instances.all { it.isServing }) { "not every instance serves 10 s after the start of the fleet" }
    return fleet
}
