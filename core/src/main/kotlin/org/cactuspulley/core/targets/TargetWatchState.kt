package org.cactuspulley.core.targets

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.platform.CacheEventPage
import org.cactuspulley.core.platform.TargetStatus

/** The number of consecutive unanswered status reads after which a target is unhealthy. */
private const val UNHEALTHY_THRESHOLD = 2

/** The state of one watched target. Other parts see only [known]. */
internal class TargetWatchState(var known: KnownTarget, var nextStatusAt: MonotonicTime) {
    var isWatched = false
    var failures = 0
    var status: TargetStatus? = null
    val events = EventCursor()
    private var crashedAt: MonotonicTime? = null

    /** Returns whether a status that was requested at [askedAt] is newer than what is known. */
    fun isNewer(askedAt: MonotonicTime): Boolean {
        val loadAt = known.loadAt
        val crash = crashedAt
        return (loadAt == null || askedAt >= loadAt) && (crash == null || askedAt >= crash)
    }

    fun recordStatus(status: TargetStatus, askedAt: MonotonicTime) {
        failures = 0
        crashedAt = null
        this.status = status
        known = known.copy(
            health = TargetHealth.HEALTHY,
            incarnation = TargetIncarnation(status.incarnation),
            state = status.state,
            models = status.models,
            role = status.role,
            load = status.load,
            loadAt = askedAt,
        )
    }

    fun recordStatusFailure(count: Int = failures + 1) {
        failures = count
        status = null
        val health = if (count >= UNHEALTHY_THRESHOLD) TargetHealth.UNHEALTHY else TargetHealth.SUSPECTED
        known = known.copy(health = health)
    }

    /** Clears the incarnation, so that nothing relies on what the target had cached before the crash. */
    fun recordCrash(now: MonotonicTime) {
        crashedAt = now
        status = null
        known = known.copy(health = TargetHealth.SUSPECTED, incarnation = null)
    }

    fun loadAgeMillis(now: MonotonicTime): Long = known.loadAt?.let { (now - it).inWholeMilliseconds } ?: 0
}

/** The position in an engine's stream of cache events. */
internal class EventCursor {
    var next = 0L
        private set
    var readInFlight = false
    private var incarnation: Long? = null

    /** Starts reading from the beginning; earlier positions and the incarnation are discarded. */
    fun restart() {
        next = 0
        readInFlight = false
        incarnation = null
    }

    /** Returns whether [page] comes from another incarnation than the last page; the stream is then read from the start again. */
    fun detectRestart(page: CacheEventPage): Boolean {
        readInFlight = false
        val restarted = incarnation != null && incarnation != page.incarnation && next > 0
        incarnation = page.incarnation
        if (restarted) next = 0
        return restarted
    }

    /** Moves the position past [page] and returns whether no event was lost. */
    fun advance(page: CacheEventPage): Boolean {
        next = page.next
        return page.missing == 0L
    }
}
