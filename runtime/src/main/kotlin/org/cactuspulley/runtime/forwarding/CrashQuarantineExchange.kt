package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.quarantine.CrashQuarantine
import org.cactuspulley.core.quarantine.CrashQuarantineChange
import org.cactuspulley.core.quarantine.CrashQuarantineEntry
import org.cactuspulley.core.quarantine.CrashVerdict
import org.cactuspulley.core.quarantine.RequestTrait
import org.cactuspulley.core.quarantine.TargetStart
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tells the [CrashQuarantine] of this instance what attempts and peers observe, and keeps what the peers must hear of; confined to the
 * event loop.
 *
 * What was observed is repeated in digests for a moment. What is held back is in every digest, so that it outlasts the instances that
 * decided it; if it is too much for one, successive digests carry it in turn.
 */
internal class CrashQuarantineExchange(private val context: ForwardingContext, private val sendToAll: () -> Unit) {
    private class Crash(val target: TargetStart, val traits: Set<RequestTrait>, val at: MonotonicTime, val recordedAt: MonotonicTime)

    private class Served(val trait: RequestTrait, val at: MonotonicTime, val recordedAt: MonotonicTime)

    private class BrokenAttempt(val traits: Set<RequestTrait>, val sentAt: MonotonicTime)

    private val log get() = context.log
    private val quarantine = CrashQuarantine()

    /** The crashes and served traits that this instance observed and repeats in its digests. */
    private val crashes = ArrayDeque<Crash>()
    private val served = ArrayDeque<Served>()

    /** The targets that are being probed after broken connections, with the attempts that were running there. */
    private val probed = HashMap<TargetStart, MutableList<BrokenAttempt>>()

    /** The trials that this instance has begun, each with the time until which it begins no other one. */
    private val trials = HashMap<Set<RequestTrait>, MonotonicTime>()

    /** The time until which this instance waits for what its peers hold back; null if it does not. */
    private var awaitsPeersUntil: MonotonicTime? = null

    /** The number of entries that digests have carried so far, by which they take turns. */
    private var reported = 0

    /** Makes this instance, which has just started, wait until a peer has told it what the fleet holds back, or until [deadline]. */
    fun awaitPeers(deadline: MonotonicTime) {
        awaitsPeersUntil = deadline
    }

    /** Records at [now] that the addresses of all peers are known; there are none if [isAlone]. */
    fun peersKnown(isAlone: Boolean, now: MonotonicTime) {
        awaitsPeersUntil = awaitsPeersUntil?.let { minOf(it, if (isAlone) now else now + ANSWER_TIMEOUT) }
    }

    /** Whether this instance does not know yet what the fleet holds back, so that no request may run. */
    fun isAwaitingPeers(now: MonotonicTime): Boolean = awaitsPeersUntil?.let { now < it } ?: false

    /** Tells whether a request with [traits] may run at [now]. */
    fun verdict(traits: Set<RequestTrait>, now: MonotonicTime): CrashVerdict = quarantine.verdict(traits, now)

    /**
     * Decides whether a request with [traits], which will have ended by [deadline], may start at [now]. Only one instance begins trials of
     * the same traits, one at a time.
     */
    fun admit(traits: Set<RequestTrait>, deadline: MonotonicTime, now: MonotonicTime): CrashVerdict =
        when (val verdict = quarantine.verdict(traits, now)) {
            CrashVerdict.Clear -> verdict
            is CrashVerdict.Held -> verdict.also { quarantine.recordRefusal(it.traits, now) }
            is CrashVerdict.OnTrial -> if (beginTrial(verdict.traits, deadline, now)) verdict else hold(verdict.traits, now)
        }

    private fun hold(traits: Set<RequestTrait>, now: MonotonicTime): CrashVerdict {
        quarantine.recordRefusal(traits, now)
        return CrashVerdict.Held(traits)
    }

