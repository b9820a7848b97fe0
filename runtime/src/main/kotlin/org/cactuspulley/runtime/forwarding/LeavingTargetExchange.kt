package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Exchanges with the peers which targets say in their responses that they are leaving. A target may say so before the registry does,
 * or while the registry is unavailable. Confined to the event loop.
 */
internal class LeavingTargetExchange(private val context: ForwardingContext) {
    private class Notice(val target: LeavingTarget, val expiresAt: MonotonicTime)

    private val directory = context.state.directory
    private val notices = ArrayDeque<Notice>()

    /** Records that a response of [target] said that it is leaving. */
    fun observed(target: Target) {
        val startedAtMillis = target.entry.startedAtMillis
        if (!record(target.id, startedAtMillis, "response", null)) return
        notices.addLast(Notice(LeavingTarget(target.id.text, startedAtMillis), context.clock.now() + REPEAT_TIME))
        if (notices.size > MAX_NOTICES) notices.removeFirst()
        context.scheduleDigest()
    }

    /** Returns what this instance's digests say at [now]. */
    fun notices(now: MonotonicTime): List<LeavingTarget> {
        while (notices.isNotEmpty() && notices.first().expiresAt <= now) notices.removeFirst()
        return notices.map { it.target }
    }

    /** Records what the digest of [peer] says. */
    fun receive(peer: String, leaving: List<LeavingTarget>) =
        leaving.forEach { record(TargetId(it.target), it.startedAtMillis, "peer", peer) }

    private fun record(id: TargetId, startedAtMillis: Long, source: String, peer: String?): Boolean {
        if (!directory.recordLeaving(id, startedAtMillis)) return false
        context.log.event("target_leaving", "target" to id.text, "source" to source, "peer" to peer)
        context.connections.drop(id)
        return true
    }

    private companion object {
        /** How long a notice is repeated in digests; several digests carry it, in case datagrams are lost. */
        val REPEAT_TIME: Duration = 2.seconds

        /** The maximum number of notices in one digest, so that it stays small when a whole pool is replaced. */
        const val MAX_NOTICES = 100
    }
}
