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
        onCrash = {},
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
