package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.channel.DefaultEventLoop
import io.netty.channel.EventLoop
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.settings.FleetBounds
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private object UnusedTargets : TargetProtocol {
    override fun request(send: TargetRequest): HttpRequest = error("This test sends no requests")

    override fun responseHead(response: HttpResponse): TargetResponseHead = error("This test receives no responses")

    override fun callerHead(response: HttpResponse): HttpResponse = error("This test receives no responses")
}

/** A store with one topic, which responds to reads immediately. */
private class SingleTopicStore : RecordStore {
    val records = mutableListOf<KeyedRecord>()

    fun put(vararg keys: String) = keys.forEach { records += KeyedRecord(it, records.size.toLong(), it.toByteArray()) }

    override fun read(topic: StoreTopic, from: Long, wait: Duration, done: (Result<RecordBatch, StoreFailure>) -> Unit) =
        done(Ok(RecordBatch(records.filter { it.offset >= from }, records.size.toLong())))

    override fun newest(topic: StoreTopic, done: (Result<RecordBatch, StoreFailure>) -> Unit) =
        done(Ok(RecordBatch(records.associateBy { it.key }.values.toList(), records.size.toLong())))

    override fun append(
        topic: StoreTopic,
        key: String,
        value: ByteArray,
        expectedEnd: Long?,
        done: (Result<AppendedRecord, StoreFailure>) -> Unit,
    ) = error("This test appends no records")
}

/** A store with one topic, whose reads wait for a record. */
private class LongReadStore : RecordStore {
    private val records = mutableListOf<KeyedRecord>()
    private var waiting: (() -> Unit)? = null
    var calls = 0

    fun put(key: String) {
        records += KeyedRecord(key, records.size.toLong(), key.toByteArray())
        waiting.also { waiting = null }?.invoke()
    }

    override fun read(topic: StoreTopic, from: Long, wait: Duration, done: (Result<RecordBatch, StoreFailure>) -> Unit) {
        calls++
        val answer = { done(Ok(RecordBatch(records.filter { it.offset >= from }, records.size.toLong()))) }
        if (wait.isPositive() && records.size.toLong() == from) waiting = answer else answer()
    }

    override fun newest(topic: StoreTopic, done: (Result<RecordBatch, StoreFailure>) -> Unit) {
        calls++
        done(Ok(RecordBatch(records.toList(), records.size.toLong())))
    }

    override fun append(
        topic: StoreTopic,
        key: String,
        value: ByteArray,
        expectedEnd: Long?,
        done: (Result<AppendedRecord, StoreFailure>) -> Unit,
    ) = error("This test appends no records")
}

/** A store with one topic, which can be restored from a copy and whose answers a test can hold back. */
private class RestorableStore : RecordStore {
    val topic = SimulatedTopic()
    val heldAnswers = mutableListOf<() -> Unit>()
    var holdsAnswers = false
    var calls = 0

    override fun read(topic: StoreTopic, from: Long, wait: Duration, done: (Result<RecordBatch, StoreFailure>) -> Unit) =
        answer(this.topic.read(from), done)

    override fun newest(topic: StoreTopic, done: (Result<RecordBatch, StoreFailure>) -> Unit) = answer(this.topic.newest(), done)

    private fun answer(result: Result<RecordBatch, StoreFailure>, done: (Result<RecordBatch, StoreFailure>) -> Unit) {
        calls++
        if (holdsAnswers) heldAnswers += { done(result) } else done(result)
    }

    override fun append(
        topic: StoreTopic,
        key: String,
        value: ByteArray,
        expectedEnd: Long?,
        done: (Result<AppendedRecord, StoreFailure>) -> Unit,
    ) = error("This test appends no records")
}

/** Collects the records that it is told of as `key=value`; a deleted key is `key=null`. */
private class ChangeRecorder : TopicListener {
    val changes = mutableListOf<String>()
    var restores = 0

    override fun recordChanged(record: KeyedRecord): Boolean = changes.add("${record.key}=${record.value?.decodeToString()}")

    override fun storeRestored(at: MonotonicTime) {
        restores++
    }
}

/** Throws for the keys in [failures], and collects the other keys. */
private class FailingListener : TopicListener {
    val failures = mapOf("odd" to IllegalArgumentException("port out of range"), "deep" to StackOverflowError())
    val keys = mutableListOf<String>()

    override fun recordChanged(record: KeyedRecord): Boolean {
        failures[record.key]?.let { throw it }
        return keys.add(record.key)
    }
}

