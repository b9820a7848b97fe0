package org.cactuspulley.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of target selection.
 *
 * @property indexEntries the greatest number of (piece, target) pairs in the prefix index.
 * @property defaultDecodeSlots the number of concurrent requests of a target that does not report its own; 0 stands for
 *   no limit.
 * @property interactiveSlotShare the ratio of requests to slots of a target up to which it gets interactive requests.
 * @property mayWaitSlotShare the ratio of requests to slots of a target up to which it gets requests that may wait.
 * @property mayWaitPrefillLimit the longest time of queued prefill work at a target that gets requests that may wait.
 * @property busyRetryDelay the time after which a request is retried that found all targets busy.
 * @property loadLag the age of a target's load report when its status is read.
 * @property defaultPrefillTokensPerSecond the prefill rate of a target that does not report its own, in tokens per second.
 * @property transferTokensPerSecond the rate at which cached pieces are transferred, in tokens per second.
 * @property transferLatency the time that a transfer takes regardless of its size.
 * @property sendPlacementNotices whether other instances are notified of requests that make a target compute full pieces.
 * @property transferCache whether cached pieces are transferred between targets.
 * @property maxTransferTimeRatio the greatest ratio of the time of a transfer to the time to compute the same tokens.
 * @property maxEventLag the greatest expected age of a cache event. An eviction does not remove an entry that is not older.
 * @property initialRetention the time for which a target is expected to keep a piece before any observation.
 * @property prefillCostFactor the cost of a second of prefill or transfer, relative to a second of waiting.
 * @property slotOccupancyCost the cost in seconds of a target whose slots are all in use; it is proportional to their use.
 * @property runningRequestCost the cost in seconds of each request of a target whose number of slots is unknown.
 * @property nonPreferredCostFactor the additional cost of a second of prefill of uncached pieces at a target that is not
 *   preferred for the prompt.
 * @property placementHeadroom the ratio of a prefix's share of the targets to its share of the demand.
 * @property demandEntries the greatest number of prompt pieces whose demand is measured.
 * @property demandTimeConstant the time after which measured demand has decayed to 1/e.
 * @property costJitter the upper bound in seconds of the random cost that is added to each candidate.
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
