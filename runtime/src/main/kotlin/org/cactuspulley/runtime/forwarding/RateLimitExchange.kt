package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.RateLimitReport
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges with the peers which rate limits targets name in their responses, and which of them they have lifted. An instance passes on
 * only what its own responses said, so that no report returns to its origin with another age. Confined to the event loop.
 */
internal class RateLimitExchange(private val context: ForwardingContext) {
    private val directory = context.state.directory
    private val rateLimits = context.state.rateLimits

    /** The newest reports of this instance's own responses. */
    private val observed = LinkedHashMap<TargetId, RateLimitReport>()

    /**
     * Records that a response of [target] named the limit [requestsPerSecond], or none if that is null. Its request was sent at [sentAt],
     * and it arrived at [receivedAt].
     */
    fun observed(target: Target, requestsPerSecond: Double?, sentAt: MonotonicTime, receivedAt: MonotonicTime) {
        if (requestsPerSecond == null && !rateLimits.isKnown(target.id)) return
        val report = RateLimitReport(target.entry.startedAtMillis, requestsPerSecond, if (requestsPerSecond == null) sentAt else receivedAt)
        val isChange = record(target.id, report, "response", null)
        if (rateLimits.newest(target.id) != report) return
        // That a limit was lifted is passed on only by those who noticed it first, and not by all who receive later responses.
        val known = observed[target.id]
        val isPassedOn = requestsPerSecond != null || isChange || (known != null && known.requestsPerSecond == null)
        if (isPassedOn) observed[target.id] = report else observed.remove(target.id)
        if (isChange) context.scheduleDigest()
    }

    /** Returns what this instance's digests say at [now]. */
    fun notices(now: MonotonicTime): List<TargetLimitNotice> {
        if (observed.isEmpty()) return emptyList()
        observed.entries.removeIf { (id, report) -> isSuperseded(id, report) }
        return observed.entries.reversed().take(MAX_NOTICES).map { (id, report) ->
            TargetLimitNotice(id.text, report.startedAtMillis, report.requestsPerSecond, (now - report.at).inWholeMilliseconds)
        }
    }

    /** Whether [report] is about a target that is no longer listed, or has another content than a newer one. */
    private fun isSuperseded(id: TargetId, report: RateLimitReport): Boolean {
        val newest = rateLimits.newest(id) ?: return true
        val isListed = directory[id]?.entry?.startedAtMillis == report.startedAtMillis
        return !isListed || newest.startedAtMillis != report.startedAtMillis || newest.requestsPerSecond != report.requestsPerSecond
    }

    /** Records what the digest that [peer] sent at [at] says. */
    fun receive(peer: String, notices: List<TargetLimitNotice>, at: MonotonicTime) = notices.filter(::isPlausible).forEach {
        record(TargetId(it.target), RateLimitReport(it.startedAtMillis, it.requestsPerSecond, at - it.ageMillis.milliseconds), "peer", peer)
    }

    private fun isPlausible(notice: TargetLimitNotice) =
        notice.ageMillis >= 0 && (notice.requestsPerSecond == null || notice.requestsPerSecond in 0.0..Double.MAX_VALUE)

    private fun record(id: TargetId, report: RateLimitReport, source: String, peer: String?): Boolean {
        val now = context.clock.now()
        if (!rateLimits.record(id, report, now)) return false
        val share = directory[id]?.let { rateLimits.share(it, now) }
        context.log.event(
            if (report.requestsPerSecond == null) "target_limit_lifted" else "target_limited",
            "target" to id.text,
            "limit" to report.requestsPerSecond,
            "source" to source,
            "peer" to peer,
            "ageMillis" to (now - report.at).inWholeMilliseconds,
            "owners" to share?.owners,
            "share" to share?.requestsPerSecond,
        )
        return true
    }

    private companion object {
        /** The maximum number of notices in one digest, so that it stays small when all targets name limits. */
        const val MAX_NOTICES = 50
    }
}