class StoreFollowerSpec : DescribeSpec({
    val loop = DefaultEventLoop()
    afterSpec { loop.shutdownGracefully() }
    val clock = MonotonicClock { MonotonicTime.ZERO }
    val member = FleetMember(InstanceId("i-1"), InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2")

    fun contextOn(eventLoop: EventLoop) = ForwardingContext(
        eventLoop,
        clock,
        ForwardingState(member, FleetBounds(), clock.now()),
        UnusedTargets,
        TargetConnectionPool(eventLoop, clock) { _, _ -> error("no target is called") },
        DecisionLog(ForwardingMetrics()),
        LoopDelayMonitor(100.milliseconds, clock.now()),
        sendDigests = {},
    )
    describe("a record that its listener fails on") {
        val context = contextOn(loop)

        // Guards against a topic that an instance follows no further than the first record that it cannot use.
        it("does not keep the others of the same read from being applied") {
            val store = SingleTopicStore()
            val listener = FailingListener()
            val follower = StoreFollower(context, store, StoreTopic.REGISTRY, listener, null) { false }
            val reads = mutableListOf<List<String>>()
            follower.onRead = { _, changed -> reads += changed.map { it.key } }
            store.put("a", "odd", "b", "deep", "c")
            follower.read()
            follower.replica.next shouldBe 5
            store.put("d", "odd", "e")
            follower.read()
            follower.replica.next shouldBe 8
            listener.keys shouldBe listOf("a", "b", "c", "d", "e")
            reads shouldBe listOf(listOf("a", "b", "c"), listOf("d", "e"))
        }

        // Guards against the same when a peer relays the records.
        it("does not keep the others of a relayed range from being applied") {
            val listener = FailingListener()
            val follower = StoreFollower(context, SingleTopicStore(), StoreTopic.REGISTRY, listener, null) { false }
            val records = listOf("a", "odd", "b", "deep", "c").mapIndexed { offset, key ->
                RelayedRecord(key, offset.toLong(), key.toByteArray())
            }
            follower.applyRelayed(RelayedRange(StoreTopic.REGISTRY, null, 5, records), MonotonicTime.ZERO)
            follower.replica.next shouldBe 5
            listener.keys shouldBe listOf("a", "b", "c")
        }
    }

    describe("a topic whose store was restored from a copy") {
        val store = RestorableStore()
        val listener = ChangeRecorder()
        val context = contextOn(EmbeddedChannel().apply { freezeTime() }.eventLoop())
        val follower = StoreFollower(context, store, StoreTopic.OPERATIONS, listener, null) { false }
        listOf("a" to "1", "b" to "1", "a" to "2", "b" to "2", "c" to "2").forEach { (key, value) -> store.topic.append(key, value) }
        follower.read()
        listener.changes.clear()

        fun relay(era: Long, from: Long?, next: Long, vararg records: Pair<String, String>) = follower.applyRelayed(
            RelayedRange(
                StoreTopic.OPERATIONS,
                from,
                next,
                records.mapIndexed { offset, (key, value) -> RelayedRecord(key, offset.toLong(), value.toByteArray()) },
                era = era,
            ),
            clock.now(),
        )

        // Guards against a record that is ignored because its offset is not above that of a lost one.
        it("is read as a whole, and again from the new end") {
            store.topic.restore(2)
            store.topic.append("a", "3")
            follower.read()
            listener.changes shouldBe listOf("a=3", "b=1", "c=null")
            listener.restores shouldBe 1
            follower.replica.next shouldBe 3
            store.topic.append("b", "3")
            follower.read()
            listener.changes.last() shouldBe "b=3"
            follower.replica.next shouldBe 4
        }

        // Guards against a gap that no 410 shows: the restored log is longer than the former one at the next read.
        it("is read as a whole also if it has grown past its former end") {
            listener.changes.clear()
            store.topic.restore(2)
            store.topic.append("a", "4")
            repeat(5) { store.topic.append("d", "$it") }
            follower.read()
            listener.changes shouldBe listOf("a=4", "b=1", "d=4")
            follower.replica.next shouldBe 8
        }

        // Guards against a slow answer that the store gave before it was restored.
        it("gets no answer from before the restore applied") {
            listener.changes.clear()
            store.topic.append("a", "lost")
            store.holdsAnswers = true
            follower.read()
            store.topic.restore(3)
            store.topic.append("a", "5")
            store.holdsAnswers = false
            context.storeEra.recordPeer("i-2", 3)
            listener.changes shouldBe listOf("a=5", "b=1", "d=null")
            store.heldAnswers.forEach { it() }
            listener.changes.last() shouldBe "d=null"
            follower.replica.next shouldBe 4
        }

        // Guards against peers that were cut off, whose positions in the lost log seem to be ahead.
        it("ignores what peers relay of the former log, and a part of a later one") {
            listener.changes.clear()
            relay(era = 2, from = 4, next = 9, "a" to "6") shouldBe false
            relay(era = 2, from = null, next = 9, "a" to "6") shouldBe false
            relay(era = 4, from = 4, next = 9, "a" to "6") shouldBe false
            listener.changes shouldBe emptyList()
            follower.replica.next shouldBe 4
        }

        it("accepts the whole later one from a peer, and changes to it") {
            relay(era = 4, from = null, next = 2, "a" to "6") shouldBe true
            listener.changes shouldBe listOf("a=6", "b=null")
            relay(era = 4, from = 2, next = 3) shouldBe true
            follower.replica.next shouldBe 3
        }

        // Guards against an answer of the former log that arrives although a later one is known.
        it("treats an answer of an earlier era as a failed read") {
            listener.changes.clear()
            follower.read()
            listener.changes shouldBe emptyList()
            follower.isFailing shouldBe true
        }
    }

    describe("records that are appended one after another while their topic is followed") {
        // Guards against a start of a large fleet in which each announcement ends the long reads of all instances.
        it("are read together if reads have a pause") {
            val channel = EmbeddedChannel().apply { freezeTime() }
            val store = LongReadStore()
            val listener = FailingListener()
            val context = contextOn(channel.eventLoop())
            val follower = StoreFollower(context, store, StoreTopic.INSTANCES, listener, { 15.seconds }, pause = 1.seconds) { true }
            follower.read()
            repeat(95) {
                store.put("i-$it")
                channel.advanceTimeBy(20, TimeUnit.MILLISECONDS)
                channel.runScheduledPendingTasks()
                follower.resume()
            }
            channel.advanceTimeBy(1_100, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
            listener.keys.size shouldBe 95
            store.calls shouldBeLessThan 6
        }
    }
})