    private fun beginTrial(traits: Set<RequestTrait>, deadline: MonotonicTime, now: MonotonicTime): Boolean {
        trials.values.removeIf { it <= now }
        if (traits in trials || !context.state.isFirstInFleet("crash-trial ${text(traits)}", now)) return false
        trials[traits] = deadline + TRIAL_MARGIN
        log.event("trial_begins", "traits" to text(traits))
        return true
    }

    /** Records that a request with [traits] was served, as far as these are concerned. */
    fun served(traits: Collection<RequestTrait>, now: MonotonicTime) {
        val suspects = traits.filter { quarantine.isSuspect(it, now) }
        apply(quarantine.recordServed(traits, now, now), null)
        if (suspects.isEmpty()) return
        suspects.forEach { report(it, now, now) }
        context.scheduleDigest()
    }

    private fun report(trait: RequestTrait, at: MonotonicTime, now: MonotonicTime) {
        served.addLast(Served(trait, at, now))
        if (served.size > MAX_SERVED) served.removeFirst()
    }

    /**
     * Records that [target] broke the connection of an attempt with [traits], which was sent at [sentAt]. The target crashed if it accepts
     * no new connection; otherwise only the connection broke. A target that is leaving ends in the same way at the end of its time.
     */
    fun connectionBroke(target: Target, address: HostAndPort, traits: Set<RequestTrait>, sentAt: MonotonicTime) {
        if (target.isLeaving) return
        val now = context.clock.now()
        val start = quarantine.startAt(TargetStart(target.id, target.entry.startedAtMillis), sentAt)
        val isProbed = start in probed
        probed.getOrPut(start, ::mutableListOf) += BrokenAttempt(traits, sentAt)
        if (isProbed) return
        context.connections.probe(target.id, address) { reachable ->
            val attempts = probed.remove(start).orEmpty()
            if (!reachable) targetCrashed(start, attempts, now)
        }
    }

    /** A target crashes on a request that it has begun to run, so that what it received last comes first. */
    private fun targetCrashed(target: TargetStart, attempts: List<BrokenAttempt>, at: MonotonicTime) {
        val traits = attempts.sortedByDescending { it.sentAt }.flatMapTo(LinkedHashSet()) { it.traits }.take(MAX_TRAITS).toSet()
        if (traits.isEmpty()) return
        val now = context.clock.now()
        log.event("target_crashed", "target" to target.target.text, "traits" to text(traits))
        crashes.addLast(Crash(target, traits, at, now))
        if (crashes.size > MAX_CRASHES) crashes.removeFirst()
        apply(quarantine.recordCrash(target, traits, at, now), null)
        sendToAll()
    }

    /** Returns what peers must hear at [now]; everything that is held back if [isComplete]. */
    fun notices(now: MonotonicTime, isComplete: Boolean): CrashNotices {
        while (crashes.isNotEmpty() && now - crashes.first().recordedAt > REPEAT_TIME) crashes.removeFirst()
        while (served.isNotEmpty() && now - served.first().recordedAt > REPEAT_TIME) served.removeFirst()
        return CrashNotices(
            crashes.map { crash ->
                val (target, startedAtMillis, restarts) = crash.target
                val age = (now - crash.at).inWholeMilliseconds
                TargetCrashNotice(target.text, startedAtMillis, restarts, EncodedTraits.of(crash.traits), age)
            },
            served.map { ServedNotice(EncodedTraits.of(setOf(it.trait)), (now - it.at).inWholeMilliseconds) },
            reportedEntries(now, isComplete).map {
                QuarantineNotice(
                    EncodedTraits.of(it.traits),
                    (now - it.lastCrashAt).inWholeMilliseconds,
                    it.convictions,
                    (it.keptUntil - now).inWholeMilliseconds,
                )
            },
        )
    }

    private fun reportedEntries(now: MonotonicTime, isComplete: Boolean): List<CrashQuarantineEntry> {
        val entries = quarantine.entries(now)
        if (isComplete || entries.size <= MAX_REPORTED) return entries
        return List(MAX_REPORTED) { entries[(reported + it) % entries.size] }.also { reported = (reported + MAX_REPORTED) % entries.size }
    }

