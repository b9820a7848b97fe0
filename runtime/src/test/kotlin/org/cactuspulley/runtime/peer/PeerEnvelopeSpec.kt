package org.cactuspulley.runtime.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.membership.InstanceState
import org.cactuspulley.core.message.Heartbeat
import org.cactuspulley.core.message.HeartbeatAnswer
import org.cactuspulley.core.message.LoanRequested
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.message.ReachabilityEvidence
import org.cactuspulley.core.message.RelayedKnowledge
import org.cactuspulley.core.message.SlotTableAsked
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WorkspaceId

class PeerEnvelopeSpec : FunSpec({
    val incarnation = InstanceIncarnation(7)
    val answer = HeartbeatAnswer(5, incarnation, InstanceState.LIVE, next = 9, isInformed = true)
    val knowledge = RelayedKnowledge(
        withdrawals = mapOf(KeyDigest("ab") to setOf(InstanceId("i1"))),
        electorate = listOf(InstanceId("i1")),
    )

    fun roundTrip(message: PeerMessage): PeerMessage =
        decodeFrame(PeerEnvelope.serializer(), encodeFrame(PeerEnvelope.serializer(), PeerEnvelope(1, message))).message

    context("a message is unchanged after an encoding round trip") {
        withData<PeerMessage>(
            nameFn = { it.toString() },
            Heartbeat(5, incarnation, InstanceState.LIVE, next = -1, withdrawals = 3, electorate = 4, needsEvidence = true),
            answer,
            answer.copy(freshMillis = 8, knowledge = knowledge),
            SlotTableAsked(number = 1, wholeTable = true),
            LoanRequested(incarnation, 1, BucketId(WorkspaceId("w"), ProfileName("p")), 2, 3, 4, 5),
        ) { message -> roundTrip(message) shouldBe message }
    }

    test("reachability evidence is unchanged after an encoding round trip") {
        val sent = answer.copy(evidence = ReachabilityEvidence(4, byteArrayOf(1, 2), byteArrayOf(3)))
        val received = (roundTrip(sent) as HeartbeatAnswer).evidence!!
        received.electorate shouldBe 4
        received.ages.toList() shouldBe listOf<Byte>(1, 2)
        received.contacts.toList() shouldBe listOf<Byte>(3)
    }
})
