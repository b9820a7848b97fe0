package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.TargetEntry
import org.cactuspulley.core.forwarding.WeightRollout
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.settings.FleetBounds
import org.cactuspulley.runtime.settings.RoutingSettings
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A protocol for tests that send no requests to targets. */
internal object NoTargets : TargetProtocol {
    override fun request(send: TargetRequest): HttpRequest = error("This test sends no requests")

    override fun responseHead(response: HttpResponse): TargetResponseHead = error("This test receives no responses")

    override fun callerHead(response: HttpResponse): HttpResponse = error("This test receives no responses")
}

/** A store that never answers a read, or refuses it immediately while [refuses] is set. It counts the [reads]. */
internal class UnresponsiveStore : RecordStore {
    var refuses = false
    var reads = 0

    override fun read(topic: StoreTopic, from: Long, wait: Duration, done: (Result<RecordBatch, StoreFailure>) -> Unit) {
        reads++
        if (refuses) done(Err(StoreFailure.Refused(503)))
    }

    override fun newest(topic: StoreTopic, done: (Result<RecordBatch, StoreFailure>) -> Unit) = Unit

    override fun append(
        topic: StoreTopic,
        key: String,
        value: ByteArray,
        expectedEnd: Long?,
        done: (Result<AppendedRecord, StoreFailure>) -> Unit,
    ) = Unit
}

/** A topic of the log, which all instances of a simulation share. */
internal open class SimulatedTopic {
    private val records = mutableListOf<KeyedRecord>()
    private var firstOffset = 0L

    /** Whether no instance can read the topic. */
    var isDown = false

    /** The number of restores so far. */
    var era = 0L
        private set

    val end: Long get() = records.size.toLong()

    /** Appends a record; a null [value] deletes [key]. */
    fun append(key: String, value: String?) {
        records += KeyedRecord(key, end, value?.toByteArray())
    }

    /** Deletes the history; the newest record of each key stays available to [newest]. */
    fun compact() {
        firstOffset = end
    }

    /** Restores the topic from a copy that ended at [copyEnd]. */
    fun restore(copyEnd: Long) {
        records.subList(copyEnd.toInt(), records.size).clear()
        firstOffset = minOf(firstOffset, copyEnd)
        era++
    }

    fun read(from: Long): Result<RecordBatch, StoreFailure> =
        if (from !in firstOffset..end) Err(StoreFailure.Compacted) else Ok(RecordBatch(records.filter { it.offset >= from }, end, era))

    fun newest(): Result<RecordBatch, StoreFailure> =
        Ok(RecordBatch(records.associateBy { it.key }.values.filter { it.value != null }, end, era))
}

/** The log of the target registry. */
internal class RegistryLog : SimulatedTopic() {
    private val startedAtMillis = HashMap<String, Long>()
    private val reports = HashMap<String, Int>()

    /** Appends a heartbeat of target [id]. */
    fun report(id: String, state: String = "ready", startedAt: Long = startedAtMillis[id] ?: 1_000) {
        if (startedAtMillis.put(id, startedAt) != startedAt) reports[id] = 0
        val number = (reports[id] ?: 0) + 1
        reports[id] = number
        append(id, "$state $startedAt $number")
    }

    /** Appends the removal of the entry of target [id]. */
    fun remove(id: String) = append(id, null)
}

/** One instance's access to [log], which refuses it while [isRefused] is set. Reads that wait for records need [schedule]. */
internal class RegistryStore(
    private val log: SimulatedTopic,
    private val schedule: (Duration, () -> Unit) -> Unit = { _, _ -> error("no read waits") },
) : RecordStore {
    var isRefused = false
    var reads = 0

    override fun read(topic: StoreTopic, from: Long, wait: Duration, done: (Result<RecordBatch, StoreFailure>) -> Unit) {
        reads++
        if (isUnavailable || !wait.isPositive()) return done(if (isUnavailable) Err(StoreFailure.Refused(503)) else log.read(from))
        awaitRecord(from, wait, log.era, done)
    }

    /** Answers at the end of [wait], or when there is a record; a read that spans a restore stays unanswered until it times out. */
    private fun awaitRecord(from: Long, wait: Duration, era: Long, done: (Result<RecordBatch, StoreFailure>) -> Unit) {
        val isLost = isUnavailable || log.era != era
        when {
            wait + LONG_READ_MARGIN <= Duration.ZERO -> done(Err(StoreFailure.Unanswered("no answer")))
            !isLost && (log.end > from || !wait.isPositive()) -> done(log.read(from))
            else -> schedule(POLL) { awaitRecord(from, wait - POLL, era, done) }
        }
    }

    override fun newest(topic: StoreTopic, done: (Result<RecordBatch, StoreFailure>) -> Unit) {
        reads++
        done(if (isUnavailable) Err(StoreFailure.Refused(503)) else log.newest())
    }

    private val isUnavailable get() = isRefused || log.isDown

    override fun append(
        topic: StoreTopic,
        key: String,
        value: ByteArray,
        expectedEnd: Long?,
        done: (Result<AppendedRecord, StoreFailure>) -> Unit,
    ) = error("This test appends no records")

    private companion object {
        val POLL = 50.milliseconds
        val LONG_READ_MARGIN = 500.milliseconds
    }
}

