package org.cactuspulley.core.quarantine

import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.event.TrialResolved
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.record.StoredRecord
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates the quarantines of several instances and a caller that sends the same request to all of them
 * repeatedly. Each attempt of the request crashes its target after a delay, and the instance then retries.
 *
 * @property messageLoss the probability that a message between instances is lost.
 * @property logAvailable whether the log accepts appends and serves reads.
 * @property restarts the number of times that an instance crashes and restarts.
 */
internal class QuarantineSimulation(
    seed: Long,
    private val messageLoss: Double,
    private val logAvailable: Boolean = true,
    private val restarts: Int = 0,
) {
    private class Step(val time: MonotonicTime, val order: Long, val action: () -> Unit)

    private class SimulatedInstance(val id: InstanceId, val incarnation: Long) {
        val part = QuarantinePart(id, InstanceIncarnation(incarnation))
        var crashed = false
        var readOffset = 0
        var hasRead = false
    }

    private val random = Random(seed)
    private val steps = PriorityQueue<Step>(compareBy({ it.time }, { it.order }))
    private val log = mutableListOf<StoredRecord>()
    private val ids = List(INSTANCES) { InstanceId("instance-$it") }
    private val instances = ids.associateWith { SimulatedInstance(it, 1) }.toMutableMap()
    private var now = MonotonicTime.ZERO
    private var order = 0L
    private var lastRequest = 0

    /** Counts the targets that crashed. */
    var targetCrashes = 0
        private set

    /** Counts the requests that were refused. */
    var refused = 0
        private set

    fun run() {
        instances.values.forEach(::startInstance)
        at(FIRST_SUBMISSION) { submit(instances.getValue(ids.random(random))) }
        repeat(restarts) { at(FIRST_SUBMISSION + random.nextLong(0, 15_000).milliseconds) { restart(ids.random(random)) } }
        while (steps.isNotEmpty()) {
            val step = steps.poll()
            if (step.time > END) return
            now = step.time
            step.action()
        }
    }

    private fun startInstance(instance: SimulatedInstance) {
        membershipChanged(instance)
        tick(instance)
    }

    private fun tick(instance: SimulatedInstance): Unit = after(TICK_MILLIS) {
        if (instance.crashed) return@after
        deliver(instance, TimerFired)
        if (logAvailable) read(instance)
        tick(instance)
    }

    private fun read(instance: SimulatedInstance) {
        val records = log.drop(instance.readOffset)
        instance.readOffset = log.size
        instance.hasRead = true
        val next = LogOffset(log.size.toLong())
        deliver(instance, RecordsRead(StreamName.QUARANTINE, records, next, LogOffset.FIRST, true, now))
    }

    private fun submit(instance: SimulatedInstance) {
        val request = RequestId("r${++lastRequest}")
        tryAttempt(instance, request, number = 1)
    }

    private fun tryAttempt(instance: SimulatedInstance, request: RequestId, number: Int) {
        when (instance.part.verdict(POISON_FINGERPRINT, now)) {
            QuarantineVerdict.Clear -> startAttempt(instance, request, number)
            QuarantineVerdict.Suspect -> execute(instance, instance.part.requestTrial(request, POISON_FINGERPRINT, now + 20.seconds, now))
            is QuarantineVerdict.Quarantined -> refused += 1
        }
    }

    private fun startAttempt(instance: SimulatedInstance, request: RequestId, number: Int) = after(random.nextLong(1, 4_000)) {
        if (instance.crashed) return@after
        targetCrashes += 1
        execute(instance, instance.part.reportCrash(AttemptId("${request.text}.$number"), request, POISON_FINGERPRINT, now))
        tryAttempt(instance, request, number + 1)
        if (targetCrashes == 1) repeat(RESUBMISSIONS) { at(now + random.nextLong(1_500, 15_000).milliseconds) { resubmit() } }
    }

    /** Submits the request to an instance that has read the log since its start, because callers get the address of no other. */
    private fun resubmit() = instances.values.filter { it.hasRead || !logAvailable }.randomOrNull(random)?.let(::submit)

    private fun restart(id: InstanceId) {
        val old = instances.getValue(id)
        old.crashed = true
        val instance = SimulatedInstance(id, old.incarnation + 1)
        instances[id] = instance
        startInstance(instance)
        instances.values.filter { it.id != id }.forEach { other -> after(random.nextLong(1, 500)) { membershipChanged(other) } }
    }

    private fun membershipChanged(instance: SimulatedInstance) {
        val members = instances.values.associate {
            it.id to Instance(it.id, InstanceIncarnation(it.incarnation), "127.0.0.1:1", "127.0.0.1:2", ZoneName("zone"))
        }
        deliver(instance, MembershipChanged(Membership(instance.id, members)))
    }

    private fun deliver(instance: SimulatedInstance, event: CoreEvent) {
        if (!instance.crashed) execute(instance, instance.part.handle(event, now))
    }

    private fun execute(instance: SimulatedInstance, effects: List<CoreEffect>) = effects.forEach { effect ->
        when (effect) {
            is SendToPeer -> if (random.nextDouble() >= messageLoss) {
                after(random.nextLong(1, 200)) {
                    deliver(instances.getValue(effect.peer), PeerMessageReceived(instance.id, effect.message))
                }
            }

            is AppendRecord -> append(instance, effect)

            is Publish -> (effect.event as? TrialResolved)?.let { handleTrialResolved(instance, it) }

            else -> Unit
        }
    }

    private fun append(instance: SimulatedInstance, effect: AppendRecord): Unit = after(random.nextLong(1, 200)) {
        if (logAvailable) log += StoredRecord(LogOffset(log.size.toLong()), effect.recordId, effect.record)
        val offset = LogOffset(log.size.toLong())
        deliver(
            instance,
            if (logAvailable) {
                AppendAcknowledged(effect.stream, effect.recordId, offset)
            } else {
                AppendUncertain(effect.stream, effect.recordId)
            },
        )
    }

    private fun handleTrialResolved(instance: SimulatedInstance, event: TrialResolved) {
        val startBefore = event.startBefore
        if (startBefore == null || instance.part.verdict(POISON_FINGERPRINT, now) is QuarantineVerdict.Quarantined) {
            refused += 1
        } else {
            startAttempt(instance, event.request, number = 2)
        }
    }

    private fun at(time: MonotonicTime, action: () -> Unit) {
        steps.add(Step(time, order++, action))
    }

    private fun after(millis: Long, action: () -> Unit) = at(now + millis.milliseconds, action)

    private companion object {
        const val INSTANCES = 6
        const val RESUBMISSIONS = 30
        const val TICK_MILLIS = 100L
        val POISON_FINGERPRINT = Fingerprint(WorkspaceId("workspace"), 13)
        val FIRST_SUBMISSION = MonotonicTime.ZERO + 5.seconds
        val END = MonotonicTime.ZERO + 120.seconds
    }
}
