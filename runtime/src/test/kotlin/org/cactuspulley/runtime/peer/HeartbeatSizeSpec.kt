package org.cactuspulley.runtime.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import org.cactuspulley.core.membership.InstanceState
import org.cactuspulley.core.membership.MAX_NEIGHBOURS
import org.cactuspulley.core.message.Heartbeat
import org.cactuspulley.core.message.HeartbeatAnswer
import org.cactuspulley.core.message.PeerMessage
import org.cactuspulley.core.message.ReachabilityEvidence
import org.cactuspulley.core.model.InstanceIncarnation

private const val FRAME_OVERHEAD_BYTES = Int.SIZE_BYTES + FrameAuthenticator.TAG_BYTES

class HeartbeatSizeSpec : DescribeSpec({
    val incarnation = InstanceIncarnation(1_764_835_200_000)
    val heartbeat =
        Heartbeat(incarnation.number * 1_000_000, incarnation, InstanceState.LIVE, 1_000_000, Long.MAX_VALUE, Long.MAX_VALUE, false)
    val answer = HeartbeatAnswer(heartbeat.number, incarnation, InstanceState.LIVE, 1_000_000, isInformed = true, freshMillis = 500)

    fun bytesOf(message: PeerMessage) =
        encodeFrame(PeerEnvelope.serializer(), PeerEnvelope(PEER_PROTOCOL_VERSION, message)).size + FRAME_OVERHEAD_BYTES

    describe("the heartbeats of an instance in a deployment of 410 instances") {
        it("take less than a tenth of 5 KB per second with one heartbeat to each neighbour every two seconds") {
            val perSecond = (bytesOf(heartbeat) + bytesOf(answer)) * MAX_NEIGHBOURS / 2
            println("heartbeat ${bytesOf(heartbeat)} bytes, answer ${bytesOf(answer)} bytes, $perSecond bytes per second")
            perSecond shouldBeLessThan 512
        }

        it("take less than 2 KB per second with reachability evidence while the log is down") {
            val evidence = ReachabilityEvidence(Long.MAX_VALUE, ByteArray(410))
            val perSecond = (bytesOf(heartbeat) + bytesOf(answer.copy(evidence = evidence))) * MAX_NEIGHBOURS / 2
            println("with evidence $perSecond bytes per second")
            perSecond shouldBeLessThan 2048
        }
    }
})
