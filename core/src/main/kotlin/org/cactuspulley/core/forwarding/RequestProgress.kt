package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.queueing.DueTimes
import org.cactuspulley.core.requests.RetryBudget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a send attempt ended without a complete response that can be passed on to the caller. */
public enum class SendFailure {
    /** No connection could be established, so nothing was sent. */
    UNREACHABLE,

    /** The target stopped accepting requests while the connection was established, so nothing was sent. */
    NOT_SENT,

    /** The rate limit of the target left no room when the connection was established, so nothing was sent. */
    RATE_LIMITED,

    /** The target is full and guarantees that the request did not run. */
    NOT_RUN_FULL,

    /** Another target responded, or the target has other weights; the request did not run. */
    NOT_RUN_OTHER_TARGET,

    /** The connection broke or the response could not be read; the request may have run. */
    BROKEN,

    /** No response arrived in time; the request may be running. */
    SILENT,

    /** The target failed; the request ran. */
    FAILED,

    /** The request was withdrawn, because it still waited at the target when its weights became too old; it may have run. */
    WITHDRAWN,
}

/** What to do with a request after a send attempt failed. */
public sealed interface NextStep {
    /** Another target may be tried. */
    public data object Retry : NextStep

    /**
     * The request ends without a response of a target.
     *
     * @property refusal the reason that the caller is given.
     * @property retryAfter the time after which the caller may retry; null if the request may have run.
     */
    public data class GiveUp(val refusal: ForwardingRefusal, val retryAfter: Duration?) : NextStep
}

/**
 * Tracks the send attempts of one request of a caller and decides about retries.
 *
 * A request that runs at most once is sent again only while it can't have run in any attempt. Other requests are
 * sent again while the route's limit of attempts, the retry budget and their deadline allow it. The first attempt and
 * later ones follow the same rules.
 */
