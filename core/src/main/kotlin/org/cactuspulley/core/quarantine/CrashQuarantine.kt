package org.cactuspulley.core.quarantine

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Finds the traits of requests that crash each target that begins to run them, and holds these requests back.
 *
 * The crash of one start of a target is one piece of evidence against the traits of all requests that it was running, however many
 * there were. A request that is served is proof that its traits are sound, so it voids the evidence of earlier crashes against them:
 * the first event of an answer for the pieces of its prompt, the complete answer for the request as a whole. Traits with the same
 * evidence cannot be told apart, so only requests that have all of them are held back until one of them is proved sound.
 *
 * The rule that a request is not sent again after it has crashed some targets has no end, but targets and their software change. So
 * after some time one request may run as a trial; if it crashes its target, the next trial comes much later. A quarantine is forgotten
 * only when no such request has come for a while.
 */
public class CrashQuarantine {
    private class Crash(val target: TargetStart, var at: MonotonicTime, val traits: LinkedHashSet<RequestTrait>)

    private val crashes = LinkedHashMap<TargetStart, Crash>()
    private val entries = LinkedHashMap<Set<RequestTrait>, CrashQuarantineEntry>()

    /** When a request with each trait was last served, for the traits that were seen most recently. */
    private val servedPieces = RecentTimes<RequestTrait>(MAX_SERVED_PIECES)
    private val servedRequests = RecentTimes<RequestTrait>(MAX_SERVED_REQUESTS)

    /** The quarantines that are remembered at [now]. */
    public fun entries(now: MonotonicTime): List<CrashQuarantineEntry> = entries.values.filter { it.keptUntil > now }

    /** Tells whether a request with [traits] may run at [now]. */
    public fun verdict(traits: Collection<RequestTrait>, now: MonotonicTime): CrashVerdict {
        if (entries.isEmpty()) return CrashVerdict.Clear
        val matching = entries.values.filter { it.keptUntil > now && traits.containsAll(it.traits) }
        val held = matching.firstOrNull { now < it.heldUntil }
        return when {
            held != null -> CrashVerdict.Held(held.traits)
            matching.isNotEmpty() -> CrashVerdict.OnTrial(matching.first().traits)
            else -> CrashVerdict.Clear
        }
    }

    /** Records that a request with the quarantined [traits] came at [now] and was refused, so that the quarantine is not forgotten. */
    public fun recordRefusal(traits: Set<RequestTrait>, now: MonotonicTime) {
        entries.computeIfPresent(traits) { _, entry -> entry.copy(keptUntil = maxOf(entry.keptUntil, now + RETENTION)) }
    }

    /**
     * Returns the start of a target to which a request was sent at [sentAt], when the registry listed [listed]: the target has started
     * again after each crash that was known before.
     */
    public fun startAt(listed: TargetStart, sentAt: MonotonicTime): TargetStart =
        generateSequence(listed) { it.copy(restarts = it.restarts + 1) }.first { start -> crashes[start]?.let { it.at >= sentAt } ?: true }

    /**
     * Records that [target] crashed at [at] while it ran requests with [traits]; reports of the same crash add up. The traits that come
     * first are kept if there are too many.
     */
    public fun recordCrash(
        target: TargetStart,
        traits: Set<RequestTrait>,
        at: MonotonicTime,
        now: MonotonicTime,
    ): List<CrashQuarantineChange> {
        val known = crashes[target]
        if (known != null && known.traits.containsAll(traits)) return emptyList()
        if (known == null && crashes.size >= MAX_CRASHES) crashes.remove(crashes.keys.first())
        val crash = known ?: Crash(target, at, LinkedHashSet()).also { crashes[target] = it }
        if (at < crash.at) {
            crash.at = at
            crash.traits.removeIf { !wasNotServedSince(it, at) }
        }
        traits.filter { wasNotServedSince(it, crash.at) }.take(MAX_TRAITS_PER_CRASH - crash.traits.size).forEach { crash.traits += it }
        val changes = entries.values.filter { crash.traits.containsAll(it.traits) }.flatMap { convictAgain(it, crash, now) }
        return changes + assess(now)
    }

    /** Whether the crash of a target counts against [trait] at [now]. */
    public fun isSuspect(trait: RequestTrait, now: MonotonicTime): Boolean =
        crashes.values.any { trait in it.traits && it.at + CRASH_LIFETIME > now } || entries.values.any { trait in it.traits }

