package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What a target said about its rate limit in one response.
 *
 * @property startedAtMillis the start of the target, in Unix milliseconds; a later start under the same id has no limit until it names one.
 * @property requestsPerSecond the requests per second that the target takes from all instances together; null if it named no limit.
 * @property at when the target said so, by which reports are ordered: the arrival of a response that names a limit, or the sending of
 *    the request whose response names none. So a response to a request from before the limit was named does not lift it.
 */
public data class RateLimitReport(val startedAtMillis: Long, val requestsPerSecond: Double?, val at: MonotonicTime)

/**
 * This instance's part of a target's rate limit.
 *
 * @property owners the number of instances that share the limit.
 * @property requestsPerSecond the requests per second that this instance may send; 0 if it is not among them.
 */
public data class RateLimitShare(val owners: Int, val requestsPerSecond: Double)

/** Whether a request may be sent to a target according to the target's rate limit. */
public sealed interface RateLimitAdmission {
    /** The target has no limit. */
    public data object Unlimited : RateLimitAdmission

    /** This instance may not send a request now. */
    public data object Denied : RateLimitAdmission

    /** A token was taken at [takenAt]. */
    public class Granted internal constructor(internal val bucket: RateLimitBucket, internal val takenAt: MonotonicTime) :
        RateLimitAdmission
}

/** A token bucket with [rate] tokens per second that holds at most [depth] tokens; it is empty at first. */
internal class RateLimitBucket(private var rate: Double, private var depth: Double, private var filledAt: MonotonicTime) {
    private var tokens = 0.0

    /** The number of requests that wait for a token. */
    var reserved = 0

    val requestsPerSecond: Double get() = rate

    fun resize(newRate: Double, newDepth: Double, now: MonotonicTime) {
        fill(now)
        rate = newRate
        depth = newDepth
        tokens = minOf(tokens, depth)
    }

    /** Returns when a token is available that no waiting request will take. */
    fun availableFrom(now: MonotonicTime): MonotonicTime {
        fill(now)
        val missing = 1 + reserved - tokens
        return if (missing <= ROUNDING) now else now + (missing / rate).coerceAtMost(MAX_WAIT.inWholeSeconds.toDouble()).seconds
    }

    fun take(now: MonotonicTime): RateLimitAdmission {
        if (availableFrom(now) > now) return RateLimitAdmission.Denied
        tokens--
        return RateLimitAdmission.Granted(this, now)
    }

    fun giveBack() {
        tokens = minOf(depth, tokens + 1)
    }

    private fun fill(now: MonotonicTime) {
        if (now <= filledAt) return
        tokens = minOf(depth, tokens + rate * ((now - filledAt) / 1.seconds))
        filledAt = now
    }

    private companion object {
        /** Smaller than any share of a token that matters. */
        const val ROUNDING = 1e-9
        val MAX_WAIT = 1.hours
    }
}

/**
 * The rate limits that targets name, and this instance's part of them.
 *
 * Each limit is divided equally among its owners, the first instances in a rendezvous order of the [fleet], without any coordination;
 * the other instances send nothing. With limit N there are at most N + 2 owners, whose buckets hold N + 2 tokens together and fill at
 * N per second. In any time T the target gets at most N T + N + 2 requests, and a few more while instances disagree about which of
 * them are live.
 */
public class TargetRateLimits(private val fleet: FleetView) {
    private class Entry(var report: RateLimitReport) {
        /** The tokens of this instance; null unless it is an owner. */
        var bucket: RateLimitBucket? = null
        var owners = 0
        var ownershipValidUntil: MonotonicTime? = null
    }

    private val entries = HashMap<TargetId, Entry>()

    /** Returns whether the target with [id] has ever named a limit. */
    public fun isKnown(id: TargetId): Boolean = id in entries

    /** Returns the newest report of the target with [id]; null if it has never named a limit. */
    public fun newest(id: TargetId): RateLimitReport? = entries[id]?.report

    /** Records a [report] of the target with [id]; returns whether the target's limit changed by it. */
    public fun record(id: TargetId, report: RateLimitReport, now: MonotonicTime): Boolean {
        val entry = entries[id]
        if (entry == null) {
            val limit = report.requestsPerSecond ?: return false
            entries[id] = Entry(report).also { updateOwnership(id, it, limit, now) }
            return true
        }
        val known = entry.report
        if (isOutdated(report, known)) return false
        entry.report = report
        val old = known.requestsPerSecond.takeIf { known.startedAtMillis == report.startedAtMillis }
        val new = report.requestsPerSecond
        if (old == new) return false
        // Tokens from before the limit fell or was lifted must not add to those of the new limit.
        val isRise = old != null && new != null && new > old
        if (!isRise) entry.bucket = null
        entry.ownershipValidUntil = null
        if (new != null) updateOwnership(id, entry, new, now)
        return true
    }

    private fun isOutdated(report: RateLimitReport, known: RateLimitReport): Boolean = when {
        report.startedAtMillis != known.startedAtMillis -> report.startedAtMillis < known.startedAtMillis
        report.requestsPerSecond == null -> report.at <= known.at
        else -> report.at < known.at
    }

