package org.cactuspulley.core.membership

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.ZoneName

/** Whether an instance accepts new callers ([LIVE]) or is leaving the deployment ([LEAVING]). */
@Serializable
public enum class InstanceState { LIVE, LEAVING }

/**
 * One instance of the router as its peers see it.
 *
 * @property incarnation the number of this start of the instance; a restart has a higher number.
 * @property address the host and port for callers.
 * @property peerAddress the host and port for other instances.
 * @property zone the zone that the instance runs in.
 */
@Serializable
public data class Instance(
    val id: InstanceId,
    val incarnation: InstanceIncarnation,
    val address: String,
    val peerAddress: String,
    val zone: ZoneName,
    val state: InstanceState = InstanceState.LIVE,
)

/** The instances that are currently known, by id, including the local instance [self]. */
public data class Membership(val self: InstanceId, val instances: Map<InstanceId, Instance>) {
    /** The instances that accept new callers. */
    public val live: List<Instance> get() = instances.values.filter { it.state == InstanceState.LIVE }
}