    /** Records that a request with [traits] was served at [at]. */
    public fun recordServed(traits: Collection<RequestTrait>, at: MonotonicTime, now: MonotonicTime): List<CrashQuarantineChange> {
        traits.forEach { times(it).record(it, at) }
        if (crashes.isEmpty() && entries.isEmpty()) return emptyList()
        val sound = traits.toSet()
        val isVoided = crashes.values.count { it.at <= at && it.traits.isNotEmpty() && it.traits.removeAll(sound) } > 0
        val narrowed = entries.values.filter { entry -> entry.lastCrashAt <= at && entry.traits.any { it in sound } }
        val changes = narrowed.flatMap { entry ->
            entries.remove(entry.traits)
            listOf(CrashQuarantineChange.Released(entry.traits)) + hold(entry.copy(traits = entry.traits - sound), emptySet())
        }
        return if (isVoided || changes.isNotEmpty()) changes + assess(now) else emptyList()
    }

    /**
     * Applies a quarantine that another instance reports. Returns null if requests have been served since that show it to be void, of
     * which the other instance has not heard.
     */
    public fun adopt(reported: CrashQuarantineEntry): List<CrashQuarantineChange>? {
        val traits = reported.traits.filterTo(LinkedHashSet()) { wasNotServedSince(it, reported.lastCrashAt) }
        if (traits.isEmpty()) return null
        val known = entries[traits] ?: return hold(reported.copy(traits = traits), emptySet())
        // The time that a report is on its way must not extend a quarantine each time that it is passed on.
        if (reported.convictions >= known.convictions && reported.lastCrashAt > known.lastCrashAt + ADOPTION_MARGIN) {
            entries[traits] = known.copy(lastCrashAt = reported.lastCrashAt, convictions = reported.convictions)
        }
        if (reported.keptUntil > known.keptUntil + ADOPTION_MARGIN) {
            entries.computeIfPresent(traits) { _, entry -> entry.copy(keptUntil = reported.keptUntil) }
        }
        return emptyList()
    }

    /** Removes the crashes and quarantines that no longer count at [now]. */
    public fun expire(now: MonotonicTime) {
        crashes.values.removeIf { it.at + CRASH_LIFETIME <= now }
        entries.values.removeIf { it.keptUntil <= now }
    }

    private fun times(trait: RequestTrait): RecentTimes<RequestTrait> = when (trait) {
        is RequestTrait.Piece -> servedPieces
        is RequestTrait.PathAndBody, is RequestTrait.WholeRequest -> servedRequests
    }

    private fun wasNotServedSince(trait: RequestTrait, time: MonotonicTime): Boolean = times(trait)[trait]?.let { it < time } ?: true

    /** Renews [entry] after a further [crash]; one after the end of its hold was the crash of a trial. */
    private fun convictAgain(entry: CrashQuarantineEntry, crash: Crash, now: MonotonicTime): List<CrashQuarantineChange> {
        if (crash.at <= entry.lastCrashAt) return emptyList()
        val wasTrial = crash.at >= entry.heldUntil
        val convictions = if (wasTrial) entry.convictions + 1 else entry.convictions
        entries[entry.traits] = renewed(entry.copy(lastCrashAt = crash.at, convictions = convictions), now)
        return if (wasTrial) listOf(CrashQuarantineChange.Quarantined(entry.traits, setOf(crash.target))) else emptyList()
    }

    private fun renewed(entry: CrashQuarantineEntry, now: MonotonicTime) =
        entry.copy(keptUntil = maxOf(entry.keptUntil, entry.heldUntil + RETENTION, now + RETENTION))

    /**
     * Attributes the crashes to traits, those with most crashes first; a crash that is attributed to some traits is no evidence
     * against others. Nothing is attributed while traits with different evidence explain the same crashes equally well.
     */
    private fun assess(now: MonotonicTime): List<CrashQuarantineChange> {
        val unexplained = crashes.values.filterTo(mutableListOf()) { it.at + CRASH_LIFETIME > now && it.traits.isNotEmpty() }
        val changes = mutableListOf<CrashQuarantineChange>()
        while (unexplained.size >= CRASH_THRESHOLD) {
            val evidence = evidence(unexplained)
            val strongest = evidence.values.maxByOrNull(::moments) ?: break
            val count = moments(strongest)
            val isAmbiguous = evidence.values.any { it != strongest && moments(it) == count && it.any(strongest::contains) }
            if (count < CRASH_THRESHOLD || isAmbiguous) break
            val groups = requestGroups(evidence.filterValues { it == strongest }.keys)
            if (groups.size > 1 && count < COMMON_CRASH_THRESHOLD) break
            val lastCrashAt = strongest.maxOf { it.at }
            val targets = strongest.map { it.target }.toSet()
            for (traits in groups) {
                val entry = CrashQuarantineEntry(traits, lastCrashAt, convictions = 1, keptUntil = now)
                changes += hold(renewed(entry, now), targets)
            }
            unexplained.removeAll(strongest)
        }
        return changes
    }

