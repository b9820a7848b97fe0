package org.cactuspulley.standins.capacity

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.Json
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.PollInstanceList
import org.cactuspulley.core.effect.ReadCacheEvents
import org.cactuspulley.core.effect.ReadStatus
import org.cactuspulley.core.effect.RegisterInstance
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.effect.UnfollowStream
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.CacheEventsRead
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.InstancesListed
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.StatusRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.CoreAssembly
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.CacheEvent
import org.cactuspulley.core.platform.CacheEventKind
import org.cactuspulley.core.platform.CacheEventPage
import org.cactuspulley.core.platform.InstanceListPage
import org.cactuspulley.core.platform.LogPageRecord
import org.cactuspulley.core.platform.TargetStatus
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.LogRecordCodec
import org.cactuspulley.core.record.StoredRecord
import java.lang.management.ManagementFactory
import java.util.Base64
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs the cores of several instances in one process and in virtual time. The simulated log, instance list and targets
 * never fail and answer after a fixed network delay or at once. Counts the bytes of each kind of control traffic and the
 * processor time that the cores use.
 *
 * @property status the status that every target reports.
 * @property cacheEventsPerSecond the number of cache events per second of each target.
 */
internal class CapacityFleet(
    instances: Int,
    operatorRecords: List<LogRecord>,
    private val status: TargetStatus,
    private val cacheEventsPerSecond: Int,
) {
    private class ScheduledAction(val timeNanoseconds: Long, val order: Long, val action: () -> Unit)

    private class SimulatedInstance(val instance: Instance) {
        val assembly = CoreAssembly(instance)
        val followedOffsets = HashMap<StreamName, LogOffset>()
        var timerAt: MonotonicTime? = null
    }

    private val scheduledActions = PriorityQueue(compareBy<ScheduledAction> { it.timeNanoseconds }.thenBy { it.order })
    private val simulatedInstances = LinkedHashMap<InstanceId, SimulatedInstance>()
    private val recordsByStream = HashMap<StreamName, MutableList<StoredRecord>>()
    private val listPageBytes: Long
    private val nextCacheEvents = HashMap<TargetId, Long>()
    private val threadMxBean = ManagementFactory.getThreadMXBean()
    private var nowNanoseconds = 0L
    private var nextOrder = 0L
    private var isMeasuring = false

    /** The bytes sent and received in the measured time, by kind of traffic, summed over all instances. */
    val bytesByKind = sortedMapOf<String, Long>()

    /** The number of messages and calls in the measured time, by kind of traffic, summed over all instances. */
    val countByKind = sortedMapOf<String, Long>()

    /** The processor time of all cores in the measured time, in nanoseconds. */
    var processorNanoseconds = 0L
        private set

    init {
        operatorRecords.forEachIndexed { index, record -> store(StreamName.OPERATORS, RecordId("o$index"), record) }
        repeat(instances) { number ->
            val address = "10.${number / 250}.0.${number % 250}"
            val instance = Instance(
                id = InstanceId("$address:7000"),
                incarnation = InstanceIncarnation(1),
                address = "$address:8000",
                peerAddress = "$address:7000",
                zone = ZoneName("zone-${number % ZONES}"),
            )
            simulatedInstances[instance.id] = SimulatedInstance(instance)
        }
        listPageBytes = Json.encodeToString(InstanceListPage.serializer(), listPage()).length.toLong()
        simulatedInstances.values.forEachIndexed { index, simulated ->
            schedule((index * START_INTERVAL_NANOSECONDS) % START_SPREAD_NANOSECONDS) { handleEvent(simulated, TimerFired) }
        }
    }

    private fun listPage() = InstanceListPage(simulatedInstances.values.map { it.instance }, nowNanoseconds / NANOSECONDS_PER_MILLISECOND)

    /** Runs for [warmUp] without measuring and then for [duration] with measuring, both in virtual time. */
    fun measure(warmUp: Duration, duration: Duration) {
        runUntil(nowNanoseconds + warmUp.inWholeNanoseconds)
        isMeasuring = true
        runUntil(nowNanoseconds + duration.inWholeNanoseconds)
        isMeasuring = false
    }

    private fun runUntil(endNanoseconds: Long) {
        while (scheduledActions.isNotEmpty() && scheduledActions.peek().timeNanoseconds <= endNanoseconds) {
            val next = scheduledActions.remove()
            nowNanoseconds = next.timeNanoseconds
            next.action()
        }
        nowNanoseconds = endNanoseconds
    }

    private fun schedule(delayNanoseconds: Long, action: () -> Unit) {
        scheduledActions.add(ScheduledAction(nowNanoseconds + delayNanoseconds, nextOrder++, action))
    }

    private fun handleEvent(simulated: SimulatedInstance, event: CoreEvent) {
        val cpuTimeBefore = threadMxBean.currentThreadCpuTime
        val effects = simulated.assembly.core.handle(event, MonotonicTime(nowNanoseconds))
        val deadline = simulated.assembly.core.nextDeadline
        if (isMeasuring) processorNanoseconds += threadMxBean.currentThreadCpuTime - cpuTimeBefore
        effects.forEach { execute(simulated, it) }
        setTimer(simulated, deadline)
    }

    private fun setTimer(simulated: SimulatedInstance, deadline: MonotonicTime?) {
        if (deadline == null || simulated.timerAt == deadline) return
        simulated.timerAt = deadline
        schedule((deadline.nanoseconds - nowNanoseconds).coerceAtLeast(MIN_TIMER_DELAY_NANOSECONDS)) {
            if (simulated.timerAt == deadline) {
                simulated.timerAt = null
                handleEvent(simulated, TimerFired)
            }
        }
    }

    private fun execute(simulated: SimulatedInstance, effect: CoreEffect) {
        when (effect) {
            is SendToPeer -> send(simulated, effect)
            is AppendRecord -> append(simulated, effect)
            is FollowStream -> follow(simulated, effect)
            is UnfollowStream -> simulated.followedOffsets.remove(effect.stream)
            is PollInstanceList -> answerList(simulated)
            is RegisterInstance -> recordTraffic("list registration", REGISTRATION_BYTES)
            is ReadStatus -> answerStatus(simulated, effect)
            is ReadCacheEvents -> answerCacheEvents(simulated, effect)
            else -> Unit
        }
    }

    private fun recordTraffic(kind: String, bytes: Long) {
        if (!isMeasuring) return
        bytesByKind.merge(kind, bytes, Long::plus)
        countByKind.merge(kind, 1, Long::plus)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun send(simulated: SimulatedInstance, effect: SendToPeer) {
        val bytes = Cbor.encodeToByteArray(PeerMessage.serializer(), effect.message).size + PEER_FRAME_BYTES
        val kind = "peer ${effect.message::class.simpleName}"
        recordTraffic("$kind sent", bytes)
        val receiver = simulatedInstances[effect.peer] ?: return
        schedule(NETWORK_DELAY_NANOSECONDS) {
            recordTraffic("$kind received", bytes)
            handleEvent(receiver, PeerMessageReceived(simulated.instance.id, effect.message))
        }
    }

    private fun store(stream: StreamName, id: RecordId, record: LogRecord): StoredRecord {
        val records = recordsByStream.getOrPut(stream) { mutableListOf() }
        return StoredRecord(LogOffset(records.size.toLong()), id, record).also { records.add(it) }
    }

    private fun append(simulated: SimulatedInstance, effect: AppendRecord) {
        val stored = store(effect.stream, effect.recordId, effect.record)
        val kind = "log ${effect.record::class.simpleName}"
        recordTraffic("$kind appended", LogRecordCodec.encode(effect.record).size + HTTP_HEADER_BYTES)
        val recordBytes = logPageRecordBytes(stored)
        schedule(NETWORK_DELAY_NANOSECONDS) { handleEvent(simulated, AppendAcknowledged(effect.stream, effect.recordId, stored.offset)) }
        simulatedInstances.values.filter { effect.stream in it.followedOffsets }.forEach { reader ->
            recordTraffic("$kind read", recordBytes)
            schedule(NETWORK_DELAY_NANOSECONDS) { read(reader, effect.stream) }
        }
    }

    private fun logPageRecordBytes(stored: StoredRecord): Long {
        val data = Base64.getEncoder().encodeToString(LogRecordCodec.encode(stored.record))
        val record = LogPageRecord(stored.offset.number, stored.id.text, SAMPLE_RECORD_MILLISECONDS, data)
        return Json.encodeToString(LogPageRecord.serializer(), record).length.toLong()
    }

    private fun follow(simulated: SimulatedInstance, effect: FollowStream) {
        simulated.followedOffsets[effect.stream] = effect.from
        poll(simulated, effect.stream)
    }

    /** Simulates a long poll of 1 s that ends without records, and repeats it while the stream is followed. */
    private fun poll(simulated: SimulatedInstance, stream: StreamName) {
        if (stream !in simulated.followedOffsets) return
        recordTraffic("log poll", HTTP_HEADER_BYTES)
        read(simulated, stream)
        schedule(POLL_INTERVAL_NANOSECONDS) { poll(simulated, stream) }
    }

    private fun read(simulated: SimulatedInstance, stream: StreamName) {
        val from = simulated.followedOffsets[stream] ?: return
        val allRecords = recordsByStream[stream].orEmpty()
        val records = allRecords.drop(from.number.toInt())
        val next = LogOffset(allRecords.size.toLong())
        simulated.followedOffsets[stream] = next
        handleEvent(simulated, RecordsRead(stream, records, next, LogOffset.FIRST, true, MonotonicTime(nowNanoseconds)))
    }

    private fun answerList(simulated: SimulatedInstance) {
        recordTraffic("list poll", listPageBytes)
        val askedAt = MonotonicTime(nowNanoseconds)
        val page = listPage()
        schedule(NETWORK_DELAY_NANOSECONDS) { handleEvent(simulated, InstancesListed(page.instances, page.asOfMillis, askedAt)) }
    }

    private fun answerStatus(simulated: SimulatedInstance, effect: ReadStatus) {
        recordTraffic("target status", Json.encodeToString(TargetStatus.serializer(), status).length + HTTP_HEADER_BYTES)
        val askedAt = MonotonicTime(nowNanoseconds)
        schedule(NETWORK_DELAY_NANOSECONDS) { handleEvent(simulated, StatusRead(effect.target.id, status, askedAt)) }
    }

    private fun answerCacheEvents(simulated: SimulatedInstance, effect: ReadCacheEvents) {
        val wait = if (cacheEventsPerSecond > 0) CACHE_PAGE_INTERVAL else effect.waitUntil - MonotonicTime(nowNanoseconds)
        val events = (cacheEventsPerSecond * wait.inWholeMilliseconds / MILLISECONDS_PER_SECOND).toInt()
        schedule(wait.inWholeNanoseconds.coerceAtLeast(MIN_TIMER_DELAY_NANOSECONDS)) {
            val first = maxOf(effect.from, nextCacheEvents[effect.target.id] ?: 0)
            val page = CacheEventPage(1, List(events) { cacheEvent(first + it) }, first + events)
            nextCacheEvents[effect.target.id] = page.next
            recordTraffic("target cache events", Json.encodeToString(CacheEventPage.serializer(), page).length + HTTP_HEADER_BYTES)
            handleEvent(simulated, CacheEventsRead(effect.target.id, page))
        }
    }

    private fun cacheEvent(number: Long): CacheEvent {
        val kind = if (number % 2 == 0L) CacheEventKind.STORED else CacheEventKind.EVICTED
        return CacheEvent(number, kind, number * GOLDEN_RATIO_MULTIPLIER, PIECE_TOKENS)
    }

    private companion object {
        const val ZONES = 5
        const val PEER_FRAME_BYTES = 8L
        const val HTTP_HEADER_BYTES = 200L
        const val REGISTRATION_BYTES = 400L
        const val PIECE_TOKENS = 1_024

        /** A time stamp with the usual number of digits, for the size of an encoded record. */
        const val SAMPLE_RECORD_MILLISECONDS = 1_700_000_000_000L

        /** 2^64 divided by the golden ratio, as a signed number; spreads consecutive numbers over all 64-bit hashes. */
        const val GOLDEN_RATIO_MULTIPLIER = -7046029254386353131L
        const val NETWORK_DELAY_NANOSECONDS = 1_000_000L
        const val MIN_TIMER_DELAY_NANOSECONDS = 1_000_000L
        const val START_INTERVAL_NANOSECONDS = 37_000_000L
        const val START_SPREAD_NANOSECONDS = 3_000_000_000L
        const val POLL_INTERVAL_NANOSECONDS = 1_000_000_000L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        const val MILLISECONDS_PER_SECOND = 1_000L
        val CACHE_PAGE_INTERVAL = 200.milliseconds
    }
}
