package org.cactuspulley.core.journal

import com.dynatrace.hash4j.hashing.Hashing
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.RecordOnTimeline
import org.cactuspulley.core.effect.UnfollowStream
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.ClaimResolved
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.earliest
import org.cactuspulley.core.record.JournalRecord
import org.cactuspulley.core.timeline.JournalTimelineEvent
import kotlin.time.Duration.Companion.milliseconds

/** The number of streams that intents are distributed over. It is fixed because a key must always map to the same stream. */
public const val INTENT_PARTITIONS: Int = 1024

/** Returns the stream of the entries about [key]. All keys of a workspace share a stream because few instances serve a workspace. */
public fun intentStream(key: JournalKey): StreamName {
    val hash = Hashing.xxh3_64().hashCharsToLong(key.workspace?.text.orEmpty())
    return StreamName.intents(Math.floorMod(hash, INTENT_PARTITIONS))
}

/**
 * Ensures that each non-idempotent request runs at most once across all instances.
 *
 * An intent is appended to the stream of its workspace. The claim is granted when the writer, which reads
 * the stream in order, reads the intent back as the first one for its key. No other instance ever runs the
 * request of that intent. When the request has ended, the writer appends the outcome. If the writer
 * certainly has not run the request and never will, the outcome frees the key.
 *
 * @property self the id of this instance.
 * @property incarnation the incarnation of this instance.
 * @property settings the limits of the journal.
 */
