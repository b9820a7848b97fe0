package org.cactuspulley.core.journal

import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.UnfollowStream
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.ClaimResolved
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.requests.AnswerBody
import org.cactuspulley.core.requests.RecordedAnswer
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Configures how often each fault occurs in one simulation.
 *
 * @property lostAppendProbability the probability that an append does not reach the log.
 * @property lostAnswerProbability the probability that the answer to a successful append is lost.
 * @property duplicateAppendProbability the probability that an append is stored twice.
 * @property crashes the number of instance crashes.
 * @property pauses the number of instance pauses.
 * @property outages the number of log outages.
 * @property cancellations the probability that a granted request is cancelled instead of executed.
 */
internal data class Faults(
    val lostAppendProbability: Double = 0.0,
    val lostAnswerProbability: Double = 0.0,
    val duplicateAppendProbability: Double = 0.0,
    val crashes: Int = 0,
    val pauses: Int = 0,
    val outages: Int = 0,
    val cancellations: Double = 0.0,
) {
    companion object {
        val NONE = Faults()
        val ALL = Faults(0.15, 0.25, 0.1, crashes = 6, pauses = 4, outages = 2, cancellations = 0.15)
    }
}

/**
 * Simulates the journals of several instances over one log. All delays and faults are drawn from the seed, and
 * steps are ordered by simulated time and insertion order, so a seed always gives the same result.
 */
internal class JournalSimulation(seed: Long, private val faults: Faults) {
    private class Step(val time: MonotonicTime, val order: Long, val action: () -> Unit)

    private class Instance(val id: InstanceId, val incarnation: Long) {
        val journal = JournalPart(id, InstanceIncarnation(incarnation), JournalSettings(idleTimeout = 2.seconds))
        val followers = mutableMapOf<StreamName, Follower>()
        var pausedUntil = MonotonicTime.ZERO
        var crashed = false
    }

    private class Follower(var position: LogOffset)

    data class Submission(
        val request: RequestId,
        val key: JournalKey,
        val fingerprint: Long,
        val instance: Int,
        val deadline: MonotonicTime,
    )

    private val random = Random(seed)
    private val steps = PriorityQueue<Step>(compareBy({ it.time }, { it.order }))
    private val streams = mutableMapOf<StreamName, MutableList<StoredRecord>>()
    private val instances = MutableList(INSTANCES) { newInstance(it, 1) }
    private val outages = List(faults.outages) { randomTime().let { it..it + random.nextLong(500, 4_000).milliseconds } }
    private val submissions = mutableMapOf<RequestId, Submission>()
    private var now = MonotonicTime.ZERO
    private var order = 0L

    /** Holds the submissions whose requests were executed, in the order of execution. */
    val executions = mutableListOf<Submission>()

    /** Holds the decision on each claim. */
    val decisions = mutableMapOf<RequestId, ClaimDecision>()

    /** Holds the requests that their instances cancelled without executing them. */
    val cancelled = mutableSetOf<RequestId>()

    fun submissionOf(request: RequestId): Submission = submissions.getValue(request)

    fun run() {
        scheduleSubmissions()
        repeat(faults.crashes) {
            val index = random.nextInt(INSTANCES)
            at(randomTime()) { crash(index) }
        }
        repeat(faults.pauses) {
            val index = random.nextInt(INSTANCES)
            at(randomTime()) { pause(index) }
        }
        while (steps.isNotEmpty()) {
            val step = steps.poll()
            if (step.time > END) return
            now = step.time
            step.action()
        }
    }

    private fun scheduleSubmissions() = repeat(SUBMISSIONS) { number ->
        val key = JournalKey(WORKSPACE, IdempotencyKey("key-${random.nextInt(KEYS)}"))
        val at = randomTime()
        val fingerprint = if (random.nextDouble() < 0.05) 2L else 1L
        val submission =
            Submission(RequestId("r$number"), key, fingerprint, random.nextInt(INSTANCES), at + random.nextLong(4_000, 20_000).milliseconds)
        submissions[submission.request] = submission
        at(at) { submit(submission) }
    }

    private fun submit(submission: Submission) = onInstance(instances[submission.instance]) { instance ->
        if (now < submission.deadline) {
            execute(instance, instance.journal.claim(submission.request, submission.key, submission.fingerprint, submission.deadline, now))
            at(submission.deadline) { onInstance(instance) { cancelUndecided(it, submission) } }
        }
    }

    private fun cancelUndecided(instance: Instance, submission: Submission) {
        if (submission.request in decisions) return
        cancelled += submission.request
        execute(instance, instance.journal.cancel(submission.request, now))
    }

    private fun handleClaimResolved(instance: Instance, event: ClaimResolved) {
        decisions[event.request] = event.decision
        if (event.decision != ClaimDecision.RunHere) return
        val submission = submissions.getValue(event.request)
        after(random.nextLong(0, 300)) { onInstance(instance) { start(it, submission) } }
    }

    private fun start(instance: Instance, submission: Submission) {
        if (now >= submission.deadline || random.nextDouble() < faults.cancellations) {
            cancelled += submission.request
            execute(instance, instance.journal.cancel(submission.request, now))
            return
        }
        executions += submission
        val outcome = if (random.nextDouble() < 0.1) JournalOutcome.Unknown else JournalOutcome.Answered(answerOf(submission))
        after(random.nextLong(0, 500)) {
            onInstance(instance) { execute(it, it.journal.finish(submission.request, outcome, now)) }
        }
    }

