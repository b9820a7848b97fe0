package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime

/**
 * The order in which waiting requests get targets: by their priority, and among equals by the time that is left.
 *
 * @property priority the priority that the configuration gives the request; 0 is first.
 * @property latestStart the time after which the request can no longer be expected to end by its deadline.
 */
public data class Urgency(val priority: Int, val latestStart: MonotonicTime) : Comparable<Urgency> {
    override fun compareTo(other: Urgency): Int = compareValuesBy(this, other, Urgency::priority, Urgency::latestStart)
}