public class JournalPart(
    private val self: InstanceId,
    private val incarnation: InstanceIncarnation,
    private val settings: JournalSettings = JournalSettings(),
) : CorePart {
    /** Holds the streams that this instance follows. */
    private val partitions = mutableMapOf<StreamName, JournalPartition>()

    /** Holds the undecided and the granted claims by request. */
    private val claims = LinkedHashMap<RequestId, JournalClaim>()
    private val keptAnswers = KeptAnswers(settings.maxKeptAnswerBytes)
    private var membership: Membership? = null

    /** Holds the number in the last intent id or record id, which makes the ids of this incarnation unique. */
    private var lastSequenceNumber = 0L

    /** Holds the intents that were abandoned before they were read back. Their keys are freed when they appear in the log. */
    private val abandonedIntents = LinkedHashSet<IntentId>()

    /** Tells whether entries, such as outcomes, are not yet known to be in the log. */
    public val hasUnconfirmedEntries: Boolean get() = partitions.values.any { it.hasUnconfirmedEntries }

    override val nextDeadline: MonotonicTime?
        get() {
            val claimDeadline = claims.values.filter { it.state != ClaimState.GRANTED }.minOfOrNull { it.stateDeadline }
            return partitions.values.fold(claimDeadline) { earliestDeadline, partition ->
                earliest(earliestDeadline, earliest(partition.nextDeadline, partition.idleDeadline))
            }
        }

    /**
     * Claims [key] for [request]. The decision is published as [ClaimResolved], unless the claim is cancelled before.
     *
     * @param fingerprint the hash of the request body, by which a reuse of the key for a different request is detected.
     * @param deadline the time at which the caller stops waiting.
     */
    public fun claim(
        request: RequestId,
        key: JournalKey,
        fingerprint: Long,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        val partition = followPartition(key, now, effects)
        val stateDeadline = minOf(deadline, now + settings.claimTimeout)
        val claim = JournalClaim(request, nextIntentId(), key, fingerprint, deadline, ClaimState.PENDING, stateDeadline)
        claims[request] = claim
        val holder = partition.index[key]
        if (holder != null) {
            resolveAgainst(holder, claim, now, effects)
        } else {
            partition.add(JournalEntry.Intent(claim.intent, key, fingerprint))
            partition.flush(now)?.let { effects += it }
        }
        return effects
    }

    /** Records [outcome] as the outcome of [request], whose claim was granted. */
    public fun finish(request: RequestId, outcome: JournalOutcome, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        val claim = claims.remove(request) ?: return effects
        val partition = followPartition(claim.key, now, effects)
        if (outcome != JournalOutcome.NeverSent && partition.index[claim.key]?.intent == claim.intent) {
            partition.index.replaceOutcome(claim.key, outcome)
            trackKeptAnswer(partition, claim.key, outcome)
            resolveWaitingClaims(partition, claim.key, now, effects)
        }
        partition.add(JournalEntry.Outcome(claim.intent, claim.key, claim.fingerprint, outcome))
        partition.flush(now)?.let { effects += it }
        return effects
    }

    /** Cancels the claim of [request] in any state. The request has not run and never will. */
    public fun cancel(request: RequestId, now: MonotonicTime): List<CoreEffect> {
        val claim = claims[request] ?: return emptyList()
        if (claim.state == ClaimState.GRANTED) return finish(request, JournalOutcome.NeverSent, now)
        abandon(claim)
        return emptyList()
    }

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        when (event) {
            is RecordsRead -> partitions[event.stream]?.let { handleRecordsRead(it, event, now, effects) }
            is AppendAcknowledged -> partitions[event.stream]?.updateAppender { confirmAppend(event.recordId) }
            is AppendUncertain -> partitions[event.stream]?.updateAppender { retryAppend(event.recordId, now) }
            is MembershipChanged -> handleMembershipChange(event.membership, now, effects)
            TimerFired -> handleTimer(now, effects)
            else -> return effects
        }
        partitions.values.forEach { partition -> partition.flush(now)?.let { effects += it } }
        return effects
    }

    /** Returns the stream of [key], follows it if necessary, and extends its idle deadline. */
    private fun followPartition(key: JournalKey, now: MonotonicTime, effects: MutableList<CoreEffect>): JournalPartition {
        val stream = intentStream(key)
        val partition = partitions.getOrPut(stream) {
            effects += FollowStream(stream, LogOffset.FIRST)
            val appender = BatchAppender<JournalEntry>(stream, settings.appendRetryDelay, ::nextRecordId) {
                JournalRecord(self, incarnation, it)
            }
            JournalPartition(stream, appender, now + settings.idleTimeout)
        }
        partition.idleDeadline = now + settings.idleTimeout
        return partition
    }

    private fun handleRecordsRead(partition: JournalPartition, event: RecordsRead, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        val entries = partition.applyRead(event)
        for (entry in entries) {
            if (entry is JournalEntry.Outcome) trackKeptAnswer(partition, entry.key, entry.outcome)
            if (entry is JournalEntry.Intent) handleIntent(partition, entry, now, effects)
        }
        entries.map { it.key }.toSet().forEach { resolveWaitingClaims(partition, it, now, effects) }
    }

    /** Frees the key of an abandoned intent, and decides the pending claim that [entry] belongs to. */
    private fun handleIntent(
        partition: JournalPartition,
        entry: JournalEntry.Intent,
        now: MonotonicTime,
        effects: MutableList<CoreEffect>,
    ) {
        val holder = partition.index[entry.key]
        val isHolder = holder?.intent == entry.intent
        if (abandonedIntents.remove(entry.intent)) {
            if (isHolder) partition.add(JournalEntry.Outcome(entry.intent, entry.key, entry.fingerprint, JournalOutcome.NeverSent))
            return
        }
        val claim = claims.values.firstOrNull { it.intent == entry.intent && it.state == ClaimState.PENDING } ?: return
        when {
            holder == null -> retryClaim(claim, now, effects)

            !isHolder -> resolveAgainst(holder, claim, now, effects)

            now < claim.stateDeadline -> {
                claims[claim.request] = claim.copy(state = ClaimState.GRANTED)
                effects += decisionEffects(claim, ClaimDecision.RunHere)
            }

            else -> {
                claims.remove(claim.request)
                partition.add(JournalEntry.Outcome(entry.intent, entry.key, entry.fingerprint, JournalOutcome.NeverSent))
                effects += decisionEffects(claim, ClaimDecision.LogUnavailable)
            }
        }
    }

    /** Decides [claim], whose key is held by the intent of [holder], or lets it wait for the outcome of that intent. */
    private fun resolveAgainst(holder: KeyState, claim: JournalClaim, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        val decision = decisionAgainst(holder, claim)
        if (decision == null) {
            val stateDeadline = minOf(claim.deadline - ANSWER_MARGIN, now + settings.outcomeTimeout)
            claims[claim.request] = claim.copy(state = ClaimState.AWAITING_OUTCOME, stateDeadline = stateDeadline)
            return
        }
        claims.remove(claim.request)
        effects += decisionEffects(claim, decision)
    }

    /** Returns the decision on [claim], or null if the outcome of [holder] has to be awaited. */
    private fun decisionAgainst(holder: KeyState, claim: JournalClaim): ClaimDecision? = when {
        holder.fingerprint != claim.fingerprint -> ClaimDecision.KeyReused
        holder.outcome is JournalOutcome.Answered -> ClaimDecision.Recorded(holder.outcome.answer)
        holder.outcome == JournalOutcome.AnsweredNotKept -> ClaimDecision.NotKept
        holder.outcome == JournalOutcome.Unknown || writerHasRestarted(holder) -> ClaimDecision.OutcomeUnknown
        else -> null
    }

    /** Tells whether the incarnation that wrote the intent has been replaced, so that it will not record an outcome any more. */
    private fun writerHasRestarted(holder: KeyState): Boolean {
        val currentIncarnation = if (holder.writer == self) incarnation else membership?.instances?.get(holder.writer)?.incarnation
        return currentIncarnation != null && currentIncarnation > holder.writerIncarnation
    }

    /** Decides again the claims that wait for the outcome of [key]. */
    private fun resolveWaitingClaims(partition: JournalPartition, key: JournalKey, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        val holder = partition.index[key]
        for (claim in claims.values.filter { it.key == key && it.state == ClaimState.AWAITING_OUTCOME }) {
            if (holder == null) retryClaim(claim, now, effects) else resolveAgainst(holder, claim, now, effects)
        }
    }

    /** Claims the key again with a new intent after the key was freed. */
    private fun retryClaim(claim: JournalClaim, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        claims.remove(claim.request)
        effects += claim(claim.request, claim.key, claim.fingerprint, claim.deadline, now)
    }

    /** Counts an answer towards the memory limit. When it is evicted, the index keeps only the fact that there was one. */
    private fun trackKeptAnswer(partition: JournalPartition, key: JournalKey, outcome: JournalOutcome) {
        if (outcome !is JournalOutcome.Answered) return
        keptAnswers.add(outcome.answer) {
            if (partition.index[key]?.outcome == outcome) partition.index.replaceOutcome(key, JournalOutcome.AnsweredNotKept)
        }
    }

    private fun handleMembershipChange(newMembership: Membership, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        membership = newMembership
        val waitingKeys = claims.values.filter { it.state == ClaimState.AWAITING_OUTCOME }.map { it.key }.toSet()
        waitingKeys.forEach { key -> partitions[intentStream(key)]?.let { resolveWaitingClaims(it, key, now, effects) } }
    }

    /** Decides claims whose time has run out, and stops following idle streams. */
    private fun handleTimer(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        for (claim in claims.values.filter { it.state != ClaimState.GRANTED && now >= it.stateDeadline }) {
            abandon(claim)
            val awaitedOutcome = claim.state == ClaimState.AWAITING_OUTCOME
            effects += decisionEffects(claim, if (awaitedOutcome) ClaimDecision.OutcomeUnknown else ClaimDecision.LogUnavailable)
        }
        val inUse = claims.values.map { intentStream(it.key) }.toSet()
        val idle = partitions.values.filter { now >= it.idleDeadline }
        for (partition in idle) {
            if (partition.hasUnconfirmedEntries || partition.stream in inUse) {
                partition.idleDeadline = now + settings.idleTimeout
            } else {
                partitions.remove(partition.stream)
                effects += UnfollowStream(partition.stream)
            }
        }
    }

    /** Removes [claim]. The key of a pending intent is freed if the intent appears in the log nevertheless. */
    private fun abandon(claim: JournalClaim) {
        claims.remove(claim.request)
        if (claim.state != ClaimState.PENDING) return
        abandonedIntents += claim.intent
        if (abandonedIntents.size > MAX_ABANDONED_INTENTS) abandonedIntents.remove(abandonedIntents.first())
        partitions[intentStream(claim.key)]?.discardIntent(claim.intent)
    }

    private fun decisionEffects(claim: JournalClaim, decision: ClaimDecision): List<CoreEffect> = listOf(
        RecordOnTimeline(JournalTimelineEvent.ClaimDecided(claim.request, claim.key.workspace, decision.label())),
        Publish(ClaimResolved(claim.request, decision)),
    )

    private fun nextIntentId() = IntentId("${self.text}-${incarnation.number}-${++lastSequenceNumber}")

    private fun nextRecordId() = RecordId("${self.text}-${incarnation.number}-journal-${++lastSequenceNumber}")

    private companion object {
        /** The time before the caller's deadline at which waiting ends, so that the answer still reaches the caller. */
        val ANSWER_MARGIN = 200.milliseconds

        /**
         * The limit on the remembered abandoned intents. If an intent appears in the log after it was forgotten, its key
         * stays blocked, which is safe.
         */
        const val MAX_ABANDONED_INTENTS = 100_000
    }
}
