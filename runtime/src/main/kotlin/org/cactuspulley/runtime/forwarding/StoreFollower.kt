package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a follower hands its owner. */
internal interface TopicListener {
    /** [record] is the newest of its key; a null value says that the key is dropped. Whether it changes anything. */
    fun recordChanged(record: KeyedRecord): Boolean

    /** The topic can be read again after it could not. */
    fun storeRecovered()
}

/**
 * Keeps a replica of one topic by reading it: by long reads where [longReadWait] says how long one waits, for as long as
 * [shouldFollow], or whenever it is told to.
 */
internal class StoreFollower(
    private val context: ForwardingContext,
    private val store: RecordStore,
    private val topic: StoreTopic,
    private val listener: TopicListener,
    private val longReadWait: (() -> Duration)?,
    private val shouldFollow: () -> Boolean,
) {
    val replica = TopicReplica()

    /** Whether the last read was not answered. */
    var isFailing = false
        private set
    private var isReading = false

    /** Called after each read that was answered, with what changed since [from]. */
    var onRead: (from: Long?, changed: List<KeyedRecord>) -> Unit = { _, _ -> }

    /** Takes up reading that rested, if it is this instance's turn now; called on a timer. After a failure only the retry reads. */
    fun resume(followsAnswer: Boolean = false) {
        if (longReadWait != null && !isFailing && shouldFollow()) read(followsAnswer)
    }

    /**
     * Reads once, and again while the topic is followed. Only a read that follows an answer waits for records: one that begins
     * while the store is silent would notice its return no sooner than its own end.
     */
    fun read(followsAnswer: Boolean = false) {
        if (isReading) return
        isReading = true
        val from = replica.next
        if (from == null) {
            store.newest(topic) { result -> snapshotRead(result) }
        } else {
            val wait = longReadWait?.takeIf { followsAnswer }?.invoke() ?: Duration.ZERO
            store.read(topic, from, wait) { result -> rangeRead(from, result) }
        }
    }

    private fun snapshotRead(result: Result<RecordBatch, StoreFailure>) = complete(result) { batch ->
        val present = batch.records.map { it.key }.toSet()
        val deleted = replica.keys.filter { it !in present }.map { KeyedRecord(it, batch.next - 1, null) }
        apply(null, batch.records + deleted, batch.next)
    }

    private fun rangeRead(from: Long, result: Result<RecordBatch, StoreFailure>) {
        if (result == Err(StoreFailure.Compacted)) {
            context.log.event("history_deleted", "topic" to topic.name, "offset" to from)
            replica.reset()
            isReading = false
            return read()
        }
        complete(result) { batch -> apply(from, batch.records, batch.next) }
    }

    private fun complete(result: Result<RecordBatch, StoreFailure>, use: (RecordBatch) -> Unit) {
        result.fold(
            success = { batch ->
                isReading = false
                if (isFailing) {
                    context.log.event("store_answers", "topic" to topic.name)
                    isFailing = false
                    listener.storeRecovered()
                }
                use(batch)
                resume(followsAnswer = true)
            },
            failure = { failure ->
                if (!isFailing) {
                    isFailing = true
                    context.log.event("store_fails", "topic" to topic.name, "cause" to failure.toString())
                    context.scheduleDigest()
                }
                // Nobody reads before the retry's pause is over.
                context.schedule(RETRY_DELAY) {
                    isReading = false
                    if (longReadWait != null || replica.next == null) read()
                }
            },
        )
    }

    private fun apply(from: Long?, records: List<KeyedRecord>, next: Long) {
        val changed = records.filter { replica.apply(it) && listener.recordChanged(it) }
        replica.advance(next)
        onRead(from, changed)
    }

    /** Takes over what a peer read. */
    fun applyRelay(relay: Relay) {
        val known = replica.next
        relay.records.map { KeyedRecord(it.key, it.offset, it.value) }.filter { replica.apply(it) }.forEach { listener.recordChanged(it) }
        if (relay.from == null || (known != null && relay.from <= known)) replica.advance(relay.next)
    }

    private companion object {
        /** Pause before a read that failed is tried again: an outage costs three calls a second. */
        val RETRY_DELAY = 350.milliseconds
    }
}

/** How long followers wait for records in one read. */
internal object LongReadWaits {
    /**
     * Operators' records. The first follower asks more often: where the store leaves all followers without answers, its read ends
     * 1.2 s after it began, which leaves time for others to read within the users' two seconds for a change.
     */
    fun operations(leads: Boolean): Duration = if (leads) LEADER_WAIT else FOLLOWER_WAIT

    /** Instances come and go rarely, and make themselves heard. */
    val INSTANCES: Duration = 15.seconds

    private val LEADER_WAIT = 700.milliseconds

    /** A connection that went silent is noticed half a second later; three seconds after such trouble a change is expected in force. */
    private val FOLLOWER_WAIT = 3.seconds
}
