package org.cactuspulley.standins.checker

import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.standins.load.ObservedRequest
import org.cactuspulley.standins.load.RequestOutcome

private const val NANOSECONDS_PER_SECOND = 1e9

/**
 * Checks that no workspace uses more tokens than its rate and burst allow.
 *
 * The time of a request's admission can't be observed from outside, but it lies between the sending of the request and
 * its arrival at a target. The requests that were both sent and received within one window must therefore not have used
 * more tokens than the burst plus the rate over that window. Only completed requests count.
 */
internal object RateLimitCheck : PromiseCheck {
    private class Admission(val sentNanoseconds: Long, val arrivalNanoseconds: Long, val tokens: Long)

    override fun violations(run: RunRecord): List<Violation> {
        val arrivals = run.calls.groupBy({ it.contentDigest }, { it.startNanoseconds })
        return run.requests.filter { it.outcome == RequestOutcome.COMPLETED }
            .groupBy { it.workspace to it.profile }
            .mapNotNull { (bucket, requests) ->
                val profile = run.plan.profiles.first { it.name == bucket.second }
                firstExcess(requests.mapNotNull { admission(it, arrivals) }, LimitHistory(profile, run))
                    ?.let { Violation(Promise.WITHIN_RATE, "workspace ${bucket.first} under profile ${bucket.second}: $it") }
            }
    }

    private fun admission(request: ObservedRequest, arrivals: Map<String, List<Long>>): Admission? {
        val send = request.sends.last()
        val arrivalsDuringSend = arrivals[request.contentDigest].orEmpty().filter { it in send.startNanoseconds..send.endNanoseconds }
        return arrivalsDuringSend.minOrNull()?.let { Admission(send.startNanoseconds, it, request.usedTokens) }
    }

    /** Describes the first window in which [admissions] used more than [limit] grants; null if there is none. */
    private fun firstExcess(admissions: List<Admission>, limit: LimitHistory): String? {
        val byArrival = admissions.sortedBy { it.arrivalNanoseconds }
        for (start in admissions.map { it.sentNanoseconds }.sorted()) {
            var usedTokens = 0L
            for (admission in byArrival) {
                if (admission.sentNanoseconds < start) continue
                usedTokens += admission.tokens
                val grantedTokens = limit.grantedBetween(start, admission.arrivalNanoseconds)
                if (usedTokens > grantedTokens) return "$usedTokens tokens where $grantedTokens were granted"
            }
        }
        return null
    }
}

/** The rate and burst of one profile over a run, including the changes that operators made. */
internal class LimitHistory(profile: Profile, run: RunRecord) {
    private class LimitStep(val fromNanoseconds: Long, val tokensPerSecond: Long, val burstTokens: Long)

    private val steps = listOf(LimitStep(Long.MIN_VALUE, profile.tokensPerSecond, profile.burstTokens)) +
        run.changes.filterIsInstance<AcceptedChange.LimitChange>()
            .filter { it.profile == profile.name }
            .map { LimitStep(it.atNanoseconds - READ_BACK_DELAY_NANOSECONDS, it.tokensPerSecond, it.burstTokens) }

    /**
     * Returns the largest number of tokens that may be used between [start] and [end]: the highest burst that applied
     * up to [end], plus the rate over the time.
     */
    fun grantedBetween(start: Long, end: Long): Long {
        val rateTokens = steps.withIndex().sumOf { (index, step) ->
            val from = maxOf(start, step.fromNanoseconds)
            val until = minOf(end, steps.getOrNull(index + 1)?.fromNanoseconds ?: Long.MAX_VALUE)
            maxOf(0L, until - from) / NANOSECONDS_PER_SECOND * step.tokensPerSecond
        }
        return steps.filter { it.fromNanoseconds <= end }.maxOf { it.burstTokens } + rateTokens.toLong()
    }

    /** Returns the rate at [time], in tokens per second. */
    fun rateAt(time: Long): Long = steps.last { it.fromNanoseconds <= time }.tokensPerSecond

    /** Returns the burst at [time], in tokens. */
    fun burstAt(time: Long): Long = steps.last { it.fromNanoseconds <= time }.burstTokens

    private companion object {
        /** Instances may apply a change up to 2 s before its operator has read it back from the log. */
        const val READ_BACK_DELAY_NANOSECONDS = 2_000_000_000L
    }
}
