package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.rollout.EvidenceKey
import org.cactuspulley.core.rollout.HeardState
import org.cactuspulley.core.rollout.LatencyHistogram
import org.cactuspulley.core.rollout.ReleaseEvidence
import org.cactuspulley.core.rollout.ReleaseOrderId
import org.cactuspulley.core.rollout.ReleaseStage
import org.cactuspulley.core.rollout.ReleaseState
import org.cactuspulley.core.rollout.RouteEvidence
import org.cactuspulley.core.rollout.TargetEvidence
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val NOW = MonotonicTime.ZERO + 100.seconds
private val POOL = PoolName("desk")
private val ORDER = ReleaseOrderId(2, 7)
private val STATE =
    ReleaseState(POOL, ORDER, "v2", ReleaseStage.Shifting, NOW + 4.seconds, setOf("v1"), setOf("v0"), reportedEra = 2)
private val NOTICE = ReleaseNotice.of(HeardState(STATE, NOW - 300.milliseconds), NOW)

/** The fields of a digest that an instance of the previous release knows and that it can't do without. */
@Serializable
private class DigestWithoutReleases(val id: String, val incarnation: Long, val sequence: Long, val zone: String, val serves: Boolean)

@OptIn(ExperimentalSerializationApi::class)
class ReleaseMessagesSpec : DescribeSpec({
    describe("the state of a release in a digest") {
        // Guards against a permission to use a new version that starts anew with each instance that passes it on.
        it("keeps its age and the time that is left") {
            val later = NOW + 50.seconds
            val expected = HeardState(STATE.copy(deadline = later + 4.seconds), later - 300.milliseconds)
            NOTICE.decode(later) shouldBe expected
        }

        it("with a stage of a later release or with an age in the future is ignored") {
            NOTICE.copy(stage = "PAUSED").decode(NOW) shouldBe null
            NOTICE.copy(ageMillis = -1).decode(NOW) shouldBe null
            NOTICE.copy(target = "").decode(NOW) shouldBe null
        }

        it("does not keep an instance of the previous release from reading the digest") {
            val digest = FleetDigest("i-1", 1, 5, "zone-a", "10.0.0.1:1", "10.0.0.1:2", serves = true, releases = listOf(NOTICE))
            val bytes = peerCodec.encodeToByteArray(FleetDigest.serializer(), digest)
            peerCodec.decodeUntrusted(DigestWithoutReleases.serializer(), bytes).sequence shouldBe 5
        }
    }

    describe("the state of a release in the store") {
        val record = ReleaseRecord.of(STATE, NOW, nowMillis = 1_000_000)

        // Guards against a restarted instance that counts the whole duration again.
        it("has its deadline by the wall clock, for readers that have not seen the order") {
            record.decode(NOW + 1.seconds, nowMillis = 1_001_000)?.deadline shouldBe STATE.deadline
            record.decode(NOW + 1.seconds, nowMillis = null)?.deadline shouldBe null
        }
    }

    describe("the evidence on a release in a digest") {
        val counts = RouteEvidence(mapOf(TargetId("t-1") to TargetEvidence(9, 2, 1)), LatencyHistogram(mapOf(3 to 7L)))
        val evidence = ReleaseEvidence(POOL, ORDER, mapOf(EvidenceKey(RouteName("file"), "v2") to counts))

        it("is what the instance observed") {
            EvidenceNotice.of(evidence).decode() shouldBe evidence
        }

        // Guards against counts that a decision can't be computed from, because any host can send a datagram.
        it("lacks counts that are not plausible") {
            val targets = listOf(EncodedTargetEvidence("t-1", 1, 2, 0), EncodedTargetEvidence("t-2", 1, 0, -1))
            val decoded = EncodedRouteEvidence("file", "v2", targets, mapOf(-1 to 1L, 100_000 to 1L, 2 to -1L)).decode()
            decoded.targets.shouldBeEmpty()
            decoded.starts.buckets.shouldBeEmpty()
        }
    }
})
