package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.SilenceAction
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.runtime.platform.HostAndPort
import java.util.concurrent.Future
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The send attempt that a [SilenceWatch] watches. */
internal interface WatchedAttempt {
    /** Whether a stream was requested. */
    val isStream: Boolean

    /** Whether the head of a response has arrived. */
    val isResponseBegun: Boolean

    /** Whether the head of a stream has arrived. */
    val isStreamBegun: Boolean

    /** Returns how long the attempt, or a pause of its stream, may be silent before that is unusually long. */
    fun silenceLimit(now: MonotonicTime): Duration

    /** Whether another target can take the request over. */
    fun canBeSentElsewhere(): Boolean

    /** Ends the attempt, because its target is silent. */
    fun failSilent(reason: String)
}

/** Watches [attempt] for silence of [target], and excludes a target that is unresponsive. Confined to the event loop. */
internal class SilenceWatch(
    private val context: ForwardingContext,
    private val target: Target,
    private val request: RequestId,
    private val attempt: WatchedAttempt,
) {
    private val createdAt = context.clock.now()
    private var timer: Future<*>? = null

    /** Whether the health of the target counts the attempt as silent. */
    private var isSilent = false

    /** Whether the silence of the target has made the attempt check whether the target is responsive. */
    private var hasChecked = false

    /** Whether reading is paused, because the caller reads slowly. */
    private var isReadingPaused = false
    private var isEnded = false

    /** When the target last sent data of the attempt; the time at which the request was sent before that. */
    var lastActivityAt = createdAt
        private set

    /** Whether the attempt has received nothing for unusually long. */
    val isUnusuallyLong: Boolean
        get() = context.clock.now().let { now -> now - lastActivityAt >= attempt.silenceLimit(now) }

    /** Begins to watch the attempt, whose request has just been sent to [address]. */
    fun start(address: HostAndPort) {
        lastActivityAt = context.clock.now()
        schedule(address, attempt.silenceLimit(lastActivityAt))
    }

    /** Records that data of the attempt has arrived. */
    fun recordActivity() {
        endSilence()
        lastActivityAt = context.clock.now()
        target.lastReceivedAt = lastActivityAt
    }

    /** Records that reading is paused or resumed; a pause of reading is no silence of the target. */
    fun pause(paused: Boolean) {
        if (isReadingPaused && !paused) lastActivityAt = context.clock.now()
        isReadingPaused = paused
    }

    /** Ends the watch with the attempt. */
    fun end() {
        isEnded = true
        endSilence()
        timer?.cancel(false)
    }

    private fun endSilence() {
        if (isSilent) target.health.silentAttemptEnded()
        isSilent = false
    }

    private fun schedule(address: HostAndPort, delay: Duration) {
        timer = context.schedule(delay) { check(address) }
    }

    /**
     * Handles a target that has been silent for unusually long. If another one can take the request over, the attempt fails, but a
     * target that has sent nothing of a stream is checked first, since another one has to read the prompt again. Otherwise the
     * attempt goes on, because its response may still arrive.
     */
    private fun check(address: HostAndPort) {
        if (isEnded) return
        val now = context.clock.now()
        val limit = attempt.silenceLimit(now)
        if (isReadingPaused) return schedule(address, limit)
        val silentFor = now - maxOf(lastActivityAt, activityForOthers() ?: lastActivityAt)
        if (silentFor < limit) return schedule(address, limit - silentFor + TIMER_MARGIN)
        val isStreamAwaited = attempt.isStream && !attempt.isStreamBegun
        if ((hasChecked || !isStreamAwaited) && attempt.canBeSentElsewhere()) return attempt.failSilent("no sign for $silentFor")
        if (!hasChecked) {
            hasChecked = true
            checkIfUnresponsive(address)
        }
        if (!isEnded) schedule(address, limit)
    }

    /** Checks a target that has sent nothing since the attempt started, and excludes an unresponsive one. */
    private fun checkIfUnresponsive(address: HostAndPort) {
        val lastActivity = target.lastReceivedAt
        if (lastActivity != null && lastActivity > createdAt) return
        isSilent = true
        when (target.health.recordSilentAttempt(context.clock.now())) {
            SilenceAction.EXCLUDE -> excludeUnresponsive("silent to several")
            SilenceAction.PROBE -> probe(address)
            SilenceAction.WAIT -> Unit
        }
    }

    private fun probe(address: HostAndPort) = context.connections.probe(target.id, address) { reachable ->
        if (!reachable) excludeUnresponsive("no connection")
    }

    /**
     * Excludes the target, because it is unresponsive, and closes its idle connections, which may be broken. If the request may be
     * retried, the attempt fails, so that another target gets the request immediately.
     */
    private fun excludeUnresponsive(reason: String) {
        target.health.markUnresponsive(context.clock.now())
        context.connections.drop(target.id)
        context.log.event("target_suspected", "target" to target.id.text, "request" to request.text, "reason" to reason)
        context.scheduleDigest()
        if (!isEnded && !attempt.isResponseBegun && attempt.canBeSentElsewhere()) attempt.failSilent("target unresponsive: $reason")
    }

    /**
     * When the target last sent anything to this instance since the attempt started. On a stream route, such a target is slow rather
     * than unresponsive: its queue advances, or it has preempted the run, which goes on when memory is free.
     */
    private fun activityForOthers(): MonotonicTime? = target.lastReceivedAt?.takeIf { attempt.isStream && it > createdAt }

    private companion object {
        /** Added to the delay of a rescheduled check, so that the limit has passed when it runs. */
        val TIMER_MARGIN = 2.milliseconds
    }
}
