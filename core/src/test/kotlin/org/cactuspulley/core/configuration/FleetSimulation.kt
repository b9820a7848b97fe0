/*
 * Simulates the configuration and membership parts of several instances on one virtual clock. The network
 * delays, loses and duplicates messages and can be partitioned. The log has outages, retention and lost answers,
 * and the instance list lags. The same seed gives the same run.
 */
package org.cactuspulley.core.configuration

import org.cactuspulley.core.effect.AnswerWithdrawal
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.DeregisterInstance
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.PollInstanceList
import org.cactuspulley.core.effect.RegisterInstance
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.effect.WithdrawalState
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.InstanceListUnavailable
import org.cactuspulley.core.event.InstancesListed
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.event.WithdrawalRequested
import org.cactuspulley.core.instance.InstanceCore
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.MembershipPart
import org.cactuspulley.core.membership.MembershipTiming
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.StoredRecord
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Faults of messages between instances and of calls to the platform. Every fault is drawn independently.
 *
 * @property loss the probability that a message or a read of the log is lost.
 * @property duplication the probability that a message is delivered twice.
 * @property longDelay the probability of a delay of up to [longestDelay] in addition to the usual one.
 * @property longestDelay the upper bound of that additional delay.
 * @property lostAnswers the probability that a record is appended but its acknowledgement is lost.
 */
internal data class Faults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val longDelay: Double = 0.0,
    val longestDelay: Duration = 2.seconds,
    val lostAnswers: Double = 0.0,
)

internal class FleetSimulation(
    seed: Long,
    size: Int = 8,
    zones: Int = 4,
    var faults: Faults = Faults(),
    private val timing: ConfigurationTiming = ConfigurationTiming(),
    private val membershipTiming: MembershipTiming = MembershipTiming(),
) {
    val random = Random(seed)
    val log = SimulatedLog()
    val instanceList = SimulatedInstanceList()
    val instances = (0 until size).map { SimulatedInstance(InstanceId("i$it"), ZoneName("z${it % zones}")) }
    var now: MonotonicTime = MonotonicTime.ZERO + 1.seconds
        private set

    /** Called after each event that an instance has handled. */
    var onEventHandled: (SimulatedInstance) -> Unit = {}

    /** The instances on one side of the network partition; empty if there is none. */
    private var isolated: Set<InstanceId> = emptySet()
    private val scheduledActions = PriorityQueue<ScheduledAction>(compareBy({ it.time }, { it.order }))
    private var order = 0L

    fun startAll() = instances.forEach { it.start() }

    fun after(delay: Duration, action: () -> Unit) {
        scheduledActions += ScheduledAction(now + delay, order++, action)
    }

    fun run(duration: Duration) {
        val end = now + duration
        while (true) {
            val next = scheduledActions.peek()?.takeIf { it.time <= end } ?: break
            scheduledActions.remove()
            now = next.time
            next.action()
        }
        now = end
    }

    /** Runs until [condition] holds and returns the elapsed virtual time, or null if it does not hold within [limit]. */
    fun runUntil(limit: Duration, condition: () -> Boolean): Duration? {
        val begin = now
        while (now - begin < limit) {
            if (condition()) return now - begin
            run(STEP)
        }
        return if (condition()) now - begin else null
    }

    /** Partitions the network between the instances [ids] and all others. The next call replaces the partition. */
    fun isolate(ids: Set<InstanceId>) {
        isolated = ids
    }

    private fun networkDelay(): Duration {
        val usualMicroseconds = random.nextLong(500, 3_000)
        val extraMicroseconds = if (random.nextDouble() < faults.longDelay) random.nextLong(faults.longestDelay.inWholeMicroseconds) else 0
        return (usualMicroseconds + extraMicroseconds).milliseconds / MICROSECONDS_PER_MILLISECOND
    }

    private fun isLost() = random.nextDouble() < faults.loss

    /** One instance: its core, and a simulated runtime that executes the effects of the core. */
    inner class SimulatedInstance(val id: InstanceId, val zone: ZoneName) {
        var isUp = false
            private set

        /** The time at which a paused instance resumes; null if it has not paused since its start. */
        var resumeAt: MonotonicTime? = null
            private set
        lateinit var configuration: ConfigurationPart
            private set
        lateinit var membership: MembershipPart
            private set
        var readsLog = true
        val withdrawalAnswers = mutableMapOf<Long, WithdrawalState>()
        private lateinit var core: InstanceCore
        private var incarnation = 0L
        private var readerNumber = 0L
        private var timerNumber = 0L

        val isRunning: Boolean get() = isUp && (resumeAt?.let { it <= now } ?: true)
        val isServing: Boolean get() = isRunning && configuration.statusAt(now).serves

        fun start() {
            incarnation += 1
            isUp = true
            resumeAt = null
            val self = Instance(id, InstanceIncarnation(incarnation), "$id:80", "$id:81", zone)
            configuration = ConfigurationPart(self, timing)
            membership = MembershipPart(self, timing = membershipTiming)
            core = InstanceCore(listOf(membership, configuration))
            handle(TimerFired)
        }

        fun crash() {
            isUp = false
            readerNumber += 1
            timerNumber += 1
        }

        fun pause(duration: Duration) {
            resumeAt = now + duration
        }

        fun withdraw(number: Long, digest: KeyDigest) = handle(WithdrawalRequested(number, digest))

        fun handle(event: CoreEvent) {
            if (!isUp) return
            val resume = resumeAt
            if (resume != null && now < resume) {
                val pausedIncarnation = incarnation
                after(resume - now) { if (incarnation == pausedIncarnation) handle(event) }
                return
            }
            core.handle(event, now).forEach(::execute)
            scheduleTimer()
            onEventHandled(this)
        }

        private fun scheduleTimer() {
            val deadline = core.nextDeadline ?: return
            val number = ++timerNumber
            after((deadline - now).coerceAtLeast(1.milliseconds)) { if (number == timerNumber) handle(TimerFired) }
        }

        private fun execute(effect: CoreEffect) {
            when (effect) {
                is SendToPeer -> send(effect)
                is FollowStream -> if (effect.stream == StreamName.OPERATORS) read(effect.from, ++readerNumber)
                is AppendRecord -> append(effect)
                is RegisterInstance -> after(networkDelay()) { instanceList.register(effect, now) }
                is DeregisterInstance -> after(networkDelay()) { instanceList.deregister(effect) }
                is PollInstanceList -> poll()
                is AnswerWithdrawal -> withdrawalAnswers[effect.requestNumber] = effect.state
                else -> Unit
            }
        }

        private fun send(effect: SendToPeer) {
            val copies = if (random.nextDouble() < faults.duplication) 2 else 1
            repeat(copies) {
                if (!isLost()) after(networkDelay()) { deliver(effect) }
            }
        }

        private fun deliver(effect: SendToPeer) {
            if ((id in isolated) != (effect.peer in isolated)) return
            instances.first { it.id == effect.peer }.handle(PeerMessageReceived(id, effect.message))
        }

        private fun read(from: LogOffset, number: Long) {
            if (number != readerNumber || !isUp) return
            val askedAt = now
            after(networkDelay()) {
                val page = if (log.isUp && readsLog && !isLost()) log.read(from, askedAt) else null
                after(networkDelay()) { handlePage(page, from, number) }
            }
        }

        private fun handlePage(page: RecordsRead?, from: LogOffset, number: Long) {
            if (number != readerNumber) return
            handle(page ?: ReadFailed(StreamName.OPERATORS))
            after(READ_INTERVAL) { read(page?.next ?: from, number) }
        }

        private fun append(effect: AppendRecord) {
            after(networkDelay()) {
                if (!log.isUp) {
                    after(networkDelay()) { handle(AppendUncertain(effect.stream, effect.recordId, certainlyNotAppended = true)) }
                    return@after
                }
                val offset = log.append(effect.record, effect.recordId)
                val isAnswerLost = random.nextDouble() < faults.lostAnswers
                val answer = if (isAnswerLost) {
                    AppendUncertain(effect.stream, effect.recordId)
                } else {
                    AppendAcknowledged(effect.stream, effect.recordId, offset)
                }
                after(networkDelay()) { handle(answer) }
            }
        }

        private fun poll() {
            val askedAt = now
            after(networkDelay()) {
                val answer = if (instanceList.isUp) {
                    InstancesListed(instanceList.read(now), instanceList.asOfMillis(now), askedAt)
                } else {
                    InstanceListUnavailable
                }
                after(networkDelay()) { handle(answer) }
            }
        }
    }

    private class ScheduledAction(val time: MonotonicTime, val order: Long, val action: () -> Unit)

    private companion object {
        val STEP = 20.milliseconds
        val READ_INTERVAL = 100.milliseconds
        const val MICROSECONDS_PER_MILLISECOND = 1_000
    }
}

