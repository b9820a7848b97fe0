package org.cactuspulley.core.quarantine

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** A change of what a [PieceQuarantine] holds back. */
public sealed interface PieceQuarantineChange {
    /**
     * Prompts that hold all of [pieces] are quarantined.
     *
     * @property targets the targets that crashed on them; empty if another instance decided it.
     */
    public data class Quarantined(val pieces: Set<Long>, val targets: Set<TargetStart>) : PieceQuarantineChange

    /** Prompts that hold all of [pieces] may run again. */
    public data class Released(val pieces: Set<Long>) : PieceQuarantineChange
}

/**
 * Finds the pieces of prompts that crash each target that begins to answer a prompt with them, and holds these prompts back.
 *
 * A crash is evidence against all shared pieces of a prompt whose answer had begun without a first event. A first event of any
 * answer is proof that all pieces of its prompt are sound, so it voids the evidence against them from earlier crashes. Pieces with
 * the same evidence cannot be told apart, so only prompts that hold all of them are held back until one of them is proved sound.
 */
public class PieceQuarantine {
    private class Crash(val target: TargetStart, var at: MonotonicTime, var pieces: Set<Long>)

    private val crashes = LinkedHashMap<TargetStart, Crash>()
    private val quarantines = LinkedHashMap<Set<Long>, MonotonicTime>()

