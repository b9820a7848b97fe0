package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName

/**
 * What a target says of itself in the registry.
 *
 * @property address host and port.
 * @property startedAtMillis the wall clock at the target's start in Unix milliseconds; it tells starts under one id apart.
 * @property reportNumber counts the target's reports since its start.
 * @property weights the version of each model's weights in the target.
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
) {
    /** Whether this entry is of a later start, or a later report of the same start, than [other]. */
    public fun isNewerThan(other: TargetEntry): Boolean =
        compareValuesBy(this, other, TargetEntry::startedAtMillis, TargetEntry::reportNumber) > 0
}
