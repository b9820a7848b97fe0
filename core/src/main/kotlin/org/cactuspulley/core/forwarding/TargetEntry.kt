package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName

/**
 * The registry entry that a target publishes about itself.
 *
 * @property pool the pool that the target serves.
 * @property address the host and port of the target.
 * @property slots the number of requests that the target runs at the same time.
 * @property isLeaving whether the target is shutting down and accepts no new requests.
 * @property startedAtMillis the wall-clock time of the target's start in Unix milliseconds; it distinguishes starts
 *    under the same id.
 * @property reportNumber the number of reports that the target has published since its start.
 * @property weights the version of each model's weights that the target has loaded.
 * @property softwareVersion the version of the target's software; empty if the target does not state it.
 */
public data class TargetEntry(
    val id: TargetId,
    val pool: PoolName,
    val address: String,
    val zone: ZoneName,
    val slots: Int,
    val isLeaving: Boolean,
    val startedAtMillis: Long,
    val reportNumber: Long,
    val weights: Map<ModelName, Long>,
    val softwareVersion: String = "",
) {
    /** Returns whether this entry comes from a later start than [other], or is a later report of the same start. */
    public fun isNewerThan(other: TargetEntry): Boolean =
        compareValuesBy(this, other, TargetEntry::startedAtMillis, TargetEntry::reportNumber) > 0
}