    private fun crash(index: Int) {
        if (instances[index].crashed) return
        instances[index].crashed = true
        val next = instances[index].incarnation + 1
        after(random.nextLong(0, 1_000)) { instances[index] = newInstance(index, next) }
    }

    private fun pause(index: Int) {
        instances[index].pausedUntil = now + random.nextLong(100, 8_000).milliseconds
    }

    private fun execute(instance: Instance, effects: List<CoreEffect>) = effects.forEach { effect ->
        when (effect) {
            is AppendRecord -> append(instance, effect)
            is FollowStream -> follow(instance, effect.stream, effect.from)
            is UnfollowStream -> instance.followers.remove(effect.stream)
            is Publish -> (effect.event as? ClaimResolved)?.let { handleClaimResolved(instance, it) }
            else -> Unit
        }
    }

    private fun append(instance: Instance, effect: AppendRecord) {
        val lost = random.nextDouble() < faults.lostAppendProbability
        val answerLost = lost || random.nextDouble() < faults.lostAnswerProbability
        val copies = if (random.nextDouble() < faults.duplicateAppendProbability) 2 else 1
        val arrival = random.nextLong(1, 400)
        if (!lost) repeat(copies) { copy -> after(arrival + copy * random.nextLong(1, 3_000)) { if (!isLogUnavailable()) store(effect) } }
        val uncertain = answerLost || isLogUnavailable()
        val answer = if (uncertain) AppendUncertain(effect.stream, effect.recordId) else null
        after(arrival + random.nextLong(1, 600)) {
            val offset = streams[effect.stream].orEmpty().firstOrNull { it.id == effect.recordId }?.offset
            val event = if (answer == null && offset != null) AppendAcknowledged(effect.stream, effect.recordId, offset) else null
            deliver(instance, event ?: AppendUncertain(effect.stream, effect.recordId))
        }
    }

    private fun store(effect: AppendRecord) {
        val records = streams.getOrPut(effect.stream, ::mutableListOf)
        records += StoredRecord(LogOffset(records.size.toLong()), effect.recordId, effect.record)
    }

    private fun follow(instance: Instance, stream: StreamName, from: LogOffset) {
        val follower = Follower(from)
        instance.followers[stream] = follower
        after(random.nextLong(1, 300)) { read(instance, stream, follower) }
    }

    /** Reads a page. It may arrive after the stream is unfollowed, as on the real control thread. */
    private fun read(instance: Instance, stream: StreamName, follower: Follower) {
        if (instance.followers[stream] !== follower || instance.crashed) return
        val from = follower.position
        val asked = now
        val records = streams[stream].orEmpty().drop(from.number.toInt()).take(random.nextInt(1, 5))
        val next = LogOffset(from.number + records.size)
        val tail = next.number >= streams[stream].orEmpty().size
        val event = if (isLogUnavailable()) ReadFailed(stream) else RecordsRead(stream, records, next, LogOffset.FIRST, tail, asked)
        if (event is RecordsRead) follower.position = next
        after(random.nextLong(1, 200)) {
            deliver(instance, event)
            after(random.nextLong(1, 300)) { read(instance, stream, follower) }
        }
    }

    private fun deliver(instance: Instance, event: CoreEvent) = onInstance(instance) {
        execute(it, it.journal.handle(event, now))
    }

    private fun newInstance(index: Int, incarnation: Long): Instance {
        val instance = Instance(InstanceId("instance-$index"), incarnation)
        tick(instance)
        return instance
    }

    private fun tick(instance: Instance) {
        after(TICK_MILLIS) {
            if (!instance.crashed) {
                deliver(instance, TimerFired)
                tick(instance)
            }
        }
    }

    /** Runs [action] unless the instance has crashed. If the instance is paused, the action runs when the pause ends. */
    private fun onInstance(instance: Instance, action: (Instance) -> Unit) {
        when {
            instance.crashed -> Unit
            now < instance.pausedUntil -> at(instance.pausedUntil) { onInstance(instance, action) }
            else -> action(instance)
        }
    }

    private fun isLogUnavailable() = outages.any { now in it }

    private fun randomTime() = MonotonicTime.ZERO + random.nextLong(0, SUBMISSION_SPAN.inWholeMilliseconds).milliseconds

    private fun at(time: MonotonicTime, action: () -> Unit) {
        steps.add(Step(time, order++, action))
    }

    private fun after(millis: Long, action: () -> Unit) = at(now + millis.milliseconds, action)

    companion object {
        private const val INSTANCES = 3
        private const val KEYS = 6
        private const val SUBMISSIONS = 30
        private const val TICK_MILLIS = 50L
        private val SUBMISSION_SPAN: Duration = 20.seconds
        private val END = MonotonicTime.ZERO + 90.seconds
        private val WORKSPACE = WorkspaceId("workspace")

        /** Returns the answer of the execution of [submission], which is different for each submission. */
        fun answerOf(submission: Submission) = RecordedAnswer(200, emptyList(), AnswerBody(submission.request.text.toByteArray()))
    }
}
