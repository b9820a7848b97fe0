package org.cactuspulley.core.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.NeighboursChanged
import org.cactuspulley.core.event.PeerMessageReceived
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.InstanceState
import org.cactuspulley.core.message.Heartbeat
import org.cactuspulley.core.message.HeartbeatAnswer
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.message.RelayedKnowledge
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationPartSpec : DescribeSpec({
    describe("a heartbeat answer") {
        it("that arrives late proves freshness as of the time when the heartbeat was sent") {
            val part = StartedPart(neighbours = 1)
            val heartbeat = part.heartbeats.single()
            part.answer(heartbeat, after = 2_400.milliseconds, freshMillis = 0)
            part.status shouldBe ConfigurationStatus.FRESH
            part.advance(300.milliseconds)
            part.status.serves shouldBe false
        }

        it("to the previous incarnation is ignored after a restart") {
            val before = StartedPart(neighbours = 1, incarnation = 1)
            val after = StartedPart(neighbours = 1, incarnation = 2)
            after.answer(before.heartbeats.single(), freshMillis = 0)
            after.status shouldBe ConfigurationStatus.NO_CONFIGURATION
        }
    }

    describe("a started instance") {
        it("does not count towards a majority until it has merged the knowledge of a majority") {
            val part = StartedPart(neighbours = 4)
            val (first, second) = part.heartbeats
            part.answer(first, from = 1)
            part.ownAnswer().isInformed shouldBe false
            part.answer(second, from = 2)
            part.ownAnswer().isInformed shouldBe true
        }

        it("does not serve on the answers of instances that have just started too") {
            val part = StartedPart(neighbours = 4)
            part.heartbeats.forEachIndexed { index, heartbeat -> part.answer(heartbeat, from = index + 1, isInformed = false) }
            part.status shouldBe ConfigurationStatus.STALE
        }
    }
})

/** A newly started part in an electorate of five instances; the test answers on behalf of its neighbours. */
private class StartedPart(neighbours: Int, incarnation: Long = 1) {
    private val part = ConfigurationPart(instance(0, incarnation))
    private var now = MonotonicTime.ZERO + 100.seconds
    val heartbeats: List<Heartbeat>

    init {
        handle(TimerFired)
        val effects = handle(NeighboursChanged((1..neighbours).map { instance(it, 1) }))
        heartbeats = effects.messages().filterIsInstance<Heartbeat>()
    }

    val status: ConfigurationStatus get() = part.statusAt(now)

    fun advance(time: Duration) {
        now += time
    }

    fun answer(
        heartbeat: Heartbeat,
        from: Int = 1,
        after: Duration = 1.milliseconds,
        freshMillis: Long? = null,
        isInformed: Boolean = true,
    ) {
        advance(after)
        val knowledge = RelayedKnowledge(snapshot = Configuration(), electorate = (0..4).map { InstanceId("i$it") })
        val state = InstanceState.LIVE
        val answer = HeartbeatAnswer(heartbeat.number, InstanceIncarnation(1), state, 0, isInformed, freshMillis, knowledge)
        handle(PeerMessageReceived(InstanceId("i$from"), answer))
    }

    fun ownAnswer(): HeartbeatAnswer {
        val heartbeat = Heartbeat(1, InstanceIncarnation(1), InstanceState.LIVE, 0, 0, 0, needsEvidence = false)
        return handle(PeerMessageReceived(InstanceId("i4"), heartbeat)).messages().filterIsInstance<HeartbeatAnswer>().single()
    }

    private fun handle(event: CoreEvent): List<CoreEffect> = part.handle(event, now)

    private fun List<CoreEffect>.messages(): List<PeerMessage> = filterIsInstance<SendToPeer>().map { it.message }

    private fun instance(number: Int, incarnation: Long) =
        Instance(InstanceId("i$number"), InstanceIncarnation(incarnation), "i$number:80", "i$number:81", ZoneName("z"))
}
