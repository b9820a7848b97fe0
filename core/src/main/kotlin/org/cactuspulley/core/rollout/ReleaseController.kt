package org.cactuspulley.core.rollout

import org.cactuspulley.core.forwarding.ServiceTimesRegistry
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName

/** Decides the stages of all releases while this instance holds the order lease; confined to one thread. */
public class ReleaseController(
    private val releases: ReleaseDirectory,
    private val serviceTimes: ServiceTimesRegistry,
    private val settings: ReleaseSettings = ReleaseSettings(),
) {
    /** Whether this instance needs the order lease; it is passed to [org.cactuspulley.core.forwarding.OrderLease.require]. */
    public val isLeaseNeeded: Boolean get() = releases.needsLease

    /** Returns the last verdict on the release of [service]; null if this instance has made none. */
    public fun verdict(service: PoolName): ReleaseVerdict? = null

    /** Records [order], which the operators' topic shows; returns whether it begins a release. */
    public fun recordOrder(order: ReleaseOrder, now: MonotonicTime): Boolean = releases.recordOrder(order)

    /** Records [state], which the holder of the lease confirmed at [heardAt]; returns whether its stage became known by it. */
    public fun recordState(state: ReleaseState, heardAt: MonotonicTime): Boolean = releases.recordState(state, heardAt)

    /**
     * Advances all releases at [now] by the [evidence] of all instances and returns the actions to perform. It is to be called several
     * times a second while a release is known, and whenever a result arrives.
     */
    public fun step(now: MonotonicTime, evidence: Collection<ReleaseEvidence>, isLeaseHeld: Boolean): List<ReleaseAction> = emptyList()

    /** Handles the result of [action] at [now]; without [success], the write may have happened or may happen later. */
    public fun onWritten(action: ReleaseAction, success: Boolean, now: MonotonicTime): Unit = Unit
}