    /** Returns the limit of [target] in requests per second; null if it has none. */
    public fun limit(target: Target): Double? {
        if (entries.isEmpty()) return null
        return entries[target.id]?.report?.takeIf { it.startedAtMillis == target.entry.startedAtMillis }?.requestsPerSecond
    }

    /** Returns this instance's part of the limit of [target]; null if it has none. */
    public fun share(target: Target, now: MonotonicTime): RateLimitShare? {
        val limit = limit(target) ?: return null
        val entry = entries[target.id] ?: return null
        updateOwnership(target.id, entry, limit, now)
        return RateLimitShare(entry.owners, entry.bucket?.requestsPerSecond ?: 0.0)
    }

    /** Returns whether a request may be sent to [target] at [now]. */
    public fun admits(target: Target, now: MonotonicTime): Boolean = availableFrom(target, now) == now

    /**
     * Returns when one more request may be sent to [target], after those that wait for it; null if only other instances may send
     * requests to it.
     */
    public fun availableFrom(target: Target, now: MonotonicTime): MonotonicTime? {
        if (limit(target) == null) return now
        return bucket(target, now)?.availableFrom(now)
    }

    /** Takes a token for a request to [target], if it needs one. */
    public fun admit(target: Target, now: MonotonicTime): RateLimitAdmission {
        if (limit(target) == null) return RateLimitAdmission.Unlimited
        return bucket(target, now)?.take(now) ?: RateLimitAdmission.Denied
    }

    /**
     * Returns whether a request with [admission] may still be sent to [target] at [now], when its connection is established: with a
     * new token if its own is too old, because requests whose connections are established together would otherwise exceed the limit.
     */
    public fun renew(target: Target, admission: RateLimitAdmission, now: MonotonicTime): RateLimitAdmission {
        val isValid = admission is RateLimitAdmission.Granted && limit(target) != null &&
            admission.bucket === bucket(target, now) && now - admission.takenAt <= TOKEN_LIFETIME
        return if (isValid) admission else admit(target, now)
    }

    /** Gives back the token of a request that was not sent. */
    public fun giveBack(admission: RateLimitAdmission) {
        if (admission is RateLimitAdmission.Granted) admission.bucket.giveBack()
    }

    /** Records that a request waits for a token of the target with [id]. */
    public fun reserve(id: TargetId) {
        entries[id]?.bucket?.let { it.reserved++ }
    }

    /** Forgets the waiting requests, which are about to look for a target again. */
    public fun clearReservations(): Unit = entries.values.forEach { it.bucket?.reserved = 0 }

    /** Returns whether the newest report of the limit of [target] is so old that the target may have lifted it. */
    public fun isUnconfirmed(target: Target, now: MonotonicTime): Boolean =
        limit(target) != null && entries[target.id]?.report?.let { now - it.at > CONFIRMATION_PERIOD } ?: false

    /** Returns the mean time between two requests of one instance if all instances together send [requestsPerSecond]. */
    public fun interval(requestsPerSecond: Double, now: MonotonicTime): Duration {
        val instances = (fleet.live(now).size + 1).toDouble()
        return (instances / maxOf(requestsPerSecond, MIN_RATE)).seconds
    }

    private fun bucket(target: Target, now: MonotonicTime): RateLimitBucket? {
        val entry = entries[target.id] ?: return null
        val limit = entry.report.requestsPerSecond ?: return null
        updateOwnership(target.id, entry, limit, now)
        return entry.bucket
    }

    private fun updateOwnership(id: TargetId, entry: Entry, limit: Double, now: MonotonicTime) {
        if (entry.ownershipValidUntil?.let { now < it } ?: false) return
        entry.ownershipValidUntil = now + OWNERSHIP_PERIOD
        val rate = maxOf(limit, MIN_RATE)
        val position = fleet.servingPosition(id.text, now)
        entry.owners = minOf(position?.size ?: 1, floor(rate).coerceAtMost(MAX_OWNERS).toInt() + EXTRA_OWNERS)
        if (position == null || position.rank >= entry.owners) {
            entry.bucket = null
            return
        }
        val share = rate / entry.owners
        val depth = (rate + EXTRA_OWNERS) / entry.owners
        val bucket = entry.bucket
        if (bucket == null) entry.bucket = RateLimitBucket(share, depth, now) else bucket.resize(share, depth, now)
    }

    private companion object {
        /** The requests per second that targets with smaller limits get, so that one that is lifted is noticed. */
        const val MIN_RATE = 0.25

        /** The owners beyond the limit's whole requests per second. Each has room for at least one token. */
        const val EXTRA_OWNERS = 2
        const val MAX_OWNERS = 1e6

        /** How often an instance checks whether it is an owner; a fraction of the time after which a silent instance counts as lost. */
        val OWNERSHIP_PERIOD = 200.milliseconds

        /** The time in which a connection is usually established. */
        val TOKEN_LIFETIME: Duration = 500.milliseconds

        /** The age of the newest report after which an owner asks the target again. */
        val CONFIRMATION_PERIOD: Duration = 2.seconds
    }
}
