/*
 * A simulation in virtual time of several instances' admission control, an in-memory log and a network. One seed
 * determines every delay, loss, duplication and order, so that a run can be repeated.
 */
package org.cactuspulley.core.limits

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.AdmissionResolved
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.InstanceState
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.record.StoredRecord
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** The probabilities of faults of the network and the log, each between 0 and 1. */
internal data class FaultProbabilities(
    val messageLoss: Double = 0.0,
    val messageDuplication: Double = 0.0,
    val messageDelay: Double = 0.0,
    val appendAnswerLoss: Double = 0.0,
    val appendDelay: Double = 0.0,
    val readDelay: Double = 0.0,
)

/**
 * An admitted request, as the simulation records it to check the limits.
 *
 * @property time the simulated time in nanoseconds.
 * @property tokens the estimated tokens, or the used tokens once the request has ended.
 */
internal class Admission(val time: Long, val bucket: BucketId, var tokens: Long)

/**
 * A limit that was in force from some time on.
 *
 * @property from the simulated time in nanoseconds.
 * @property rate the rate in tokens per second.
 * @property burst the burst in tokens.
 */
internal class EffectiveLimit(val from: Long, val rate: Long, val burst: Long)

internal class SimulatedFleet(seed: Long, val settings: LimitSettings, val faultProbabilities: FaultProbabilities, val plan: FleetPlan) {
    val random = Random(seed)
    var time = 0L
        private set
    val admissions = mutableListOf<Admission>()
    val limits = HashMap<BucketId, MutableList<EffectiveLimit>>()
    val instances = LinkedHashMap<InstanceId, SimulatedInstance>()
    var admitted = 0
    var refused = 0

    /** The refused requests that a single central bucket would have admitted. */
    var refusedWithinRate = 0
    val messageCounts = HashMap<String, Int>()
    private val queue = PriorityQueue<Scheduled>(compareBy<Scheduled> { it.time }.thenBy { it.order })
    private val log = mutableListOf<StoredRecord>()
    private var logDownUntil = 0L
    private val partitions = HashSet<Set<InstanceId>>()
    private val centralBuckets = HashMap<BucketId, CentralBucket>()
    private var configuration = Configuration(plan = Versioned(plan, LogOffset.FIRST))
    private var order = 0L
    private var requestCount = 0L

    private class Scheduled(val time: Long, val order: Long, val action: () -> Unit)

    fun schedule(delay: Duration, action: () -> Unit) {
        queue.add(Scheduled(time + delay.inWholeNanoseconds, order++, action))
    }

    fun runFor(duration: Duration) {
        val end = time + duration.inWholeNanoseconds
        while (queue.isNotEmpty() && queue.peek().time <= end) {
            val next = queue.remove()
            time = maxOf(time, next.time)
            next.action()
        }
        time = end
    }

    val logIsDown: Boolean get() = time < logDownUntil

    fun logOutage(duration: Duration) {
        logDownUntil = maxOf(logDownUntil, time + duration.inWholeNanoseconds)
    }

    fun partition(first: InstanceId, second: InstanceId, duration: Duration) {
        val pair = setOf(first, second)
        partitions.add(pair)
        schedule(duration) { partitions.remove(pair) }
    }

    fun setLimit(bucket: BucketId, rate: Long, burst: Long) {
        limits.getOrPut(bucket) { mutableListOf() }.add(EffectiveLimit(time, rate, burst))
        centralBuckets.getOrPut(bucket) { CentralBucket(burst) }.change(rate, burst, time)
        val profile = Versioned(Profile(bucket.profile, rate, burst), LogOffset(order))
        val profiles = configuration.profiles + (bucket.profile to profile)
        val grantedProfiles = configuration.workspaces[bucket.workspace]?.value?.profiles.orEmpty()
        val workspace = Versioned(Workspace(bucket.workspace, (grantedProfiles + bucket.profile).distinct()), LogOffset(order))
        configuration = configuration.copy(profiles = profiles, workspaces = configuration.workspaces + (bucket.workspace to workspace))
        instances.values.forEach { instance -> schedule(jitter(300.milliseconds)) { instance.receiveConfiguration() } }
    }

    fun changePlan(next: FleetPlan) {
        configuration = configuration.copy(plan = Versioned(next, LogOffset(++order)))
        instances.values.forEach { instance -> schedule(jitter(800.milliseconds)) { instance.receiveConfiguration() } }
    }

    /** How often two processes could spend from the same part of a slot, sampled every [MONITOR_INTERVAL]. */
    var doublySpendableParts = 0
        private set

    fun monitorSpendableParts() {
        val usable = instances.values.filter { it.alive }.flatMap { it.admission.usableParts(it.now()) }
        doublySpendableParts += usable.size - usable.toSet().size
        schedule(MONITOR_INTERVAL) { monitorSpendableParts() }
    }

    fun resetCounts() {
        admitted = 0
        refused = 0
        refusedWithinRate = 0
        messageCounts.clear()
    }

    fun jitter(upTo: Duration): Duration = (random.nextDouble() * upTo.inWholeNanoseconds).toLong().nanoseconds