    /** When an answer last began for each piece, for the pieces that were used most recently. */
    private val beginnings = object : LinkedHashMap<Long, MonotonicTime>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, MonotonicTime>): Boolean = size > MAX_TRACKED_PIECES
    }

    /** The quarantines that hold at [now], with the time for which each still holds. */
    public fun quarantines(now: MonotonicTime): Map<Set<Long>, Duration> =
        quarantines.filterValues { it > now }.mapValues { it.value - now }

    /** Returns the quarantined pieces that a prompt with [pieces] holds at [now]; null if the prompt may run. */
    public fun verdict(pieces: Collection<Long>, now: MonotonicTime): Set<Long>? {
        if (quarantines.isEmpty()) return null
        return quarantines.entries.firstOrNull { (quarantined, until) -> until > now && pieces.containsAll(quarantined) }?.key
    }

    /** Records that [target] crashed at [at] on prompts with [pieces]; reports of the same crash add up. */
    public fun recordCrash(target: TargetStart, pieces: Set<Long>, at: MonotonicTime, now: MonotonicTime): List<PieceQuarantineChange> {
        val known = crashes[target]
        if (known != null && known.pieces.containsAll(pieces)) return emptyList()
        if (known == null) {
            if (crashes.size >= MAX_CRASHES) crashes.remove(crashes.keys.first())
            crashes[target] = Crash(target, at, pieces.take(MAX_PIECES_PER_CRASH).toSet())
        } else {
            known.at = minOf(known.at, at)
            known.pieces = (known.pieces + pieces).take(MAX_PIECES_PER_CRASH).toSet()
        }
        return assess(now)
    }

    /** Whether a crash counts against [piece] at [now]. */
    public fun isSuspect(piece: Long, now: MonotonicTime): Boolean =
        crashes.values.any { it.at + CRASH_LIFETIME > now && counts(it, piece) } || quarantines.any { piece in it.key && it.value > now }

    /** Records that a target sent the first event of an answer to a prompt with [pieces] at [at]. */
    public fun recordBeginning(pieces: Collection<Long>, at: MonotonicTime, now: MonotonicTime): List<PieceQuarantineChange> {
        for (piece in pieces) beginnings.merge(piece, at) { known, new -> maxOf(known, new) }
        if (crashes.isEmpty() && quarantines.isEmpty()) return emptyList()
        val narrowed = quarantines.filter { (quarantined, until) -> withoutSound(quarantined, until).size < quarantined.size }
        val changes = narrowed.flatMap { (quarantined, until) ->
            quarantines.remove(quarantined)
            listOf(PieceQuarantineChange.Released(quarantined)) + hold(withoutSound(quarantined, until), emptySet(), until)
        }
        return changes + assess(now)
    }

    /** Applies a quarantine that another instance decided and that holds until [until]. */
    public fun adopt(pieces: Set<Long>, until: MonotonicTime): List<PieceQuarantineChange> {
        val suspects = withoutSound(pieces, until)
        // The time that a notice is on its way must not extend a quarantine each time that it is passed on.
        if (until < (quarantines[suspects] ?: MonotonicTime.ZERO) + ADOPTION_MARGIN) return emptyList()
        return hold(suspects, emptySet(), until)
    }

    /** The pieces of a quarantine [until] some time for which no answer has begun since the last crash that it is due to. */
    private fun withoutSound(pieces: Set<Long>, until: MonotonicTime): Set<Long> =
        pieces.filterTo(LinkedHashSet()) { piece -> beginnings[piece]?.let { it <= until - QUARANTINE_LIFETIME } ?: true }

    /** Removes the crashes and quarantines that no longer count at [now]. */
    public fun expire(now: MonotonicTime) {
        crashes.values.removeIf { it.at + CRASH_LIFETIME <= now }
        quarantines.values.removeIf { it <= now }
    }

    private fun counts(crash: Crash, piece: Long): Boolean =
        piece in crash.pieces && (beginnings[piece]?.let { it < crash.at } ?: true)

    /**
     * Attributes the crashes to pieces, those with most crashes first; a crash that is attributed to some pieces is no evidence
     * against others. Nothing is attributed while pieces with different evidence explain the same crashes equally well.
     */
    private fun assess(now: MonotonicTime): List<PieceQuarantineChange> {
        val unexplained = crashes.values.filterTo(mutableListOf()) { it.at + CRASH_LIFETIME > now }
        val changes = mutableListOf<PieceQuarantineChange>()
        while (true) {
            val evidence = evidence(unexplained)
            val strongest = evidence.values.maxByOrNull(::moments) ?: break
            val isAmbiguous = evidence.values.any { it != strongest && moments(it) == moments(strongest) && it.any(strongest::contains) }
            if (moments(strongest) < CRASH_THRESHOLD || isAmbiguous) break
            val pieces = evidence.filterValues { it == strongest }.keys.toSet()
            changes += hold(pieces, strongest.map { it.target }.toSet(), strongest.maxOf { it.at } + QUARANTINE_LIFETIME)
            unexplained.removeAll(strongest)
        }
        return changes
    }

    /** The crashes that count against each piece. */
    private fun evidence(unexplained: List<Crash>): Map<Long, List<Crash>> {
        val evidence = HashMap<Long, MutableList<Crash>>()
        for (crash in unexplained) {
            crash.pieces.filter { counts(crash, it) }.forEach { evidence.getOrPut(it, ::mutableListOf) += crash }
        }
        return evidence
    }

    /** Quarantines prompts with all of [pieces], unless a quarantine of some of them covers these prompts. */
    private fun hold(pieces: Set<Long>, targets: Set<TargetStart>, until: MonotonicTime): List<PieceQuarantineChange> {
        if (pieces.isEmpty() || quarantines.keys.any { it.size < pieces.size && pieces.containsAll(it) }) return emptyList()
        val isNew = pieces !in quarantines
        quarantines.keys.removeIf { it.size > pieces.size && it.containsAll(pieces) }
        if (isNew && quarantines.size >= MAX_QUARANTINES) quarantines.remove(quarantines.keys.first())
        quarantines.merge(pieces, until) { known, new -> maxOf(known, new) }
        return if (isNew) listOf(PieceQuarantineChange.Quarantined(pieces, targets)) else emptyList()
    }

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
         * The number of crashes, without a first event in between, from which pieces are quarantined. Two may hit the prompts of one
         * rarely used piece by chance.
         */
        const val CRASH_THRESHOLD = 3

        /** Crashes that follow each other more closely may have a common cause, such as the loss of a rack. */
        val COMMON_CAUSE_WINDOW = 200.milliseconds

        /** How long a crash counts against pieces. */
        val CRASH_LIFETIME = 60.seconds

        /** How long a quarantine holds after the last crash that counted. */
        val QUARANTINE_LIFETIME = 10.minutes

        /** A notice of another instance changes the end of a known quarantine only by more than the time it may be on its way. */
        val ADOPTION_MARGIN = 5.seconds

        /** The crashes that are kept: those of a minute in which a piece crashes one target per second. */
        const val MAX_CRASHES = 64

        /** The pieces that are kept for each crash: those of a few prompts. */
        const val MAX_PIECES_PER_CRASH = 64

        /** The quarantines that are kept; each digest names them. */
        const val MAX_QUARANTINES = 16

        /** The pieces for which the last first event is kept: those of some minutes at one instance. */
        const val MAX_TRACKED_PIECES = 4_096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
