package org.cactuspulley.core.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.cactuspulley.core.effect.AnswerWithdrawal
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.RecordOnTimeline
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.effect.WithdrawalState
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.InstancesListed
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.NeighboursChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.WithdrawalRequested
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.InstanceState
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.message.Heartbeat
import org.cactuspulley.core.message.HeartbeatAnswer
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.message.ReachabilityEvidence
import org.cactuspulley.core.message.RelayedKnowledge
import org.cactuspulley.core.message.WithdrawalsSpread
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.earliest
import org.cactuspulley.core.model.rendezvousRank
import org.cactuspulley.core.record.ConfigurationSnapshot
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.WithdrawKey
import org.cactuspulley.core.requests.RequestDescription
import org.cactuspulley.core.timeline.ConfigurationApplied
import org.cactuspulley.core.timeline.FreshnessChanged
import org.cactuspulley.core.timeline.SnapshotAppended
import org.cactuspulley.core.timeline.WithdrawalInForce
import kotlin.time.Duration.Companion.milliseconds

/**
 * Maintains this instance's replica of the operators' configuration, decides whether the replica is
 * fresh enough to serve with, and authorizes requests against it.
 *
 * The replica follows the operators' stream of the log, and neighbours exchange its content in heartbeats. It is
 * fresh if the stream was read to its end within [ConfigurationTiming.freshnessLimit], either by this
 * instance or by an instance whose knowledge was relayed to it. While no instance can read the log, this
 * instance continues to serve as long as it has recent contact with a majority of the electorate, which is
 * the last known instance list. Each such contact also relays everything that the peer knows.
 *
 * The part starts when it handles its first event.
 *
 * @param self the local instance.
 */
