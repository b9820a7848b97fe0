package org.cactuspulley.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of target selection.
 *
 * @property indexEntries the most (piece, target) pairs that are remembered.
 * @property defaultDecodeSlots concurrent requests of a target that does not tell its own number; 0 stands for no bound.
 * @property interactiveSlotShare the load, as a part of a target's slots, up to which interactive requests are sent to it.
 * @property mayWaitSlotShare the load, as a part of a target's slots, up to which requests that may wait are sent to it.
 * @property mayWaitPrefillLimit the longest queue of prompt work at a target that gets requests that may wait.
 * @property busyRetryDelay the time after which a request that found every target busy tries again.
 * @property loadLag the age that a target's load has when its status is read.
 * @property defaultPrefillTokensPerSecond the rate of targets that do not tell their own.
 * @property transferTokensPerSecond the rate at which cached blocks are handed over.
 * @property transferLatency the fixed time of a hand-over.
 * @property transferCache whether cached blocks are handed over between targets.
 * @property maxTransferTimeRatio the greatest time of a hand-over, relative to computing the same tokens.
 * @property sendPlacementNotices whether other instances are told of requests that make a target compute whole pieces.
 * @property maxEventLag the greatest expected age of a cache event; an eviction does not undo what was learned since.
 * @property initialRetention how long a target is expected to keep a piece before anything is known of it.
 * @property prefillCostFactor how much a second of prompt work counts, relative to a second of waiting.
 * @property slotOccupancyCost the cost in seconds of the last free slot of a target.
 * @property runningRequestCost the cost in seconds of each running request of a target without a known number of slots.
 * @property nonPreferredCostFactor how much a second's prompt work of new pieces counts besides, at a target that is no planned holder of them.
 * @property placementHeadroom the number of holders of a prefix, relative to its part of the fleet's work.
 * @property demandEntries the most prompt pieces whose demand is measured.
 * @property demandTimeConstant the time over which demand is measured.
 * @property costJitter the greatest difference in seconds that chance makes.
 */
public data class SelectionSettings(
    val indexEntries: Int = 76_000,
    val defaultDecodeSlots: Int = 0,
    val interactiveSlotShare: Double = 1.25,
    val mayWaitSlotShare: Double = 0.7,
    val mayWaitPrefillLimit: Duration = 500.milliseconds,
    val busyRetryDelay: Duration = 20.milliseconds,
    val loadLag: Duration = 250.milliseconds,
    val defaultPrefillTokensPerSecond: Long = 8_000,
    val transferTokensPerSecond: Long = 100_000,
    val transferLatency: Duration = 20.milliseconds,
    val sendPlacementNotices: Boolean = true,
    val transferCache: Boolean = true,
    val maxTransferTimeRatio: Double = 0.6,
    val maxEventLag: Duration = 2.seconds,
    val initialRetention: Duration = 60.seconds,
    val prefillCostFactor: Double = 2.5,
    val slotOccupancyCost: Double = 0.3,
    val runningRequestCost: Double = 0.01,
    val nonPreferredCostFactor: Double = 1.3,
    val placementHeadroom: Double = 1.6,
    val demandEntries: Int = 16_384,
    val demandTimeConstant: Duration = 30.seconds,
    val costJitter: Double = 0.002,
)