    /** Applies the [notices] that [peer] sent at [at]. */
    fun receive(peer: InstanceId, notices: CrashNotices, at: MonotonicTime) {
        val now = context.clock.now()
        awaitsPeersUntil = null
        for (notice in notices.served) {
            apply(quarantine.recordServed(notice.traits.decode(), at - notice.ageMillis.milliseconds, now), peer)
        }
        for (notice in notices.crashes) {
            val start = TargetStart(TargetId(notice.target), notice.startedAtMillis, notice.restarts)
            apply(quarantine.recordCrash(start, notice.traits.decode(), at - notice.ageMillis.milliseconds, now), peer)
        }
        for (notice in notices.quarantines.filter { it.isPlausible }) adopt(peer, notice, at, now)
    }

    private fun adopt(peer: InstanceId, notice: QuarantineNotice, at: MonotonicTime, now: MonotonicTime) {
        val traits = notice.traits.decode()
        val lastCrashAt = at - notice.crashAgeMillis.milliseconds
        val keptUntil = at + notice.remainingMillis.milliseconds
        val changes = quarantine.adopt(CrashQuarantineEntry(traits, lastCrashAt, notice.convictions, keptUntil))
        if (changes != null) return apply(changes, peer)
        // The peer has missed that such a request was served.
        traits.filter { trait -> served.none { it.trait == trait } }.forEach { report(it, now, now) }
    }

    /** Forgets what no longer counts at [now]. */
    fun expire(now: MonotonicTime) = quarantine.expire(now)

    private fun apply(changes: List<CrashQuarantineChange>, peer: InstanceId?) {
        for (change in changes) {
            when (change) {
                is CrashQuarantineChange.Quarantined -> log.event(
                    "${subject(change.traits)}_quarantined",
                    "traits" to text(change.traits),
                    "targets" to change.targets.joinToString(",") { it.target.text },
                    "peer" to peer?.text,
                )

                is CrashQuarantineChange.Released ->
                    log.event("${subject(change.traits)}_released", "traits" to text(change.traits), "peer" to peer?.text)
            }
        }
        if (changes.any { it is CrashQuarantineChange.Quarantined }) context.exchanges.toList().forEach { it.withdrawIfQuarantined() }
    }

    /** What the [traits] identify: pieces that many prompts may hold, or a request. */
    private fun subject(traits: Set<RequestTrait>) = if (traits.all { it is RequestTrait.Piece }) "pieces" else "request"

    companion object {
        /** How long a notice is repeated in digests; several digests carry it, in case datagrams are lost. */
        private val REPEAT_TIME: Duration = 2.seconds

        /**
         * How long an instance that has just started waits for the answers of its peers, which arrive within milliseconds. It asks them
         * again every 100 ms, in case datagrams are lost.
         */
        private val ANSWER_TIMEOUT: Duration = 300.milliseconds

        /** How long after a trial the crash of its target may be reported. */
        private val TRIAL_MARGIN: Duration = 3.seconds

        /** The largest numbers of notices in one digest, which must fit into a datagram together with a configuration. */
        private const val MAX_CRASHES = 16
        private const val MAX_SERVED = 64
        private const val MAX_REPORTED = 16

        /** The traits that an instance reports for one crash: those of its requests at the target that it sent last. */
        private const val MAX_TRAITS = 64

        /** The radix in which callers write the hashes of pieces. */
        private const val HEXADECIMAL = 16

        /** The [traits] as they appear in the log; the hashes of pieces as callers write them. */
        fun text(traits: Collection<RequestTrait>): String = traits.joinToString(",") { trait ->
            val hash = trait.hash.toULong().toString(HEXADECIMAL)
            when (trait) {
                is RequestTrait.Piece -> hash
                is RequestTrait.PathAndBody -> "path:$hash"
                is RequestTrait.WholeRequest -> "query:$hash"
            }
        }
    }
}
