package org.cactuspulley.core.limits

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.earliest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request that waits for tokens. */
internal class WaitingRequest(val id: RequestId, val tokens: Long, val deadline: MonotonicTime) {
    val units = unitsOf(tokens)
}

/** What is asked of a lender. */
internal class PendingBorrow(val number: Long, val lender: InstanceId, val timeoutAt: MonotonicTime)

/**
 * The requests that wait for tokens of one bucket, and the round of lenders that are asked for them,
 * one after another, so that no more is borrowed than is missing.
 */
internal class AdmissionQueue(val bucket: BucketId) {
    val waiting = ArrayDeque<WaitingRequest>()
    private val remainingLenders = ArrayDeque<InstanceId>()
    private val backoffUntil = HashMap<InstanceId, MonotonicTime>()
    private var lastGranter: InstanceId? = null
    private var backloggedLenders = 0
    private var respondedLenders = 0
    private var windowStart = MonotonicTime.ZERO
    private var windowUnits = 0L
    private var previousWindowUnits = 0L

    var pendingBorrow: PendingBorrow? = null

    /** When the level may have risen enough for the first waiting request. */
    var recheckAt: MonotonicTime? = null
    var nextRoundAt: MonotonicTime = MonotonicTime(Long.MIN_VALUE)
        private set

    /** When the next unasked-for move of units from another holder may be asked for. */
    var nextRebalanceAt = MonotonicTime(Long.MIN_VALUE)
    private var rebalanceCount = 0

    /** Whom to ask for the next such move. */
    fun nextRebalanceLender(lenders: List<InstanceId>): InstanceId? =
        if (lenders.isEmpty()) null else lenders[rebalanceCount++ % lenders.size]

    val waitingUnits: Long get() = waiting.fold(0L) { sum, request -> saturatedSum(sum, request.units) }

    /** Whether the last round is so fresh that another one would bring nothing. */
    fun isCoolingDown(now: MonotonicTime): Boolean = now < nextRoundAt

    /** Whether all lenders of the last round had requests of their own waiting. */
    val allBacklogged: Boolean get() = respondedLenders > 0 && backloggedLenders == respondedLenders

    val nextDeadline: MonotonicTime?
        get() = waiting.firstOrNull()?.let { earliest(it.deadline, pendingBorrow?.timeoutAt ?: nextRoundAt) }

    /** The next lender to ask at [now]; begins a round if none is on and it is time for one. */
    fun nextLender(lenders: List<InstanceId>, now: MonotonicTime): InstanceId? {
        if (pendingBorrow != null) return null
        if (remainingLenders.isEmpty()) {
            if (isCoolingDown(now)) return null
            remainingLenders += lenders.filter { backoffUntil[it].let { until -> until == null || until <= now } }
                .sortedBy { if (it == lastGranter) 0 else 1 }
            backloggedLenders = 0
            respondedLenders = 0
            if (remainingLenders.isEmpty()) endRound(now)
        }
        return remainingLenders.removeFirstOrNull()
    }

    /** The lender that was asked answered or was [timedOut] too long. */
    fun recordResponse(lender: InstanceId, grantedUnits: Long, backlogged: Boolean, timedOut: Boolean, now: MonotonicTime) {
        pendingBorrow = null
        respondedLenders++
        if (backlogged || timedOut) backloggedLenders++
        if (timedOut) backoffUntil[lender] = now + UNRESPONSIVE_BACKOFF else backoffUntil.remove(lender)
        if (grantedUnits > 0) lastGranter = lender
        if (remainingLenders.isEmpty()) endRound(now)
    }

    /** Nothing is missing any more. */
    fun cancelRound() {
        remainingLenders.clear()
    }

    private fun endRound(now: MonotonicTime) {
        nextRoundAt = now + ROUND_INTERVAL
    }

    /** Takes note that borrowed units were spent, which tells how much to borrow ahead. */
    fun recordBorrowedSpend(units: Long, window: Duration, now: MonotonicTime) {
        rotateWindow(window, now)
        windowUnits += units
    }

    /** What will probably be borrowed in the next half [window]. */
    fun prefetchUnits(window: Duration, now: MonotonicTime): Long {
        rotateWindow(window, now)
        return maxOf(previousWindowUnits, windowUnits) / 2
    }

    private fun rotateWindow(window: Duration, now: MonotonicTime) {
        val age = now - windowStart
        if (age < window) return
        previousWindowUnits = if (age < window * 2) windowUnits else 0
        windowUnits = 0
        windowStart = now
    }

    private companion object {
        val ROUND_INTERVAL = 100.milliseconds
        val UNRESPONSIVE_BACKOFF = 1.seconds
    }
}