    /** Starts a process at the address of [id]; a process that ran there before has ended. */
    fun start(id: InstanceId): SimulatedInstance {
        val previous = instances[id]
        previous?.alive = false
        val instance = SimulatedInstance(id, InstanceIncarnation((previous?.incarnation?.number ?: 0) + 1))
        instances[id] = instance
        instance.begin()
        membershipChanged(2.seconds)
        return instance
    }

    fun crash(id: InstanceId) {
        instances[id]?.alive = false
        membershipChanged(8.seconds)
    }

    private fun membershipChanged(lag: Duration) {
        instances.values.forEach { instance -> schedule(jitter(lag)) { instance.receiveMembership() } }
    }

    /** Sends a request with [estimate] tokens to [instance]; it ends after [duration] and has used [used] tokens. */
    fun request(instance: SimulatedInstance, bucket: BucketId, estimate: Long, used: Long, duration: Duration) = instance.whenNotPaused {
        val id = RequestId("r${requestCount++}")
        instance.outcomes[id] = Outcome(bucket, estimate, used, duration, centralBuckets.getValue(bucket))
        when (val decision = instance.admission.admit(id, bucket, estimate, instance.now())) {
            is AdmissionDecision.Pending -> instance.perform(decision.effects)
            else -> recordDecision(instance, id, decision)
        }
        instance.setTimer()
    }

    private fun recordDecision(instance: SimulatedInstance, id: RequestId, decision: AdmissionDecision) {
        val outcome = instance.outcomes.remove(id) ?: return
        if (decision is AdmissionDecision.Refused) {
            refused++
            if (outcome.central.level(time) >= outcome.estimate) refusedWithinRate++
            return
        }
        admitted++
        val admission = Admission(time, outcome.bucket, outcome.estimate)
        admissions.add(admission)
        val mark = outcome.central.spend(outcome.estimate, time)
        schedule(outcome.duration) {
            if (!instance.alive) return@schedule
            instance.whenNotPaused {
                admission.tokens = outcome.used
                outcome.central.refund(outcome.estimate - outcome.used, mark, time)
                instance.perform(instance.admission.settle(id, outcome.used, instance.now()))
                instance.setTimer()
            }
        }
    }

    internal class Outcome(val bucket: BucketId, val estimate: Long, val used: Long, val duration: Duration, val central: CentralBucket)

    /** A central bucket that sees every request of the fleet. */
    internal class CentralBucket(burst: Long) {
        private var bucket = TokenBucket(BucketLimit(0, unitsOf(burst)), MonotonicTime.ZERO).apply { credit(unitsOf(burst)) }

        fun change(rate: Long, burst: Long, time: Long) =
            bucket.changeLimit(BucketLimit(unitsPerNanosecond(rate, 0), unitsOf(burst)), MonotonicTime(time))

        fun level(time: Long): Long {
            bucket.accrue(MonotonicTime(time))
            return tokensOf(bucket.levelUnits)
        }

        fun spend(tokens: Long, time: Long): Long {
            bucket.accrue(MonotonicTime(time))
            return bucket.spend(unitsOf(tokens))
        }

        fun refund(tokens: Long, mark: Long, time: Long) = bucket.refund(unitsOf(tokens), mark, MonotonicTime(time))
    }

