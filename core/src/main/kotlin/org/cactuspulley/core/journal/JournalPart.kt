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

/** The number of streams that intents are spread over. It is fixed, since a key must always lead to the same stream. */
public const val INTENT_PARTITIONS: Int = 1024

/** The stream that holds everything about [key]: one for each workspace, as few instances serve one. */
public fun intentStream(key: JournalKey): StreamName {
    val hash = Hashing.xxh3_64().hashCharsToLong(key.workspace?.text.orEmpty())
    return StreamName.intents(Math.floorMod(hash, INTENT_PARTITIONS))
}

/**
 * Lets each non-idempotent action run at most once over all instances.
 *
 * An intent is appended to the stream of its workspace. It is granted when its writer reads it back
 * as the first for its key, having read the stream in order; nobody else ever runs it. An outcome
 * follows. A writer that surely has not run a granted intent and never will gives the key free.
 */
public class JournalPart(
    private val self: InstanceId,
    private val incarnation: InstanceIncarnation,
    private val settings: JournalSettings = JournalSettings(),
) : CorePart {
    private val partitions = mutableMapOf<StreamName, JournalPartition>()
    private val claims = LinkedHashMap<RequestId, JournalClaim>()
    private val keptAnswers = KeptAnswers(settings.maxKeptAnswerBytes)
    private var membership: Membership? = null
    private var lastSequenceNumber = 0L

    /** Intents that were given up before they were read; they are given free when they appear. */
    private val abandonedIntents = LinkedHashSet<IntentId>()

    /** Whether outcomes are still on their way to the log. */
    public val hasUnconfirmedEntries: Boolean get() = partitions.values.any { it.hasUnconfirmedEntries }

    override val nextDeadline: MonotonicTime?
        get() {
            val claimDeadline = claims.values.filter { it.state != ClaimState.GRANTED }.minOfOrNull { it.stateDeadline }
            return partitions.values.fold(claimDeadline) { earliestDeadline, partition ->
                earliest(earliestDeadline, earliest(partition.nextDeadline, partition.idleDeadline))
            }
        }

    /** Asks whether [request] may run; answered by [ClaimResolved]. */
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

    /** Records how [request], whose claim was granted, ended. */
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

    /** Gives up the claim of [request], pending or granted: it has not run and never will. */
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

    private fun handleIntent(partition: JournalPartition, entry: JournalEntry.Intent, now: MonotonicTime, effects: MutableList<CoreEffect>) {
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

    /** Decides a claim whose key another intent holds, or lets it wait for that one's outcome. */
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

    private fun decisionAgainst(holder: KeyState, claim: JournalClaim): ClaimDecision? = when {
        holder.fingerprint != claim.fingerprint -> ClaimDecision.KeyReused
        holder.outcome is JournalOutcome.Answered -> ClaimDecision.Recorded(holder.outcome.answer)
        holder.outcome == JournalOutcome.AnsweredNotKept -> ClaimDecision.NotKept
        holder.outcome == JournalOutcome.Unknown || writerHasRestarted(holder) -> ClaimDecision.OutcomeUnknown
        else -> null
    }

    private fun writerHasRestarted(holder: KeyState): Boolean {
        val currentIncarnation = if (holder.writer == self) incarnation else membership?.instances?.get(holder.writer)?.incarnation
        return currentIncarnation != null && currentIncarnation > holder.writerIncarnation
    }

    private fun resolveWaitingClaims(partition: JournalPartition, key: JournalKey, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        val holder = partition.index[key]
        for (claim in claims.values.filter { it.key == key && it.state == ClaimState.AWAITING_OUTCOME }) {
            if (holder == null) retryClaim(claim, now, effects) else resolveAgainst(holder, claim, now, effects)
        }
    }

    /** Appends a new intent for a claim whose key was given free. */
    private fun retryClaim(claim: JournalClaim, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        claims.remove(claim.request)
        effects += claim(claim.request, claim.key, claim.fingerprint, claim.deadline, now)
    }

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
        /** Time kept from the caller's patience so that the answer still reaches it. */
        val ANSWER_MARGIN = 200.milliseconds

        /** An intent that appears after it was dropped from memory keeps its key blocked, which is safe. */
        const val MAX_ABANDONED_INTENTS = 100_000
    }
}
