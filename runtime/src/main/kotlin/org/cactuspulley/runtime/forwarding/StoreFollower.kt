package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives the changes that a [StoreFollower] reads. */
internal interface TopicListener {
    /**
     * Called with a [record] that is the newest of its key; a null value marks a deleted key. Returns whether it differs from the
     * record before, so that peers must learn of it.
     */
    fun recordChanged(record: KeyedRecord): Boolean

    /** Called before records are applied that the store returned at [at] to this instance or to a peer. */
    fun storeAnswered(at: MonotonicTime) = Unit

    /** Called before the records are applied that the store, restored from a copy, returned at [at]; the copy may lack records. */
    fun storeRestored(at: MonotonicTime) = Unit
}

/**
 * Maintains a replica of one topic. With [longReadWait], which says how long a read waits for records, it follows the topic by
 * long reads while [shouldFollow] holds. Without it, it reads only when [read] is called.
 *
 * What belongs to an earlier era of the store than the newest known one is not applied, whether the store or a peer sent it. A later
 * era begins with the newest records of all keys.
 *
 * @param pause the time after a successful read in which nothing is read, so that one read returns all records of that time.
 */
internal class StoreFollower(
    private val context: ForwardingContext,
    private val store: RecordStore,
    private val topic: StoreTopic,
    private val listener: TopicListener,
    private val longReadWait: (() -> Duration)?,
    private val pause: Duration = Duration.ZERO,
    private val shouldFollow: () -> Boolean,
) {
    /** The records of the topic that are known so far. */
    val replica = TopicReplica()

    /** Whether the last read failed. */
    var isFailing = false
        private set
    private var isReading = false

    /** The number of the read that waits for the store's answer; null if none does. */
    private var awaitedRead: Long? = null
    private var reads = 0L

    /** Whether the history after the last read was deleted, so that the whole topic must be read again. */
    private var isHistoryLost = false

    /** Whether the topic has not been read since the store was restored from a copy. */
    val isOutdated: Boolean get() = replica.era < context.storeEra.current

    /** Whether the next read has to return the newest records of all keys. */
    private val needsSnapshot: Boolean get() = replica.next == null || isHistoryLost || isOutdated

    init {
        context.storeEra.onRise(::abandonRead)
    }

    /** Called after each successful read, with the records that changed since offset [from]; null stands for a read of the whole topic. */
    var onRead: (from: Long?, changed: List<KeyedRecord>) -> Unit = { _, _ -> }

    /** Resumes following the topic if [shouldFollow] now holds; a timer calls it. After a failure, only the retry reads. */
    fun resume(followsAnswer: Boolean = false) {
        if (longReadWait != null && !isFailing && shouldFollow()) read(followsAnswer)
    }

    /**
     * Reads once, and continues while the topic is followed. Only a read that follows a successful one waits for records: a waiting
     * read that starts while the store does not answer would not notice the store's recovery before its own end.
     */
    fun read(followsAnswer: Boolean = false) {
        if (isReading) return
        isReading = true
        val from = replica.next
        if (from == null || needsSnapshot) {
            store.newest(topic, awaiting { result -> snapshotRead(from, result) })
        } else {
            val wait = longReadWait?.takeIf { followsAnswer }?.invoke() ?: Duration.ZERO
            store.read(topic, from, wait, awaiting { result -> rangeRead(from, result) })
        }
    }

    /** Returns a callback for the read that is sent now, which passes its result to [receive] unless the read is abandoned before. */
    private fun awaiting(receive: (Result<RecordBatch, StoreFailure>) -> Unit): (Result<RecordBatch, StoreFailure>) -> Unit {
        val number = ++reads
        awaitedRead = number
        return { result ->
            if (awaitedRead == number) {
                awaitedRead = null
                receive(result)
            }
        }
    }

    /** Reads the topic anew instead of waiting for a read that was sent before the store was known to be restored. */
    private fun abandonRead() {
        if (awaitedRead == null) return
        awaitedRead = null
        isReading = false
        read()
    }

    private fun snapshotRead(from: Long?, result: Result<RecordBatch, StoreFailure>) = complete(result) { batch ->
        isHistoryLost = false
        val entersEra = batch.era > replica.era
        if (entersEra) enterEra(batch.era, batch.next, context.clock.now())
        apply(from.takeUnless { entersEra }, batch.records + replica.deletionsIn(batch.records, batch.next), batch.next)
    }

    private fun enterEra(era: Long, end: Long, at: MonotonicTime) {
        val isRestored = replica.wasRead
        if (isRestored) context.log.event("topic_restored", "topic" to topic.name, "era" to era, "readTo" to replica.next, "end" to end)
        replica.enter(era)
        if (!isRestored) return
        listener.storeRestored(at)
        // Peers receive the records with it, as its receivers have not told a position in this era yet.
        context.scheduleDigest()
    }

    private fun rangeRead(from: Long, result: Result<RecordBatch, StoreFailure>) {
        if (result == Err(StoreFailure.Compacted)) {
            context.log.event("history_deleted", "topic" to topic.name, "offset" to from)
            isHistoryLost = true
            isReading = false
            return read()
        }
        complete(result) { batch -> if (!isOutdated) apply(from, batch.records, batch.next) }
    }

    private fun complete(result: Result<RecordBatch, StoreFailure>, use: (RecordBatch) -> Unit) {
        result.andThen(::refuseEarlierEra).fold(
            success = { batch ->
                if (pause.isPositive()) context.schedule(pause) { continueFollowing() } else isReading = false
                if (isFailing) {
                    context.log.event("store_answers", "topic" to topic.name)
                    isFailing = false
                }
                listener.storeAnswered(context.clock.now())
                use(batch)
                if (isOutdated) read() else resume(followsAnswer = true)
            },
            failure = { failure ->
                if (!isFailing) {
                    isFailing = true
                    context.log.event("store_fails", "topic" to topic.name, "cause" to failure.toString())
                    context.scheduleDigest()
                }
                // Leaves isReading set, so that nothing reads before the retry delay is over.
                context.schedule(RETRY_DELAY) {
                    isReading = false
                    if (longReadWait != null || needsSnapshot) read()
                }
            },
        )
    }

    /** Fails an answer that the store gave before it was restored from a copy. */
    private fun refuseEarlierEra(batch: RecordBatch): Result<RecordBatch, StoreFailure> {
        val storeEra = context.storeEra
        storeEra.recordAnswer(topic, batch.era)
        if (batch.era >= storeEra.current) return Ok(batch)
        return Err(StoreFailure.Unanswered("answer of era ${batch.era} after era ${storeEra.current}"))
    }

    private fun continueFollowing() {
        isReading = false
        if (isOutdated) read() else resume(followsAnswer = true)
    }

    private fun apply(from: Long?, records: List<KeyedRecord>, next: Long) {
        records.forEach { if (replica.apply(it) && notifyListener(it)) replica.markChanged(it.key) }
        replica.advance(next)
        // Includes what peers relayed before this read: those that receive its changes may have missed that.
        onRead(from, replica.knownChangesSince(from ?: 0))
    }

    /** Passes [record] to the listener. A record that the listener fails on costs only itself: the following records still apply. */
    private fun notifyListener(record: KeyedRecord): Boolean = try {
        listener.recordChanged(record)
    } catch (failure: Exception) {
        recordFailed(record, failure)
    } catch (failure: StackOverflowError) {
        recordFailed(record, failure)
    }

    private fun recordFailed(record: KeyedRecord, failure: Throwable): Boolean {
        context.log.event("record_failed", "topic" to topic.name, "offset" to record.offset, "reason" to failure.toString())
        return false
    }

    /**
     * Applies records that a peer has read from the store at [readAt]; returns whether they are of use. Those of an earlier era are not,
     * nor is a part of the topic in a later one, whose other part is not known.
     */
    fun applyRelayed(range: RelayedRange, readAt: MonotonicTime): Boolean {
        context.storeEra.recordPeer(null, range.era)
        if (range.era < context.storeEra.current || (range.era > replica.era && range.from != null)) {
            context.log.event("relay_ignored", "topic" to topic.name, "era" to range.era, "from" to range.from)
            return false
        }
        listener.storeAnswered(readAt)
        if (range.era > replica.era) enterEra(range.era, range.next, readAt)
        val known = replica.next
        val records = range.records.map { KeyedRecord(it.key, it.offset, it.value) }
        val deletions = if (range.from == null) replica.deletionsIn(records, range.next) else emptyList()
        (records + deletions).filter(replica::applyRelayed).forEach {
            notifyListener(it)
            replica.markChanged(it.key)
        }
        if (range.from == null || (known != null && range.from <= known)) replica.advance(range.next)
        return true
    }

    private companion object {
        /** The delay before a failed read is retried; an outage costs about three calls per second. */
        val RETRY_DELAY = 350.milliseconds
    }
}

/** The times for which followers wait for records in one long read. */
internal object LongReadWaits {
    /**
     * The wait for operators' records. The first reader polls more often: if the store does not answer any of the readers, the
     * first reader's read ends 1.2 s after it began, which leaves time for other instances to read a change within the two seconds
     * that users allow.
     */
    fun operations(isFirstReader: Boolean): Duration = if (isFirstReader) FIRST_READER_WAIT else OTHER_READERS_WAIT

    /** The wait for announcements of instances; they are rare, and new instances also send digests. */
    val INSTANCES: Duration = 15.seconds

    /** The pause between reads of announcements: the instances of a fleet that starts announce themselves within a few seconds. */
    val INSTANCES_PAUSE: Duration = 1.seconds

    private val FIRST_READER_WAIT = 700.milliseconds

    /**
     * A connection that failed silently is detected half a second after the wait; a change must be in force three seconds after such a
     * failure.
     */
    private val OTHER_READERS_WAIT = 3.seconds
}