    internal inner class SimulatedInstance(val id: InstanceId, val incarnation: InstanceIncarnation) {
        val admission = SlotAdmissionControl(id, incarnation, settings)
        val outcomes = HashMap<RequestId, Outcome>()
        var alive = true
        var stopping = false
        private var pausedUntil = 0L
        private var timerAt: Long? = null
        private var logPartitionedUntil = 0L
        private val clockOffset = random.nextLong(1_000_000_000_000)
        private val clockDriftPerMillion = settings.clockDriftPerMille * 1000L * random.nextInt(-1, 2)

        fun now() = MonotonicTime(clockOffset + time + time / MILLION * clockDriftPerMillion)

        fun begin() {
            handle(TimerFired)
            schedule(jitter(50.milliseconds)) { receiveConfiguration() }
        }

        fun receiveConfiguration() = handle(ConfigurationChanged(configuration))

        fun receiveMembership() {
            val runningInstances = instances.values.filter { it.alive }.associate {
                val state = if (it.stopping) InstanceState.LEAVING else InstanceState.LIVE
                it.id to Instance(it.id, it.incarnation, it.id.text, it.id.text, ZoneName("z"), state)
            }
            handle(MembershipChanged(Membership(id, runningInstances)))
        }

        fun pause(duration: Duration) {
            pausedUntil = maxOf(pausedUntil, time + duration.inWholeNanoseconds)
        }

        /** Cuts the connection between this instance and the log for [duration]. */
        fun partitionFromLog(duration: Duration) {
            logPartitionedUntil = maxOf(logPartitionedUntil, time + duration.inWholeNanoseconds)
        }

        fun stop() {
            stopping = true
            membershipChanged(2.seconds)
            handle(StopRequested(now() + 10.minutes))
        }

        fun whenNotPaused(action: () -> Unit) {
            if (!alive) return
            if (time < pausedUntil) schedule((pausedUntil - time).nanoseconds) { whenNotPaused(action) } else action()
        }

        fun handle(event: CoreEvent) {
            whenNotPaused {
                perform(admission.handle(event, now()))
                setTimer()
            }
        }

        fun perform(effects: List<CoreEffect>) = effects.forEach { effect ->
            when (effect) {
                is Publish -> (effect.event as? AdmissionResolved)?.let { recordDecision(this, it.request, it.decision) }
                is SendToPeer -> send(effect)
                is AppendRecord -> append(effect)
                is FollowStream -> poll(effect.from)
                else -> Unit
            }
        }

        fun setTimer() {
            val deadline = admission.nextDeadline ?: return
            val delay = (deadline - now()).inWholeNanoseconds.coerceAtLeast(MINIMUM_TIMER_NANOSECONDS)
            val at = time + delay + random.nextLong(TIMER_JITTER_NANOSECONDS)
            if (timerAt.let { it != null && it in time..at }) return
            timerAt = at
            schedule((at - time).nanoseconds) {
                if (timerAt == at) {
                    timerAt = null
                    handle(TimerFired)
                }
            }
        }

        private fun send(effect: SendToPeer) {
            val kind = effect.message::class.simpleName.orEmpty()
            messageCounts.merge(kind, 1, Int::plus)
            if (random.nextDouble() < faultProbabilities.messageLoss || setOf(id, effect.peer) in partitions) return
            deliver(effect)
            if (random.nextDouble() < faultProbabilities.messageDuplication) deliver(effect)
        }

        private fun deliver(effect: SendToPeer) {
            val slow = random.nextDouble() < faultProbabilities.messageDelay
            val delay = 300.microseconds + jitter(if (slow) 3.seconds else 1.milliseconds)
            val sender = id
            schedule(delay) { instances[effect.peer]?.handle(PeerMessageReceived(sender, effect.message)) }
        }

        private fun append(effect: AppendRecord) {
            messageCounts.merge("append", 1, Int::plus)
            val late = random.nextDouble() < faultProbabilities.appendDelay
            schedule(1.milliseconds + jitter(if (late) 20.seconds else 3.milliseconds)) {
                if (logIsDown || time < logPartitionedUntil) {
                    handle(AppendUncertain(effect.stream, effect.recordId))
                } else {
                    val offset = LogOffset(log.size.toLong())
                    log.add(StoredRecord(offset, effect.recordId, effect.record))
                    val answered = random.nextDouble() >= faultProbabilities.appendAnswerLoss
                    schedule(jitter(2.milliseconds)) {
                        handle(
                            if (answered) {
                                AppendAcknowledged(effect.stream, effect.recordId, offset)
                            } else {
                                AppendUncertain(effect.stream, effect.recordId)
                            },
                        )
                    }
                }
            }
        }

        private fun poll(from: LogOffset): Unit = whenNotPaused {
            val askedAt = now()
            val slow = random.nextDouble() < faultProbabilities.readDelay
            schedule(jitter(4.milliseconds)) {
                val down = logIsDown || time < logPartitionedUntil
                val records = if (down) emptyList() else log.drop(from.number.toInt()).take(PAGE_SIZE)
                val next = LogOffset(from.number + records.size)
                val reachedTail = next.number == log.size.toLong()
                schedule(jitter(if (slow) 6.seconds else 2.milliseconds)) {
                    val event = RecordsRead(StreamName.SLOTS, records, next, LogOffset.FIRST, reachedTail, askedAt)
                    handle(if (down) ReadFailed(StreamName.SLOTS) else event)
                    schedule(if (down) 500.milliseconds else 10.milliseconds + jitter(20.milliseconds)) { poll(next) }
                }
            }
        }
    }

    /** Returns the maximum over all time windows of admitted tokens - (burst + rate x length); above 0, it is an excess over the limit. */
    fun maxExcess(bucket: BucketId): Double {
        val steps = limits.getValue(bucket)
        var level = steps.first().burst.toDouble()
        var last = 0L
        var worst = Double.NEGATIVE_INFINITY
        for (admission in admissions.filter { it.bucket == bucket }) {
            val limit = steps.last { it.from <= admission.time }
            level = minOf(limit.burst.toDouble(), level + limit.rate.toDouble() * (admission.time - last) / NANOSECONDS_PER_SECOND)
            level -= admission.tokens
            last = admission.time
            worst = maxOf(worst, -level)
        }
        return worst
    }

    companion object {
        const val MILLION = 1_000_000L
        const val MINIMUM_TIMER_NANOSECONDS = 1_000_000L
        const val TIMER_JITTER_NANOSECONDS = 3_000_000L
        const val PAGE_SIZE = 200
        val MONITOR_INTERVAL = 10.milliseconds
        const val NANOSECONDS_PER_SECOND = 1e9

        fun bucket(workspace: String, profile: String = "standard-$workspace") = BucketId(WorkspaceId(workspace), ProfileName(profile))
    }
}
