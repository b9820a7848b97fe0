package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.cactuspulley.core.forwarding.LeaseUse
import org.cactuspulley.core.forwarding.OrderLease
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.rollout.Release
import org.cactuspulley.core.rollout.ReleaseAction
import org.cactuspulley.core.rollout.ReleaseController
import org.cactuspulley.core.rollout.ReleaseOrder
import org.cactuspulley.core.rollout.ReleaseOrderId
import org.cactuspulley.core.rollout.ReleaseStage
import org.cactuspulley.core.rollout.ReleaseVerdict
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Executes the actions that a [ReleaseController] decides on, and reads from the store what the instance may not hear from its peers.
 *
 * States are appended on condition that their topic has not grown since it was last read, so that an instance that no longer holds the
 * lease can't overwrite the state of the next holder.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class ReleaseDriver(
    private val context: ForwardingContext,
    private val controller: ReleaseController,
    private val lease: OrderLease,
    private val rollout: RolloutDriver,
    private val store: RecordStore,
    private val operations: StoreFollower,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    /** The end of the topic of releases after this instance's last append in [era]. */
    private class AppendEnd(val era: Long, val end: Long)

    /** What was last logged about a release. */
    private class Logged(val release: Release, val stage: ReleaseStage?, val verdict: ReleaseVerdict?)

    private val releases = context.state.releases
    private val topic = StoreFollower(context, store, StoreTopic.RELEASES, ReleaseListener(), longReadWait = null) { false }
    private var appendEnd: AppendEnd? = null

    /** The states to be written after the one that is being written; an append has to know where the one before it ended. */
    private val pendingStates = ArrayDeque<ReleaseAction.WriteState>()
    private var isWriting = false

    /** How often the topic has been read since this instance holds the lease. */
    private var readsSinceClaim = 0

    /** When the topic may be read again because the holder is silent. */
    private var nextReadAt = MonotonicTime.ZERO

    /** Whether the operators' topic is being read because of an unknown version, and when it may be read again. */
    private var isConfirming = false
    private var nextConfirmAt = MonotonicTime.ZERO

    /** Whether the last read because of an unknown version failed, so that peers' reads count as well. */
    private var isConfirmationFailing = false

    /** Whether [advance] is running. */
    private var isAdvancing = false
    private val logged = HashMap<PoolName, Logged>()

    init {
        context.storeEra.onRise(::storeRestored)
        context.releases.onStateChange = ::advance
        topic.onRead = { _, _ ->
            readsSinceClaim++
            context.schedule(Duration.ZERO, ::advance)
        }
    }

    /** Records an operator's order, which was read at [offset] of the era [era]. */
    fun recordOrder(change: OperatorChange.Release, era: Long, offset: Long) {
        val now = context.clock.now()
        // After a pause of this process, the order may have been read long after it was written.
        val seenAt = context.loopDelay.earliestOrigin(now)
        val order = ReleaseOrder.seen(change.service, change.target, ReleaseOrderId(era, offset), change.duration, seenAt)
        val isNew = controller.recordOrder(order, now)
        context.log.event(
            "release_ordered",
            "service" to change.service.text,
            "version" to change.target,
            "seconds" to change.duration.inWholeSeconds,
            "offset" to offset,
            "era" to era,
            "new" to isNew,
        )
        advance()
    }

    /** Executes what is due; a timer calls it several times a second, and so must whoever changes what the decisions depend on. */
    fun advance() {
        // The store may answer a call at once, in the middle of a step; the timer makes the next one.
        if (isAdvancing) return
        isAdvancing = true
        try {
            val now = context.clock.now()
            confirmVersions(now)
            if (releases.all.isNotEmpty()) advanceReleases(now)
        } finally {
            isAdvancing = false
        }
    }

    private fun advanceReleases(now: MonotonicTime) {
        requireLease()
        val holdsLease = rollout.holdsLease(now)
        if (!holdsLease) readsSinceClaim = 0
        // Nothing is decided before the topic has been read again: the holder before may have decided already.
        val mustRead = holdsLease && readsSinceClaim < READS_AFTER_CLAIM
        if (mustRead) topic.read() else readTopic(now)
        val isLeaseHeld = holdsLease && !mustRead && !topic.isOutdated
        controller.step(now, context.releases.allEvidence(), isLeaseHeld).forEach { execute(it, now) }
        logChanges()
    }

    private fun requireLease() {
        val isRequired = controller.isLeaseNeeded
        lease.require(LeaseUse.RELEASES, isRequired)
        if (isRequired) rollout.advance()
    }

    private fun execute(action: ReleaseAction, now: MonotonicTime) = when (action) {
        is ReleaseAction.WriteState -> {
            pendingStates.addLast(action)
            writeNextState()
        }

        is ReleaseAction.WriteStatus -> writeStatus(action, now)
    }

    private fun writeNextState() {
        if (isWriting) return
        val action = pendingStates.removeFirstOrNull() ?: return
        val now = context.clock.now()
        val end = topicEnd()
        if (end == null || !rollout.holdsLease(now)) {
            written(action, isSuccess = false, "the lease is not held")
            return writeNextState()
        }
        isWriting = true
        val era = context.storeEra.current
        val record = Cbor.encodeToByteArray(ReleaseRecord.serializer(), ReleaseRecord.of(action.state, now, wallClockMillis()))
        store.append(StoreTopic.RELEASES, action.service.text, record, end) { result ->
            isWriting = false
            if (isCurrent(StoreTopic.RELEASES, result, era)) {
                result.fold(success = { appendEnd = AppendEnd(it.era, it.offset + 1) }, failure = {})
                written(action, isSuccess = true)
            } else {
                // The append may have happened, or another instance has written; what the topic holds now counts.
                appendEnd = null
                topic.read()
                written(action, isSuccess = false, result.toString())
            }
            writeNextState()
            advance()
        }
    }

    /** Where the next state is to be appended; null if that has to be read from the store first. */
    private fun topicEnd(): Long? {
        if (topic.isOutdated) return null
        val read = topic.replica.next ?: return null
        return maxOf(read, appendEnd?.takeIf { it.era == topic.replica.era }?.end ?: read)
    }

    private fun writeStatus(action: ReleaseAction.WriteStatus, now: MonotonicTime) {
        if (!rollout.holdsLease(now)) return written(action, isSuccess = false, "the lease is not held")
        val era = context.storeEra.current
        val progress = when (action.stage) {
            ReleaseStage.Canary, ReleaseStage.Shifting -> ReleaseProgress.RUNNING
            ReleaseStage.Completed -> ReleaseProgress.COMPLETED
            ReleaseStage.RolledBack -> ReleaseProgress.ROLLED_BACK
        }
        store.appendStatus(ReleaseStatus(action.service, action.targetVersion, progress)) { result ->
            val isSuccess = isCurrent(StoreTopic.STATUS, result, era)
            written(action, isSuccess, if (isSuccess) null else result.toString())
            advance()
        }
    }

    /** Whether [result] is that of an append to the store of [era], and the store has not been restored since. */
    private fun isCurrent(topic: StoreTopic, result: Result<AppendedRecord, StoreFailure>, era: Long): Boolean = result.fold(
        success = { appended ->
            context.storeEra.recordAnswer(topic, appended.era)
            appended.era == era && context.storeEra.current == era
        },
        failure = { false },
    )

    private fun written(action: ReleaseAction, isSuccess: Boolean, reason: String? = null) {
        val name = if (action is ReleaseAction.WriteState) "release_state_written" else "release_status_written"
        context.log.event(
            name,
            "service" to action.service.text,
            "stage" to EncodedStage.of(stageOf(action)).name,
            "success" to isSuccess,
            "reason" to reason,
        )
        controller.onWritten(action, isSuccess, context.clock.now())
        if (isSuccess) context.scheduleDigest()
    }

    private fun stageOf(action: ReleaseAction): ReleaseStage = when (action) {
        is ReleaseAction.WriteState -> action.state.stage
        is ReleaseAction.WriteStatus -> action.stage
    }

    /** Reads the topic for the first time, after a restore of the store, and while the holder is silent. */
    private fun readTopic(now: MonotonicTime) {
        val isDue = !topic.replica.wasRead || topic.isOutdated || releases.all.any { it.isActive && isSilent(it, now) }
        if (!isDue || now < nextReadAt) return
        nextReadAt = now + READ_INTERVAL
        topic.read()
    }

    private fun isSilent(release: Release, now: MonotonicTime) = now - (release.heardAt ?: release.seenAt) >= SILENCE_LIMIT

    private fun storeRestored() {
        releases.recordEra(context.storeEra.current)
        appendEnd = null
        if (releases.all.isNotEmpty()) context.schedule(Duration.ZERO, ::advance)
    }

    /**
     * Reads the operators' topic once after targets with an unknown version were seen. The regular reads do not tell that: they begin
     * earlier, and most instances learn of records from others.
     */
    private fun confirmVersions(now: MonotonicTime) {
        if (!releases.awaitsOperators || isConfirming || now < nextConfirmAt) return
        val next = operations.replica.next ?: return
        if (operations.isOutdated) return
        isConfirming = true
        store.read(StoreTopic.OPERATIONS, next, Duration.ZERO) { result ->
            isConfirming = false
            result.fold(
                success = { batch -> operatorsRead(batch, now) },
                failure = { failure ->
                    if (!isConfirmationFailing) context.log.event("versions_unconfirmed", "cause" to failure.toString())
                    isConfirmationFailing = true
                    nextConfirmAt = context.clock.now() + CONFIRM_RETRY_DELAY
                    if (failure == StoreFailure.Compacted) operations.read()
                },
            )
        }
    }

    private fun operatorsRead(batch: RecordBatch, startedAt: MonotonicTime) {
        context.storeEra.recordAnswer(StoreTopic.OPERATIONS, batch.era)
        isConfirmationFailing = false
        val isApplied = batch.era == operations.replica.era && batch.next <= (operations.replica.next ?: -1)
        if (isApplied) return releases.recordOperatorsRead(startedAt)
        nextConfirmAt = context.clock.now() + CONFIRM_INTERVAL
        operations.read()
    }

    /**
     * Records that a peer which reaches the store knew the operators' topic of [era] up to [next] at [at]. It stands in for a read of this
     * instance while the store does not answer it.
     */
    fun recordPeerPosition(era: Long, next: Long?, at: MonotonicTime) {
        if (!isConfirmationFailing || !releases.awaitsOperators || next == null) return
        val own = operations.replica.next ?: return
        if (era == operations.replica.era && next <= own) releases.recordOperatorsRead(at)
    }

    private fun logChanges() = releases.all.forEach { release ->
        val service = release.service
        val before = logged[service]?.takeIf { it.release === release }
        val verdict = controller.verdict(service)
        context.log.releaseShare(service, context.state.versions.share(service))
        if (before != null && before.stage == release.stage && before.verdict == verdict) return@forEach
        logged[service] = Logged(release, release.stage, verdict)
        if (before == null) logStart(release)
        if (release.stage != before?.stage) logStage(release, before?.stage)
        if (verdict != null && verdict != before?.verdict) logVerdict(release, verdict)
    }

    private fun logStart(release: Release) = context.log.event(
        "release_started",
        "service" to release.service.text,
        "version" to release.targetVersion,
        "order" to release.id.offset,
        "era" to release.id.era,
        "remainingMillis" to release.deadline?.let { (it - context.clock.now()).inWholeMilliseconds },
    )

    private fun logStage(release: Release, before: ReleaseStage?) {
        val stage = release.stage?.let(EncodedStage::of)
        context.log.releaseStage(release.service, stage)
        context.log.event(
            "release_stage",
            "service" to release.service.text,
            "version" to release.targetVersion,
            "stage" to (stage?.name ?: "NONE"),
            "previous" to before?.let { EncodedStage.of(it).name },
            "remainingMillis" to release.deadline?.let { (it - context.clock.now()).inWholeMilliseconds },
            "holder" to lease.holder?.text,
        )
        context.scheduleDigest()
    }

    private fun logVerdict(release: Release, verdict: ReleaseVerdict) = context.log.event(
        "release_verdict",
        "service" to release.service.text,
        "version" to release.targetVersion,
        "verdict" to when (verdict) {
            ReleaseVerdict.Undecided -> "UNDECIDED"
            ReleaseVerdict.Healthy -> "HEALTHY"
            is ReleaseVerdict.Faulty -> "FAULTY"
        },
        "reason" to (verdict as? ReleaseVerdict.Faulty)?.reason,
    )

    private inner class ReleaseListener : TopicListener {
        override fun recordChanged(record: KeyedRecord): Boolean {
            val value = record.value ?: return false
            val now = context.clock.now()
            // An instance that has seen the order knows the deadline better than the clock of another machine does.
            val nowMillis = if (topic.replica.wasRead) null else wallClockMillis()
            val state = decode(record.key, value)?.decode(now, nowMillis)
            if (state == null) {
                context.log.event("release_unreadable", "key" to record.key, "offset" to record.offset)
                return false
            }
            return releases.recordStored(state, now)
        }

        private fun decode(key: String, value: ByteArray): ReleaseRecord? = try {
            peerCodec.decodeUntrusted(ReleaseRecord.serializer(), value)
        } catch (failure: SerializationException) {
            context.log.event("release_undecodable", "key" to key, "reason" to failure.message)
            null
        }
    }

    private companion object {
        /** The time without a confirmation by the holder after which the topic is read: two of its digests are missing. */
        val SILENCE_LIMIT: Duration = 1.seconds

        /** The first read that ends after a claim may have begun before it, so that the second one counts. */
        const val READS_AFTER_CLAIM = 2

        /** The interval of these reads; two of them fit into the time for which a state permits requests to the new version. */
        val READ_INTERVAL: Duration = 500.milliseconds

        /** The interval of the reads for unknown versions while the records of the last one have not been applied. */
        val CONFIRM_INTERVAL: Duration = 50.milliseconds

        /** The delay after such a read failed; an outage costs about three calls per second. */
        val CONFIRM_RETRY_DELAY: Duration = 350.milliseconds
    }
}