/** Keeps the newest version of a configuration whose records are numbers, as an instance does. */
internal class VersionListener : TopicListener {
    var version = 0
        private set

    override fun recordChanged(record: KeyedRecord): Boolean {
        val newVersion = record.value?.decodeToString()?.toInt() ?: return false
        return (newVersion > version).also { if (it) version = newVersion }
    }
}

/** Decodes the records of [RegistryLog]: a state, a start time and the number of the report. */
internal object RegistryRecords : RecordDecoder {
    override val targetKeyPrefix = ""

    override fun operation(key: String, value: ByteArray): Result<OperatorChange, RecordFailure> = Ok(OperatorChange.Other)

    override fun target(key: String, value: ByteArray): Result<TargetEntry, RecordFailure> {
        val (state, startedAt, number) = value.decodeToString().split(' ')
        val zone = ZoneName("zone-0")
        val isLeaving = state == "draining"
        return Ok(
            TargetEntry(
                TargetId(key), PoolName("engines"), "10.1.0.1:1", zone, 8, isLeaving, startedAt.toLong(), number.toLong(), emptyMap(),
            ),
        )
    }
}

private object NoOpListener : TopicListener {
    override fun recordChanged(record: KeyedRecord) = true
}

/**
 * A simulation, in virtual time, of instances whose datagrams arrive immediately. The last [joining] instances are down and have not
 * announced themselves until they [join][SimulatedInstance.join].
 */
