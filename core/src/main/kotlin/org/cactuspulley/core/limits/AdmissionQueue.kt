package org.cactuspulley.core.limits

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.earliest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request that waits for tokens.
 *
 * @property tokens the estimated tokens of the request.
 * @property deadline when the request is refused if it was not admitted before.
 */
internal class WaitingRequest(val id: RequestId, val tokens: Long, val deadline: MonotonicTime) {
    val units = unitsOf(tokens)
}

/**
 * A loan request that a lender has not answered yet.
 *
 * @property number the number of the loan request.
 * @property timeoutAt when the lender counts as unresponsive.
 */
internal class PendingLoanRequest(val number: Long, val lender: InstanceId, val timeoutAt: MonotonicTime)

/**
 * The requests that wait for tokens of one bucket, and the current round of loan requests. A round asks the lenders
 * one after another, so that no more units are borrowed than are missing.
 */
internal class AdmissionQueue(val bucket: BucketId) {
    val waiting = ArrayDeque<WaitingRequest>()
    private val remainingLenders = ArrayDeque<InstanceId>()

    /** When an unresponsive lender may be asked again. */
    private val backoffUntil = HashMap<InstanceId, MonotonicTime>()

    /** The last lender that granted units, which the next round asks first. */
    private var lastGranter: InstanceId? = null
    private var backloggedLenders = 0
    private var respondedLenders = 0
    private var windowStart = MonotonicTime.ZERO

    /** The borrowed token units that were spent in the current window. */
    private var windowUnits = 0L
    private var previousWindowUnits = 0L

    /** The loan request whose answer this queue waits for, or null. */
    var pendingLoanRequest: PendingLoanRequest? = null

    /** When the first waiting request may have enough tokens; its admission is tried again then. */
    var recheckAt: MonotonicTime? = null

    /** The earliest time at which the next round may begin. */
    var nextRoundAt: MonotonicTime = MonotonicTime(Long.MIN_VALUE)
        private set

    /** The earliest time of the next rebalancing request, which moves units here although no request is short of them. */
    var nextRebalanceAt = MonotonicTime(Long.MIN_VALUE)
    private var rebalanceCount = 0

    /** Returns the lender of the next rebalancing request; the lenders take turns. */
    fun nextRebalanceLender(lenders: List<InstanceId>): InstanceId? =
        if (lenders.isEmpty()) null else lenders[rebalanceCount++ % lenders.size]

    /** The token units that all waiting requests need together. */
    val waitingUnits: Long get() = waiting.fold(0L) { sum, request -> saturatedSum(sum, request.units) }

    /** Returns whether the last round ended too recently for another one to bring units. */
    fun isCoolingDown(now: MonotonicTime): Boolean = now < nextRoundAt

    /** Whether every lender that was asked in the last round either has waiting requests of its own or timed out. */
    val allBacklogged: Boolean get() = respondedLenders > 0 && backloggedLenders == respondedLenders

    /** When the queue must be processed although no message arrives, or null if no request waits. */
    val nextDeadline: MonotonicTime?
        get() = waiting.firstOrNull()?.let { earliest(it.deadline, pendingLoanRequest?.timeoutAt ?: nextRoundAt) }

    /** Returns the next lender to ask, or null. Begins a round if none is in progress and the cooldown is over. */
    fun nextLender(lenders: List<InstanceId>, now: MonotonicTime): InstanceId? {
        if (pendingLoanRequest != null) return null
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

    /** Records that [lender] granted [grantedUnits], which may be 0, or that it [timedOut] without an answer. */
    fun recordResponse(lender: InstanceId, grantedUnits: Long, backlogged: Boolean, timedOut: Boolean, now: MonotonicTime) {
        pendingLoanRequest = null
        respondedLenders++
        if (backlogged || timedOut) backloggedLenders++
        if (timedOut) backoffUntil[lender] = now + UNRESPONSIVE_BACKOFF else backoffUntil.remove(lender)
        if (grantedUnits > 0) lastGranter = lender
        if (remainingLenders.isEmpty()) endRound(now)
    }

    /** Ends the round, as no units are missing any more. */
    fun cancelRound() {
        remainingLenders.clear()
    }

    private fun endRound(now: MonotonicTime) {
        nextRoundAt = now + ROUND_COOLDOWN
    }

    /** Records the spending of borrowed [units], from which [prefetchUnits] estimates how much to borrow ahead. */
    fun recordBorrowedSpend(units: Long, window: Duration, now: MonotonicTime) {
        rotateWindow(window, now)
        windowUnits += units
    }

    /**
     * Estimates how many units to borrow ahead: half of the borrowed units that were spent in the current or the previous
     * [window], whichever is more.
     */
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
        /** The minimum time between the end of a round and the start of the next one. */
        val ROUND_COOLDOWN = 100.milliseconds

        /** How long a lender is not asked after it timed out. */
        val UNRESPONSIVE_BACKOFF = 1.seconds
    }
}