public class RequestProgress(
    private val grant: ForwardingGrant,
    callerDeadline: MonotonicTime?,
    private val arrivedAt: MonotonicTime,
    private val retryBudget: RetryBudget,
    private val serviceTimes: ServiceTimes,
) {
    private val tried = LinkedHashSet<TargetId>()
    private var sentAttemptCount = 0
    private var possibleRuns = 0
    private var hasReservedRetry = false

    /** The time by which the request must have ended. */
    public val deadline: MonotonicTime = (arrivedAt + grant.route.timeout).let {
        if (callerDeadline ==
            null
        ) {
            it
        } else {
            minOf(it, callerDeadline)
        }
    }

    /** Whether the caller has received a part of a stream, so that less work is left than a whole request takes. */
    public var hasBegun: Boolean = false
        private set

    /** Records that the caller receives the beginning of a stream. */
    public fun recordBeginning() {
        hasBegun = true
    }

    /**
     * Returns the latest time at which the request should be sent: half of the recent requests of its route would then be complete
     * by the deadline. Until then it may wait for a target that can accept it.
     */
    public fun latestStart(now: MonotonicTime): MonotonicTime = if (hasBegun) deadline else deadline - serviceTimes.medianTotal(now)

    /** Returns the times by which the request is ranked among those that wait. */
    public fun dueTimes(now: MonotonicTime): DueTimes {
        val usualTime = serviceTimes.medianTotal(now)
        val timeToObjective = if (grant.route.isStream) serviceTimes.medianStart(now) else usualTime
        val objectiveAt = arrivedAt + grant.route.latencyObjective
        return DueTimes(grant.priority, objectiveAt - timeToObjective, objectiveAt, latestStart(now), usualTime, hasBegun)
    }

    /** Returns whether a target may complete the request if it is sent at [now]: a recent one of its route took no longer. */
    public fun canComplete(now: MonotonicTime): Boolean =
        now < deadline && (hasBegun || now + serviceTimes.shortestTotal(now) <= deadline)

    /** The targets that failed the request. */
    public val excluded: Set<TargetId> get() = tried

    /** Whether the request may have run in any attempt. */
    public val mayHaveRun: Boolean get() = possibleRuns > 0

    /** The number of attempts so far in which the request was sent; those without a connection do not count. */
    public val sentAttempts: Int get() = sentAttemptCount

    /** Whether the request may run again after an attempt whose outcome is unknown. */
    private val isRepeatable: Boolean get() = grant.route.repeatability != Repeatability.AT_MOST_ONCE

    /** Returns how long an attempt may receive nothing before it is unusually slow. */
    public fun silenceLimit(now: MonotonicTime): Duration = serviceTimes.startLimit(now)

    /** Returns how long a stream that has begun may pause before it is unusually slow. */
    public fun pauseLimit(now: MonotonicTime): Duration = serviceTimes.pauseLimit(now)

    /**
     * Returns whether the request may be sent again at [now] if the outstanding attempt is given up as silent: the limits on repeats
     * allow it, and it can be completed in the time that is left.
     */
    public fun mayRepeatAfterSilence(now: MonotonicTime): Boolean = isRepeatable &&
        possibleRuns + 1 < grant.route.maximumAttempts &&
        sentAttemptCount < MAX_SENT_ATTEMPTS &&
        tried.size + 1 < MAX_TARGETS &&
        retryBudget.hasRetry &&
        now <= latestStart(now)

    /** Records that an attempt has a connection and sends the request. */
    public fun recordSent() {
        if (sentAttemptCount == 0) retryBudget.credit()
        if (hasReservedRetry) retryBudget.useReserved()
        hasReservedRetry = false
        sentAttemptCount++
    }

    /** Records that the attempt at [target] ended with [failure] and decides what to do next. */
    public fun recordFailure(target: TargetId, failure: SendFailure, now: MonotonicTime): NextStep {
        // A full or limited target may have room again while the request still has time.
        if (failure != SendFailure.NOT_RUN_FULL && failure != SendFailure.RATE_LIMITED) tried += target
        when (failure) {
            SendFailure.UNREACHABLE, SendFailure.NOT_SENT, SendFailure.RATE_LIMITED, SendFailure.NOT_RUN_FULL,
            SendFailure.NOT_RUN_OTHER_TARGET,
            -> Unit

            SendFailure.BROKEN, SendFailure.SILENT, SendFailure.FAILED, SendFailure.WITHDRAWN -> possibleRuns++
        }
        return when {
            now >= deadline -> giveUp(ForwardingRefusal.DEADLINE_PASSED, ForwardingRefusal.NO_ANSWER)

            mayHaveRun && !isRepeatable -> NextStep.GiveUp(ForwardingRefusal.TARGET_FAILED, null)

            mayHaveRun && possibleRuns >= grant.route.maximumAttempts -> NextStep.GiveUp(ForwardingRefusal.TARGET_FAILED, null)

            sentAttemptCount >= MAX_SENT_ATTEMPTS || tried.size >= MAX_TARGETS -> giveUp(
                ForwardingRefusal.NO_TARGET,
                ForwardingRefusal.TARGET_FAILED,
            )

            sentAttemptCount > 0 && !reserveRetry() -> giveUp(ForwardingRefusal.REPEATS_EXHAUSTED, ForwardingRefusal.TARGET_FAILED)

            else -> NextStep.Retry
        }
    }

    private fun reserveRetry(): Boolean {
        if (!hasReservedRetry) hasReservedRetry = retryBudget.tryReserve()
        return hasReservedRetry
    }

    /** Records that the request is not sent any more; other requests may have the retry that it did not use. */
    public fun recordEnd() {
        if (hasReservedRetry) retryBudget.returnReserved()
        hasReservedRetry = false
    }

    /**
     * Ends the request because no target can accept it in time; [arePaused] is whether the targets have asked this instance to send
     * nothing. Another instance may then serve the caller immediately. [returnDelay] is the time after which the caller can be served
     * within the rate limits of the targets; null if they do not bind.
     */
    public fun noTarget(arePaused: Boolean = false, returnDelay: Duration? = null): NextStep.GiveUp {
        val step = giveUp(ForwardingRefusal.NO_TARGET, ForwardingRefusal.TARGET_FAILED)
        if (step.retryAfter == null) return step
        return step.copy(retryAfter = returnDelay ?: if (arePaused) RETRY_AFTER_ELSEWHERE else step.retryAfter)
    }

    /** Ends the request because it can't be completed by its deadline. */
    public fun cannotComplete(): NextStep.GiveUp = giveUp(ForwardingRefusal.DEADLINE_PASSED, ForwardingRefusal.NO_ANSWER)

    /**
     * Ends the request because its deadline has passed; [isSentAttemptOutstanding] is whether the request was sent in
     * an attempt that has not ended.
     */
    public fun timedOut(isSentAttemptOutstanding: Boolean): NextStep.GiveUp =
        if (isSentAttemptOutstanding) {
            NextStep.GiveUp(
                ForwardingRefusal.NO_ANSWER,
                null,
            )
        } else {
            giveUp(ForwardingRefusal.DEADLINE_PASSED, ForwardingRefusal.NO_ANSWER)
        }

    private fun giveUp(refusalIfNotRun: ForwardingRefusal, refusalIfRun: ForwardingRefusal): NextStep.GiveUp =
        if (mayHaveRun) NextStep.GiveUp(refusalIfRun, null) else NextStep.GiveUp(refusalIfNotRun, RETRY_AFTER)

    private companion object {
        /**
         * The largest number of attempts in which a request is sent, rejected ones included; it bounds what one
         * request takes from the retry budget.
         */
        const val MAX_SENT_ATTEMPTS = 4

        /** The largest number of targets that are tried for a request, including those without a connection. */
        const val MAX_TARGETS = 8

        /** The time in which a full or restarting target can accept requests again. */
        val RETRY_AFTER = 250.milliseconds

        /** The time for a new connection to another instance. */
        val RETRY_AFTER_ELSEWHERE = 50.milliseconds
    }
}