/** Simulates the operators' stream of the platform's log. */
internal class SimulatedLog {
    var isUp = true
    var firstKept = 0
        private set
    private val records = mutableListOf<StoredRecord>()

    val tail: Int get() = records.size

    /** The configuration after all records. */
    val configuration: Configuration get() = configurationAt(records.size)

    fun configurationAt(next: Int): Configuration = records.take(next).fold(Configuration()) { state, record ->
        state.applyRecord(record).configuration
    }

    fun append(record: LogRecord, id: RecordId = RecordId("operator-${records.size}")): LogOffset {
        val offset = LogOffset(records.size.toLong())
        records += StoredRecord(offset, id, record)
        return offset
    }

    /** Drops the records before [offset], as retention does. */
    fun dropBefore(offset: Int) {
        firstKept = maxOf(firstKept, offset.coerceAtMost(records.size))
    }

    fun read(from: LogOffset, askedAt: MonotonicTime): RecordsRead {
        val begin = maxOf(from.number.toInt(), firstKept)
        val page = records.drop(begin).take(RECORDS_PER_PAGE)
        val next = begin + page.size
        return RecordsRead(
            StreamName.OPERATORS,
            page,
            LogOffset(next.toLong()),
            LogOffset(firstKept.toLong()),
            next >= records.size,
            askedAt,
        )
    }

    private companion object {
        const val RECORDS_PER_PAGE = 16
    }
}

/** Simulates the platform's instance list. A read returns the list as it was [lag] ago. */
internal class SimulatedInstanceList(var lag: Duration = 3.seconds) {
    var isUp = true
    private val registrations = mutableListOf<Registration>()

    fun register(effect: RegisterInstance, now: MonotonicTime) {
        if (isUp) registrations += Registration(now, effect.instance, now + effect.timeToLiveMillis.milliseconds)
    }

    fun deregister(effect: DeregisterInstance) {
        if (isUp) registrations.removeIf { it.instance.id == effect.id && it.instance.incarnation <= effect.incarnation }
    }

    fun asOfMillis(now: MonotonicTime): Long = (now - lag - MonotonicTime.ZERO).inWholeMilliseconds

    fun read(now: MonotonicTime): List<Instance> {
        val asOf = now - lag
        return registrations.filter { it.registeredAt <= asOf }.groupBy { it.instance.id }.values
            .map { it.last() }
            .filter { it.expiresAt > asOf }
            .map { it.instance }
    }

    private class Registration(val registeredAt: MonotonicTime, val instance: Instance, val expiresAt: MonotonicTime)
}