public class ConfigurationPart(
    private val self: Instance,
    private val timing: ConfigurationTiming = ConfigurationTiming(),
) : Authorization {
    private val replica = ConfigurationReplica()
    private val withdrawals = PendingWithdrawals(self.id)
    private val reachability = Reachability(self.id)
    private val snapshotSchedule = SnapshotSchedule(timing)
    private val unansweredWithdrawals = ArrayList<UnansweredWithdrawal>()
    private val heartbeatSentAt = LinkedHashMap<Long, MonotonicTime>()
    private var membership = Membership(self.id, mapOf(self.id to self))
    private var neighbours = emptyList<Instance>()
    private val freshness = Freshness(timing.freshnessLimit, timing.settlingTime)
    private var logReadAsOf: MonotonicTime? = null
    private var isBehindLog = false
    private var hasReadFailed = false
    private var listShrunkSince: MonotonicTime? = null
    private var startedAt = MonotonicTime.ZERO
    private var isInformed = false
    private var heartbeatDeadline: MonotonicTime? = null
    private var lastHeartbeatNumber = self.incarnation.number * HEARTBEATS_PER_INCARNATION
    private var appendedRecords = 0L
    private var status: ConfigurationStatus = ConfigurationStatus.NO_CONFIGURATION
    private var publishedState: Pair<Configuration, Long>? = null

    /** The configuration in force on this instance: the replica plus the withdrawals that are not in the log yet. */
    public var effective: Configuration = Configuration()
        private set

    override val nextDeadline: MonotonicTime?
        get() = listOf(
            heartbeatDeadline,
            snapshotSchedule.deadline,
            withdrawals.nextDeadline,
            unansweredWithdrawals.minOfOrNull { it.nextDeadline },
        )
            .fold(null as MonotonicTime?, ::earliest)

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        val effects = mutableListOf<CoreEffect>()
        if (heartbeatDeadline == null) start(now, effects)
        when (event) {
            is RecordsRead -> if (event.stream == StreamName.OPERATORS) handleRecords(event, now)
            is ReadFailed -> if (event.stream == StreamName.OPERATORS) handleReadFailure(now)
            is MembershipChanged -> membership = event.membership
            is NeighboursChanged -> handleNeighbours(event.neighbours, now)
            is InstancesListed -> handleInstanceList(event, now)
            is PeerMessageReceived -> handlePeerMessage(event.from, event.message, now, effects)
            is WithdrawalRequested -> withdraw(event, now, effects)
            else -> Unit
        }
        updateInformed(now)
        runTimers(now, effects)
        publishChanges(now, effects)
        return effects
    }

    override fun authorize(request: RequestDescription, now: MonotonicTime): Result<Grant, AuthorizationFailure> =
        if (statusAt(now).serves) effective.grantFor(request) else Err(AuthorizationFailure.ConfigurationStale)

    override fun mayStart(key: KeyDigest?, now: MonotonicTime): Boolean = statusAt(now).serves && effective.permitsStart(key)

    /** Returns whether this instance may serve at [now], and on which basis. */
    public fun statusAt(now: MonotonicTime): ConfigurationStatus = when {
        !replica.isComplete -> ConfigurationStatus.NO_CONFIGURATION
        freshness.isFresh(now) -> ConfigurationStatus.FRESH
        isInformed && !isBehindLog && reachability.reachesMajority(now, timing.freshnessLimit) -> ConfigurationStatus.MAJORITY
        else -> ConfigurationStatus.STALE
    }

    private fun isRecent(asOf: MonotonicTime?, now: MonotonicTime): Boolean = asOf != null && now - asOf <= timing.freshnessLimit

    private fun start(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        startedAt = now
        heartbeatDeadline = now
        snapshotSchedule.start(now)
        effects += FollowStream(StreamName.OPERATORS, replica.configuration.next)
    }

    /**
     * Updates whether this instance counts towards majorities. A newly started instance has missed all
     * earlier events, so it does not count until it is fresh or has merged the knowledge of a majority.
     */
    private fun updateInformed(now: MonotonicTime) {
        if (!replica.isComplete) return
        val isCaughtUp = reachability.contactedMajoritySince(maxOf(startedAt, now - timing.freshnessLimit))
        if (isCaughtUp) freshness.settle()
        isInformed = isInformed || isCaughtUp || freshness.isFresh(now)
    }

    private fun handleReadFailure(now: MonotonicTime) {
        hasReadFailed = true
        freshness.interrupt(now)
    }

    private fun handleRecords(read: RecordsRead, now: MonotonicTime) {
        val isUpToDate = replica.merge(read)
        if (hasReadFailed) withdrawals.bringForward(now + timing.appendStagger * rankFor(OUTAGE_END_RANK_KEY))
        hasReadFailed = false
        logReadAsOf = latest(logReadAsOf, read.askedAt)
        isBehindLog = !isUpToDate || !read.reachedTail
        if (!isBehindLog) freshness.renew(read.askedAt, now)
        withdrawals.removeLogged(replica.configuration)
        if (isUpToDate) snapshotSchedule.update(replica, read.firstKept, membership, now)
    }

    /** Sends a heartbeat to a new neighbour at once, so a started instance does not wait for the next interval. */
    private fun handleNeighbours(changed: List<Instance>, now: MonotonicTime) {
        val hasNewNeighbour = changed.any { instance -> neighbours.none { it.id == instance.id } }
        neighbours = changed
        if (hasNewNeighbour) heartbeatDeadline = now
    }

    /**
     * Replaces the electorate by the listed instances. The electorate does not change while no instance
     * reads the log; otherwise both halves of a network partition could shrink it to themselves. A list
     * that suddenly lacks a majority of the electorate, as after an outage of the list, is ignored until
     * it has remained so for [ConfigurationTiming.electorateShrinkDelay].
     */
    private fun handleInstanceList(event: InstancesListed, now: MonotonicTime) {
        val listed = event.instances.filter { it.state == InstanceState.LIVE }
        if (listed.isEmpty()) return
        val ids = listed.mapTo(HashSet()) { it.id } + self.id
        val isPlausible = reachability.electorate.isEmpty() || reachability.isMajority(ids)
        if (isPlausible) listShrunkSince = null else listShrunkSince = listShrunkSince ?: now
        val isListShrunkLongEnough = listShrunkSince?.let { now - it >= timing.electorateShrinkDelay } ?: false
        when {
            freshness.isRecent(now) && (isPlausible || isListShrunkLongEnough) -> reachability.replaceElectorate(ids, event.askedAt)
            reachability.electorate.isEmpty() -> reachability.replaceElectorate(ids, asOf = null)
        }
    }

    private fun handlePeerMessage(from: InstanceId, message: PeerMessage, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        when (message) {
            is Heartbeat -> effects += SendToPeer(from, answerTo(message, now))
            is HeartbeatAnswer -> handleHeartbeatAnswer(from, message, now, effects)
            is WithdrawalsSpread -> mergeWithdrawals(message.digests.associateWith { setOf(from) }, from, now, effects)
            else -> Unit
        }
    }

    private fun answerTo(heartbeat: Heartbeat, now: MonotonicTime): HeartbeatAnswer = HeartbeatAnswer(
        number = heartbeat.number,
        incarnation = self.incarnation,
        state = ownState(),
        next = ownNextOffset(),
        isInformed = isInformed,
        freshMillis = freshness.asOf.takeIf { freshness.isFresh(now) }?.let { (now - it).inWholeMilliseconds + 1 },
        knowledge = knowledgeFor(heartbeat, now),
        evidence = evidenceFor(heartbeat, now),
    )

    private fun knowledgeFor(heartbeat: Heartbeat, now: MonotonicTime): RelayedKnowledge? {
        val lacksWithdrawals = heartbeat.withdrawals != withdrawals.hash && withdrawals.digests.isNotEmpty()
        val hasOtherElectorate = heartbeat.electorate != reachability.electorateHash
        val electorateAsOf = reachability.electorateAsOf.takeIf { hasOtherElectorate }
        val state = replica.knowledgeSince(heartbeat.next)
        if (state == null && !lacksWithdrawals && electorateAsOf == null) return null
        return (state ?: RelayedKnowledge()).copy(
            withdrawals = if (lacksWithdrawals) withdrawals.knownBy else emptyMap(),
            electorate = electorateAsOf?.let { reachability.electorate },
            electorateMillis = electorateAsOf?.let { (now - it).inWholeMilliseconds + 1 } ?: 0,
        )
    }

    private fun evidenceFor(heartbeat: Heartbeat, now: MonotonicTime): ReachabilityEvidence? {
        if (!heartbeat.needsEvidence && !needsEvidence(now)) return null
        return reachability.evidence(now, isInformed, includeContacts = heartbeat.needsEvidence)
    }

    private fun needsEvidence(now: MonotonicTime): Boolean {
        val asOf = freshness.asOf ?: return true
        return !freshness.isFresh(now) || now - asOf > timing.freshnessLimit / 2
    }

    private fun handleHeartbeatAnswer(from: InstanceId, answer: HeartbeatAnswer, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        val sentAt = heartbeatSentAt[answer.number] ?: return
        answer.knowledge?.let { mergeKnowledge(from, it, sentAt, now, effects) }
        if (answer.next > ownNextOffset()) return
        answer.freshMillis?.let { mergeFreshness(sentAt - it.milliseconds, now) }
        reachability.recordContact(from, sentAt, answer.isInformed)
        answer.evidence?.let { reachability.merge(it, sentAt) }
    }

    /** The peer is fresh and has relayed everything that it knows, so this instance is as fresh as the peer. */
    private fun mergeFreshness(asOf: MonotonicTime, now: MonotonicTime) {
        if (now - asOf > timing.freshnessLimit) return
        freshness.renew(asOf, now)
        freshness.settle()
    }

    private fun mergeKnowledge(
        from: InstanceId,
        knowledge: RelayedKnowledge,
        sentAt: MonotonicTime,
        now: MonotonicTime,
        effects: MutableList<CoreEffect>,
    ) {
        val before = ownNextOffset()
        replica.merge(knowledge)
        withdrawals.removeLogged(replica.configuration)
        mergeWithdrawals(knowledge.withdrawals, from, now, effects)
        mergeElectorate(knowledge, sentAt)
        if (ownNextOffset() == before) return
        effects += RecordOnTimeline(ConfigurationApplied(replica.configuration.next, from))
        if (knowledge.snapshot != null) effects += FollowStream(StreamName.OPERATORS, replica.configuration.next)
    }

    private fun mergeElectorate(knowledge: RelayedKnowledge, sentAt: MonotonicTime) {
        val electorate = knowledge.electorate ?: return
        val asOf = sentAt - knowledge.electorateMillis.milliseconds
        val own = reachability.electorateAsOf
        if (own == null || own < asOf) reachability.replaceElectorate(electorate, asOf)
    }

    private fun mergeWithdrawals(
        knownBy: Map<KeyDigest, Set<InstanceId>>,
        from: InstanceId,
        now: MonotonicTime,
        effects: MutableList<CoreEffect>,
    ) {
        val newWithdrawals = knownBy.filter { (digest, others) ->
            addWithdrawal(digest, others + from, appendDeadline(digest, now), effects)
        }
        if (newWithdrawals.isNotEmpty()) forwardWithdrawals(newWithdrawals.keys, except = from, effects)
    }

    private fun addWithdrawal(
        digest: KeyDigest,
        others: Set<InstanceId>,
        appendDeadline: MonotonicTime,
        effects: MutableList<CoreEffect>,
    ): Boolean {
        if (digest in replica.configuration.withdrawnKeys) return false
        if (!withdrawals.add(digest, others, appendDeadline)) return false
        effects += RecordOnTimeline(WithdrawalInForce(digest))
        return true
    }

    private fun forwardWithdrawals(digests: Set<KeyDigest>, except: InstanceId?, effects: MutableList<CoreEffect>) {
        neighbours.filter { it.id != except }.mapTo(effects) { SendToPeer(it.id, WithdrawalsSpread(digests)) }
    }

    /** The instance that received the withdrawal appends it first. If it does not, the others append it in order of their rank. */
    private fun appendDeadline(digest: KeyDigest, now: MonotonicTime): MonotonicTime {
        return now + timing.appendRetryDelay * 2 + timing.appendStagger * rankFor(digest.hexadecimal)
    }

    private fun rankFor(key: String): Int =
        rendezvousRank(key, membership.instances.keys) { it.text }.indexOf(self.id).coerceAtLeast(0)

    private fun withdraw(event: WithdrawalRequested, now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (event.digest in replica.configuration.withdrawnKeys) {
            effects += AnswerWithdrawal(event.requestNumber, WithdrawalState.KEPT)
            return
        }
        unansweredWithdrawals +=
            UnansweredWithdrawal(event.requestNumber, event.digest, now + timing.freshnessLimit * ANSWER_TIMEOUT_FACTOR)
        if (addWithdrawal(event.digest, emptySet(), now, effects)) forwardWithdrawals(setOf(event.digest), except = null, effects)
    }

    private fun runTimers(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        if (isDue(heartbeatDeadline, now)) sendHeartbeats(now, effects)
        appendWithdrawals(now, effects)
        if (isDue(snapshotSchedule.deadline, now)) appendSnapshot(now, effects)
        answerWithdrawalRequests(now, effects)
    }

    private fun isDue(deadline: MonotonicTime?, now: MonotonicTime): Boolean = deadline != null && deadline <= now

    private fun sendHeartbeats(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        heartbeatDeadline = now + timing.heartbeatInterval
        val number = ++lastHeartbeatNumber
        heartbeatSentAt[number] = now
        heartbeatSentAt.values.removeIf { it + timing.freshnessLimit < now }
        val heartbeat =
            Heartbeat(
                number,
                self.incarnation,
                ownState(),
                ownNextOffset(),
                withdrawals.hash,
                reachability.electorateHash,
                needsEvidence(now),
            )
        neighbours.mapTo(effects) { SendToPeer(it.id, heartbeat) }
    }

    private fun appendWithdrawals(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        withdrawals.rescheduleDue(now, now + timing.appendRetryDelay * 2).mapTo(effects) { append(WithdrawKey(it)) }
    }

    private fun appendSnapshot(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        snapshotSchedule.scheduleRetry(now)
        if (!isRecent(logReadAsOf, now) || !freshness.isFresh(now) || ownNextOffset() <= 0) return
        effects += append(ConfigurationSnapshot(replica.configuration))
        effects += RecordOnTimeline(SnapshotAppended(replica.configuration.next))
    }

    private fun append(record: LogRecord): AppendRecord {
        appendedRecords += 1
        return AppendRecord(StreamName.OPERATORS, RecordId("${self.id}-${self.incarnation.number}-configuration-$appendedRecords"), record)
    }

    /**
     * Answers the withdrawal requests that are decided or have timed out.
     *
     * Once a majority knows of a withdrawal, an instance that does not know of it can serve only until
     * its last contact with that majority expires. The withdrawal is reported as in force after that time.
     * This rule applies only while the log is unavailable: an instance that reads the log may serve
     * without a majority, so the withdrawal has to be read back from the log.
     */
    private fun answerWithdrawalRequests(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        unansweredWithdrawals.replaceAll { request ->
            val isLogUnavailable = !isRecent(logReadAsOf, now)
            val becomesKnownToMajority = request.inForceAt == null && isLogUnavailable && isKnownByMajority(request.digest)
            if (becomesKnownToMajority) request.copy(inForceAt = now + timing.freshnessLimit) else request
        }
        val (answered, unanswered) = unansweredWithdrawals.partition { isInLog(it.digest) || it.nextDeadline <= now }
        answered.mapTo(effects) { AnswerWithdrawal(it.requestNumber, stateOf(it, now)) }
        unansweredWithdrawals.clear()
        unansweredWithdrawals += unanswered
    }

    private fun isKnownByMajority(digest: KeyDigest): Boolean = reachability.isMajority(withdrawals.knownBy[digest].orEmpty())

    private fun isInLog(digest: KeyDigest): Boolean = digest in replica.configuration.withdrawnKeys

    private fun stateOf(request: UnansweredWithdrawal, now: MonotonicTime): WithdrawalState = when {
        isInLog(request.digest) -> WithdrawalState.KEPT
        request.inForceAt != null && request.inForceAt <= now -> WithdrawalState.IN_FORCE_NOT_KEPT
        else -> WithdrawalState.IN_FORCE_HERE_ONLY
    }

    private fun publishChanges(now: MonotonicTime, effects: MutableList<CoreEffect>) {
        val state = replica.configuration to withdrawals.hash
        if (replica.isComplete && state != publishedState) {
            val hasNewOffset = publishedState?.first?.next != state.first.next
            publishedState = state
            effective = state.first.copy(withdrawnKeys = state.first.withdrawnKeys + withdrawals.digests)
            if (hasNewOffset) effects += RecordOnTimeline(ConfigurationApplied(effective.next))
            effects += Publish(ConfigurationChanged(effective))
        }
        val current = statusAt(now)
        if (current == status) return
        status = current
        effects += RecordOnTimeline(FreshnessChanged(current.name))
    }

    private fun ownState(): InstanceState = membership.instances[self.id]?.state ?: InstanceState.LIVE

    private fun ownNextOffset(): Long = if (replica.isComplete) replica.configuration.next.number else NO_OFFSET

    private fun latest(first: MonotonicTime?, second: MonotonicTime): MonotonicTime = if (first == null) second else maxOf(first, second)

    private companion object {
        /** The time limit for the answer to a withdrawal request, as a multiple of [ConfigurationTiming.freshnessLimit]. */
        const val ANSWER_TIMEOUT_FACTOR = 3

        /** The key that ranks the instances for appending pending withdrawals after an outage of the log. */
        const val OUTAGE_END_RANK_KEY = "outage-end"

        /** The offset that an instance reports while its replica is incomplete. */
        const val NO_OFFSET = -1L

        /** Separates the heartbeat numbers of incarnations, so an answer to an earlier incarnation is not matched to this one. */
        const val HEARTBEATS_PER_INCARNATION = 1_000_000L
    }
}

/** Whether an instance may serve with its configuration, and on which basis. */
public enum class ConfigurationStatus(public val serves: Boolean) {
    /** The replica is not complete yet. */
    NO_CONFIGURATION(false),

    /** The log was read to its end recently, by this instance or by an instance that relayed its knowledge. */
    FRESH(true),

    /** The configuration is not fresh, but this instance has recent contact with a majority of the electorate. */
    MAJORITY(true),

    /** This instance may have missed withdrawals. */
    STALE(false),
}

/**
 * A withdrawal request that has not been answered yet.
 *
 * @property requestNumber the number that the answer repeats.
 * @property digest the key to withdraw.
 * @property deadline when the request is answered at the latest.
 * @property inForceAt when the withdrawal is in force on every serving instance; null until a majority knows of it.
 */
private data class UnansweredWithdrawal(
    val requestNumber: Long,
    val digest: KeyDigest,
    val deadline: MonotonicTime,
    val inForceAt: MonotonicTime? = null,
) {
    val nextDeadline: MonotonicTime get() = if (inForceAt == null) deadline else minOf(deadline, inForceAt)
}
