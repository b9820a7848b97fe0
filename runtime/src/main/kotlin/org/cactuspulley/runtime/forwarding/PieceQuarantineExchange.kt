package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.PromptDescription
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.quarantine.PieceCrashNotice
import org.cactuspulley.core.quarantine.PieceQuarantine
import org.cactuspulley.core.quarantine.PieceQuarantineChange
import org.cactuspulley.core.quarantine.PieceQuarantineNotice
import org.cactuspulley.core.quarantine.SoundPieceNotice
import org.cactuspulley.core.quarantine.TargetStart
import org.cactuspulley.runtime.platform.HostAndPort
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tells the [PieceQuarantine] of this instance what attempts and peers observe, and keeps what the peers must hear of; confined to the
 * event loop.
 */
internal class PieceQuarantineExchange(private val context: ForwardingContext, private val sendToAll: () -> Unit) {
    private class Outgoing<T>(val notice: T, val at: MonotonicTime, val recordedAt: MonotonicTime)

    private val log get() = context.log
    private val quarantine = PieceQuarantine()

    /** The crashes and sound pieces that this instance observed and repeats in its digests. */
    private val crashes = ArrayDeque<Outgoing<PieceCrashNotice>>()
    private val soundPieces = ArrayDeque<Outgoing<SoundPieceNotice>>()

    /** The targets that are being probed after a broken connection, with the pieces that are suspected to have crashed them. */
    private val probed = HashMap<TargetStart, Set<Long>>()

    /** Returns the quarantined pieces that [prompt] holds; null if it may run. */
    fun verdict(prompt: PromptDescription?, now: MonotonicTime): Set<Long>? = prompt?.let { quarantine.verdict(it.sharedHashes, now) }

    /** Records the first event of an answer to [prompt]. */
    fun answerBegan(prompt: PromptDescription, now: MonotonicTime) {
        val pieces = prompt.sharedHashes
        val suspects = pieces.filter { quarantine.isSuspect(it, now) }
        apply(quarantine.recordBeginning(pieces, now, now), null)
        if (suspects.isEmpty()) return
        suspects.forEach { add(soundPieces, MAX_SOUND_PIECES, Outgoing(SoundPieceNotice(it, 0), now, now)) }
        context.scheduleDigest()
    }

    /**
     * Records that [target] broke the connection after it began to answer [prompt]. It crashed if it accepts no new connection;
     * otherwise only the connection broke.
     */
    fun connectionBroke(target: Target, address: HostAndPort, prompt: PromptDescription, now: MonotonicTime) {
        val start = TargetStart(target.id, target.entry.startedAtMillis)
        val isProbed = start in probed
        probed.merge(start, prompt.sharedHashes.toSet()) { known, added -> known + added }
        if (isProbed) return
        context.connections.probe(target.id, address) { reachable ->
            val pieces = probed.remove(start).orEmpty()
            if (!reachable && pieces.isNotEmpty()) targetCrashed(start, pieces, now)
        }
    }

    private fun targetCrashed(target: TargetStart, pieces: Set<Long>, at: MonotonicTime) {
        val now = context.clock.now()
        log.event("target_crashed", "target" to target.target.text, "pieces" to text(pieces))
        add(crashes, MAX_CRASHES, Outgoing(PieceCrashNotice(target, pieces, 0), at, now))
        apply(quarantine.recordCrash(target, pieces, at, now), null)
        sendToAll()
    }

    /** The crashes that this instance observed, for its peers. */
    fun crashNotices(now: MonotonicTime): List<PieceCrashNotice> =
        recent(crashes, now).map { it.notice.copy(ageMillis = (now - it.at).inWholeMilliseconds) }

    /** The suspected pieces that this instance found sound, for its peers. */
    fun soundNotices(now: MonotonicTime): List<SoundPieceNotice> =
        recent(soundPieces, now).map { it.notice.copy(ageMillis = (now - it.at).inWholeMilliseconds) }

    /** The quarantines that hold, also for peers that have not heard of the crashes. */
    fun quarantineNotices(now: MonotonicTime): List<PieceQuarantineNotice> =
        quarantine.quarantines(now).map { (pieces, remaining) -> PieceQuarantineNotice(pieces, remaining.inWholeMilliseconds) }

    /** Applies the notices that [peer] sent at [at]. */
    fun receive(peer: InstanceId, digest: FleetDigest, at: MonotonicTime) {
        val now = context.clock.now()
        quarantine.expire(now)
        for (sound in digest.soundPieces) {
            apply(quarantine.recordBeginning(listOf(sound.piece), at - sound.ageMillis.milliseconds, now), peer)
        }
        for (crash in digest.pieceCrashes) {
            apply(quarantine.recordCrash(crash.target, crash.pieces, at - crash.ageMillis.milliseconds, now), peer)
        }
        for (held in digest.pieceQuarantines) apply(quarantine.adopt(held.pieces, at + held.remainingMillis.milliseconds), peer)
    }

    private fun apply(changes: List<PieceQuarantineChange>, peer: InstanceId?) {
        for (change in changes) {
            when (change) {
                is PieceQuarantineChange.Quarantined -> log.event(
                    "pieces_quarantined",
                    "pieces" to text(change.pieces),
                    "targets" to change.targets.joinToString(",") { it.target.text },
                    "peer" to peer?.text,
                )

                is PieceQuarantineChange.Released -> log.event("pieces_released", "pieces" to text(change.pieces), "peer" to peer?.text)
            }
        }
        if (changes.any { it is PieceQuarantineChange.Quarantined }) context.exchanges.toList().forEach { it.withdrawIfQuarantined() }
    }

    private fun <T> add(queue: ArrayDeque<Outgoing<T>>, capacity: Int, item: Outgoing<T>) {
        queue.addLast(item)
        if (queue.size > capacity) queue.removeFirst()
    }

    private fun <T> recent(queue: ArrayDeque<Outgoing<T>>, now: MonotonicTime): List<Outgoing<T>> {
        while (queue.isNotEmpty() && now - queue.first().recordedAt > REPEAT_TIME) queue.removeFirst()
        return queue
    }

    companion object {
        /** How long a notice is repeated in digests; several digests carry it, in case datagrams are lost. */
        private val REPEAT_TIME: Duration = 2.seconds

        /** The largest numbers of notices in one digest, which must fit into a datagram together with a configuration. */
        private const val MAX_CRASHES = 16
        private const val MAX_SOUND_PIECES = 64

        /** The radix in which callers write the hashes of pieces. */
        private const val HEXADECIMAL = 16

        /** The hashes of [pieces] as callers write them. */
        fun text(pieces: Collection<Long>): String = pieces.joinToString(",") { it.toULong().toString(HEXADECIMAL) }
    }
}