internal class ExchangeSimulation(
    size: Int,
    zones: Int,
    private val random: Random = Random(1),
    private val bounds: FleetBounds = FleetBounds(),
    joining: Int = 0,
    private val operationsLog: SimulatedTopic? = null,
    private val routing: RoutingSettings = RoutingSettings(),
) {
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private val loop = channel.eventLoop()
    var now = MonotonicTime.ZERO + 100_000.milliseconds
        private set
    private val clock = MonotonicClock { now }
    private val members = (0 until size).map {
        FleetMember(InstanceId("i-$it"), InstanceIncarnation(1), ZoneName("zone-${it % zones}"), "10.0.0.$it:1", "10.0.0.$it:2")
    }
    private val announced = members.dropLast(joining).toMutableList()
    val registryLog = RegistryLog()
    val instances = members.map { SimulatedInstance(it) }
    private val byAddress = instances.associateBy { HostAndPort.parse(it.member.peerAddress) }

    /** The number of datagrams that were sent to another zone. */
    var crossZone = 0

    /** The number of all datagrams that were sent. */
    var total = 0

    /** The number of relayed records that were sent, counted once for each receiving peer. */
    var recordsSent = 0

    /** The share of all datagrams that are lost. */
    var lossRate = 0.0

    /** Whether all datagrams between zones are lost. */
    var areZonesCut = false

    private var ticks = 0

    inner class SimulatedInstance(val member: FleetMember) {
        /** Whether the instance neither sends nor receives datagrams. */
        var isDown = member !in announced

        /** Whether datagrams to and from the instance are lost. */
        var losesDatagrams = false
        val store = UnresponsiveStore()
        val registryStore = RegistryStore(registryLog)
        private val operationsStore = operationsLog?.let { RegistryStore(it, ::schedule) }
        private var parts = Parts()
        val state: ForwardingState get() = parts.state
        val operations: StoreFollower get() = parts.operations

        /** The version of the configuration that is in force, if the simulation has an operators' log. */
        val version: Int get() = parts.versions.version
        val registry: TargetRegistry get() = parts.registry
        val exchange: DigestExchange get() = parts.exchange
        val leavingTargets: LeavingTargetExchange get() = parts.context.leavingTargets
        val rateLimits: RateLimitExchange get() = parts.context.rateLimits
        val quarantine: CrashQuarantineExchange get() = parts.context.quarantine

        /** What a restart of the instance replaces. */
        private inner class Parts {
            val state = ForwardingState(member, bounds, now, random, routing)
            val context = ForwardingContext(
                loop,
                clock,
                state,
                NoTargets,
                TargetConnectionPool(loop, clock) { _, _ -> error("no target is called") },
                DecisionLog(ForwardingMetrics()),
                LoopDelayMonitor(100.milliseconds, now),
                sendDigests = {},
            )
            val versions = VersionListener()
            val operations: StoreFollower = StoreFollower(
                context,
                operationsStore ?: store,
                StoreTopic.OPERATIONS,
                if (operationsLog == null) NoOpListener else versions,
                operationsLog?.let { { LongReadWaits.operations(state.fleet.isFirstStoreReader(now)) } },
            ) { isCurrent && exchange.shouldReadOperations(now) }
            val registry: TargetRegistry = TargetRegistry(context, registryStore, RegistryRecords) {}
            private val rollout = WeightRollout(member.id, state.directory, state.desiredWeights, state.fleet, state.serviceTimes)
            val exchange: DigestExchange =
                DigestExchange(context, member, rollout, operations, registry, onUpdate = {}) { message, peers ->
                    send(this@SimulatedInstance, message, peers)
                }

            init {
                announced.forEach(state.fleet::recordAnnouncement)
                state.fleet.selfServes = true
                registry.onRead = exchange::registryWasRead
                operations.onRead = { from, changed -> if (isCurrent && changed.isNotEmpty()) exchange.operationsWereRead(from, changed) }
            }

            private val isCurrent get() = parts === this
        }

        /** Restarts the instance; it has no state left, reads the registry and asks its peers what the fleet holds back. */
        fun restart() {
            parts = Parts()
            quarantine.awaitPeers(now + START_TIMEOUT)
            registry.read()
            if (operationsLog != null) operations.read()
            quarantine.peersKnown(isAlone = state.fleet.known.isEmpty(), now)
            exchange.sendDigests()
        }

        /** Makes the store refuse the reads of this instance while [isRefused]. */
        fun refuseStore(isRefused: Boolean) {
            registryStore.isRefused = isRefused
            operationsStore?.isRefused = isRefused
        }

        /** Starts an instance that is new to the fleet. */
        fun join() {
            announced += member
            isDown = false
            restart()
        }

        /** Whether the instance would send requests to the target [id]. */
        fun uses(id: String): Boolean = state.directory[TargetId(id)]?.isLeaving == false
    }

    private fun send(from: SimulatedInstance, message: PeerMessage, peers: List<HostAndPort>): Unit = peers.mapNotNull {
        byAddress[it]
    }.forEach { to ->
        total++
        if (to.member.zone != from.member.zone) crossZone++
        recordsSent += message.digest?.relayedRanges.orEmpty().sumOf { it.records.size }
        val isCut = areZonesCut && to.member.zone != from.member.zone
        val isLost = to.isDown || to.losesDatagrams || from.losesDatagrams || isCut || random.nextDouble() < lossRate
        if (!isLost) to.exchange.receive(message)
    }

    /** Simulates the given number of digest periods, with a bundle after every second one. */
    fun run(digests: Int) = repeat(digests) { round ->
        advanceTime(400.milliseconds)
        val up = instances.filterNot { it.isDown }
        up.forEach { it.exchange.sendDigests() }
        if (round % 2 == 1) up.forEach { it.exchange.sendZoneBundle() }
    }

    /** Simulates [duration] with the timers of an instance, in which the instances read the registry. */
    fun runTimers(duration: Duration) = repeat((duration / TICK).toInt()) {
        advanceTime(TICK)
        ticks++
        for (instance in instances.filterNot { it.isDown }) {
            instance.registry.advance(now)
            if (operationsLog != null) instance.operations.resume()
            if (instance.quarantine.isAwaitingPeers(now)) instance.exchange.sendDigests()
            if (ticks % TICKS_PER_DIGEST == 0) instance.exchange.sendDigests()
            if (ticks % TICKS_PER_BUNDLE == 0) instance.exchange.sendZoneBundle()
        }
    }

    private fun schedule(delay: Duration, action: () -> Unit) {
        loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun advanceTime(duration: Duration) {
        now += duration
        channel.advanceTimeBy(duration.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
        channel.runPendingTasks()
    }

    fun close() {
        channel.finishAndReleaseAll()
    }

    private companion object {
        val TICK = 100.milliseconds
        val START_TIMEOUT = 2_000.milliseconds
        const val TICKS_PER_DIGEST = 4
        const val TICKS_PER_BUNDLE = 8
    }
}

internal fun <T> simulate(
    size: Int,
    zones: Int = 4,
    random: Random = Random(1),
    bounds: FleetBounds = FleetBounds(),
    joining: Int = 0,
    operationsLog: SimulatedTopic? = null,
    routing: RoutingSettings = RoutingSettings(),
    action: ExchangeSimulation.() -> T,
): T =
    ExchangeSimulation(size, zones, random, bounds, joining, operationsLog, routing).run {
        try {
            action()
        } finally {
            close()
        }
    }