    /** Divides [traits] into sets that one request can have; it has one path and one query. */
    private fun requestGroups(traits: Set<RequestTrait>): List<Set<RequestTrait>> {
        val paths = traits.filterIsInstance<RequestTrait.PathAndBody>()
        val queries = traits.filterIsInstance<RequestTrait.WholeRequest>()
        return when {
            paths.size > 1 -> paths.map { setOf(it) }
            queries.size > 1 -> queries.map { setOf(it) }
            else -> listOf(traits)
        }
    }

    /** The crashes that count against each trait. */
    private fun evidence(unexplained: List<Crash>): Map<RequestTrait, List<Crash>> {
        val evidence = LinkedHashMap<RequestTrait, MutableList<Crash>>()
        for (crash in unexplained) crash.traits.forEach { evidence.getOrPut(it, ::mutableListOf) += crash }
        return evidence
    }

    /** Adds [entry], unless a quarantine of some of its traits covers these requests. */
    private fun hold(entry: CrashQuarantineEntry, targets: Set<TargetStart>): List<CrashQuarantineChange> {
        val traits = entry.traits
        if (traits.isEmpty() || entries.keys.any { it.size < traits.size && traits.containsAll(it) }) return emptyList()
        entries.keys.removeIf { it.size > traits.size && it.containsAll(traits) }
        val known = entries[traits]
        if (known == null && entries.size >= MAX_ENTRIES) entries.remove(entries.values.minBy { it.keptUntil }.traits)
        entries[traits] = if (known == null) entry else merged(known, entry)
        return if (known == null) listOf(CrashQuarantineChange.Quarantined(traits, targets)) else emptyList()
    }

    private fun merged(known: CrashQuarantineEntry, added: CrashQuarantineEntry) = known.copy(
        lastCrashAt = maxOf(known.lastCrashAt, added.lastCrashAt),
        convictions = maxOf(known.convictions, added.convictions),
        keptUntil = maxOf(known.keptUntil, added.keptUntil),
    )

    /** The number of crashes, counting those that happened at the same moment once, because they may have a common cause. */
    private fun moments(known: List<Crash>): Int {
        var count = 0
        var last: MonotonicTime? = null
        for (time in known.map { it.at }.sorted()) {
            if (last != null && time - last < COMMON_CAUSE_WINDOW) continue
            last = time
            count++
        }
        return count
    }

    private companion object {
        /**
         * The number of crashes, without a served request in between, from which traits are quarantined. Two may hit the requests with
         * one rarely used trait by chance.
         */
        const val CRASH_THRESHOLD = 3

        /**
         * The number of crashes from which several requests are quarantined that ran at each of the crashed targets. Before that, one
         * of them may run without the others, which shows which is the cause.
         */
        const val COMMON_CRASH_THRESHOLD = 5

        /** Crashes that follow each other more closely may have a common cause, such as the loss of a rack. */
        val COMMON_CAUSE_WINDOW = 200.milliseconds

        /** How long a crash counts against traits of which no request is served; a request that is sent every few minutes is found. */
        val CRASH_LIFETIME = 10.minutes

        /**
         * How long a quarantine is kept after its end and after the last request that it held back. A request that comes again after
         * longer may crash [CRASH_THRESHOLD] targets anew.
         */
        val RETENTION = 1.hours

        /** A report of another instance changes the times of a known quarantine only by more than the time it may be on its way. */
        val ADOPTION_MARGIN = 5.seconds

        /** The crashes that are kept: those of a minute in which a request crashes one target per second. */
        const val MAX_CRASHES = 64

        /** The traits that are kept for each crash: those of the requests that a target runs. */
        const val MAX_TRAITS_PER_CRASH = 256

        /** The quarantines that are kept. */
        const val MAX_ENTRIES = 64

        /** The pieces for which the last first event is kept: those of some minutes at one instance. */
        const val MAX_SERVED_PIECES = 4_096

        /** The requests for which the last complete answer is kept: those of the seconds in which a crash is reported. */
        const val MAX_SERVED_REQUESTS = 1_024
    }
}

/** The time until which all requests are held back; the first trial may run then. */
public val CrashQuarantineEntry.heldUntil: MonotonicTime get() = lastCrashAt + HOLD_TIMES[minOf(convictions, HOLD_TIMES.size) - 1]

/**
 * How long requests are held back after the last crash, by the number of convictions. Three trials fail in the first day, as many as
 * the retries that users allow a request after it has crashed the third target.
 */
private val HOLD_TIMES: List<Duration> = listOf(10.minutes, 1.hours, 6.hours, 24.hours)

/** The newest time of each of the [capacity] keys that were recorded most recently. */
private class RecentTimes<K>(private val capacity: Int) {
    private val times = object : LinkedHashMap<K, MonotonicTime>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<K, MonotonicTime>): Boolean = size > capacity
    }

    operator fun get(key: K): MonotonicTime? = times[key]

    fun record(key: K, time: MonotonicTime) {
        times.merge(key, time) { known, new -> maxOf(known, new) }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
