package org.cactuspulley.core.limits

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.SlotIndex
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.rendezvousRank

/** Divides the buckets of workspaces among the parts of their home slots. */
internal class BucketAllocation(private val configuration: Configuration, private val settings: LimitSettings) {
    /** The fleet plan by which buckets are divided. */
    val plan = configuration.plan.value
    val planVersion = configuration.plan.version
    private val slots = (0 until plan.slotCount).map(::SlotIndex)
    private val homes = HashMap<WorkspaceId, List<SlotIndex>>()
    private val shares = HashMap<BucketId, Map<SlotPart, BucketLimit>>()

    /** Returns the home slots of [workspace], the preferred one first. */
    fun homesOf(workspace: WorkspaceId): List<SlotIndex> = homes.getOrPut(workspace) {
        rendezvousRank(workspace.text, slots) { it.number.toString() }.take(plan.homesPerWorkspace.coerceAtLeast(1))
    }

    /** Returns the undivided rate and burst of [bucket], or null if the workspace is not granted the profile. */
    fun fullLimit(bucket: BucketId): BucketLimit? {
        val workspace = configuration.workspaces[bucket.workspace]?.value ?: return null
        if (bucket.profile !in workspace.profiles) return null
        val profile = configuration.profiles[bucket.profile]?.value ?: return null
        return BucketLimit(
            unitsPerNanosecond(profile.tokensPerSecond, settings.clockDriftPerMille),
            unitsOf(profile.burstTokens.coerceAtLeast(0)),
        )
    }

    /** Returns the share of every part of the home slots, in the order of the slots; the shares add up to [fullLimit]. */
    fun shares(bucket: BucketId): Map<SlotPart, BucketLimit> = shares.getOrPut(bucket) { computeShares(bucket) }

    private fun computeShares(bucket: BucketId): Map<SlotPart, BucketLimit> {
        val fullLimit = fullLimit(bucket) ?: return emptyMap()
        val homeSlots = homesOf(bucket.workspace)
        val totalEighths = homeSlots.size * EIGHTHS_PER_SLOT
        val shares = LinkedHashMap<SlotPart, BucketLimit>()
        for ((position, index) in homeSlots.withIndex()) {
            val bulkStart = position * EIGHTHS_PER_SLOT
            val reserveStart = bulkStart + EIGHTHS_PER_SLOT - settings.reserveEighths
            shares[SlotPart.of(index, LeaseKind.BULK)] = fullLimit.portion(bulkStart, reserveStart, totalEighths)
            shares[SlotPart.of(index, LeaseKind.RESERVE)] = fullLimit.portion(reserveStart, bulkStart + EIGHTHS_PER_SLOT, totalEighths)
        }
        return shares
    }

    private fun BucketLimit.portion(from: Int, to: Int, total: Int) =
        BucketLimit(shareOf(unitsPerNanosecond, from, to, total), shareOf(capacityUnits, from, to, total))

    private companion object {
        const val EIGHTHS_PER_SLOT = 8
    }
}
