/*
 * What instances tell each other about releases in their digests, and the record of a release in the store.
 */
package org.cactuspulley.runtime.forwarding

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds

/** The stage of a release as messages and records name it, and the number that the metrics show. */
internal enum class EncodedStage(val stage: ReleaseStage) {
    CANARY(ReleaseStage.Canary),
    SHIFTING(ReleaseStage.Shifting),
    COMPLETED(ReleaseStage.Completed),
    ROLLED_BACK(ReleaseStage.RolledBack),
    ;

    /** The number of the stage in the metrics; 0 stands for a release that has not been started. */
    val number: Int get() = ordinal + 1

    companion object {
        /** Returns the name of [stage]. */
        fun of(stage: ReleaseStage): EncodedStage = entries.first { it.stage == stage }
    }
}

/**
 * The state of the release of a service.
 *
 * @property era the era of the store in which the order was read.
 * @property offset the offset of the order.
 * @property target the version that is released.
 * @property stage the name of an [EncodedStage].
 * @property served the versions that may serve besides [target].
 * @property rejected the versions that were rolled back.
 * @property reportedEra the era of the store in which the operator's status shows the stage; null if it does not.
 * @property ageMillis the time since the holder of the order lease confirmed the state, in milliseconds; null if it is not known.
 * @property remainingMillis the time until the deadline of the release, in milliseconds; null if it is not known.
 */
@Serializable
internal data class ReleaseNotice(
    val service: String,
    val era: Long,
    val offset: Long,
    val target: String,
    val stage: String,
    val served: Set<String> = emptySet(),
    val rejected: Set<String> = emptySet(),
    val reportedEra: Long? = null,
    val ageMillis: Long? = null,
    val remainingMillis: Long? = null,
) {
    /** Returns the state and when it was confirmed, for a message that was sent at [at]; null if the values are not plausible. */
    fun decode(at: MonotonicTime): HeardState? {
        val known = EncodedStage.entries.firstOrNull { it.name == stage }?.stage ?: return null
        if (service.isEmpty() || target.isEmpty() || (ageMillis ?: 0) < 0) return null
        val deadline = remainingMillis?.let { at + it.coerceIn(-MAX_REMAINING_MILLIS, MAX_REMAINING_MILLIS).milliseconds }
        val heardAt = ageMillis?.let { at - it.coerceAtMost(MAX_REMAINING_MILLIS).milliseconds }
        val orderId = ReleaseOrderId(era, offset)
        return HeardState(ReleaseState(PoolName(service), orderId, target, known, deadline, served, rejected, reportedEra), heardAt)
    }

    companion object {
        /** Longer times would leave the range of the clock. */
        private val MAX_REMAINING_MILLIS = 365.days.inWholeMilliseconds

        /** Returns the message of [heard] at [now]. */
        fun of(heard: HeardState, now: MonotonicTime): ReleaseNotice = heard.state.run {
            ReleaseNotice(
                service.text, orderId.era, orderId.offset, targetVersion, EncodedStage.of(stage).name, servedVersions, rejectedVersions,
                reportedEra, heard.heardAt?.let { (now - it).inWholeMilliseconds.coerceAtLeast(0) },
                deadline?.let { (it - now).inWholeMilliseconds },
            )
        }
    }
}

/**
 * The state of a release in the store.
 *
 * @property notice the state, without times.
 * @property deadlineMillis the deadline of the release by the wall clock, in Unix milliseconds; null if it is not known.
 */
@Serializable
internal data class ReleaseRecord(val notice: ReleaseNotice, val deadlineMillis: Long? = null) {
    /**
     * Returns the state, read at [now], when the wall clock shows [nowMillis]; null if the values are not plausible. Without [nowMillis],
     * the state has no deadline.
     */
    fun decode(now: MonotonicTime, nowMillis: Long?): ReleaseState? {
        val remaining = if (nowMillis == null || deadlineMillis == null) null else deadlineMillis - nowMillis
        return notice.copy(ageMillis = null, remainingMillis = remaining).decode(now)?.state
    }

    companion object {
        /** Returns the record of [state] at [now], when the wall clock shows [nowMillis]. */
        fun of(state: ReleaseState, now: MonotonicTime, nowMillis: Long): ReleaseRecord {
            val notice = ReleaseNotice.of(HeardState(state, null), now)
            return ReleaseRecord(notice.copy(remainingMillis = null), notice.remainingMillis?.let { nowMillis + it })
        }
    }
}

/** What an instance has observed since an order; see [ReleaseEvidence]. */
@Serializable
internal data class EvidenceNotice(val service: String, val era: Long, val offset: Long, val routes: List<EncodedRouteEvidence>) {
    /** Returns the evidence; values that are not plausible are left out. */
    fun decode(): ReleaseEvidence = ReleaseEvidence(
        PoolName(service),
        ReleaseOrderId(era, offset),
        routes.associate { EvidenceKey(RouteName(it.route), it.version) to it.decode() },
    )

    companion object {
        /** Returns the message of [evidence]. */
        fun of(evidence: ReleaseEvidence): EvidenceNotice = EvidenceNotice(
            evidence.service.text,
            evidence.orderId.era,
            evidence.orderId.offset,
            evidence.routes.map { (key, counts) ->
                EncodedRouteEvidence(
                    key.route.text,
                    key.version,
                    counts.targets.map { (id, count) -> EncodedTargetEvidence(id.text, count.responses, count.failures, count.slow) },
                    counts.starts.buckets,
                )
            },
        )
    }
}

/** The responses of one [version] on one [route]; [starts] has the number of start latencies in each bucket. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class EncodedRouteEvidence(
    val route: String,
    val version: String,
    val targets: List<EncodedTargetEvidence>,
    val starts: Map<Int, Long>,
) {
    fun decode(): RouteEvidence = RouteEvidence(
        targets.filter { it.failures in 0..it.responses && it.slow in 0..it.responses }
            .associate { TargetId(it.target) to TargetEvidence(it.responses, it.failures, it.slow) },
        LatencyHistogram(starts.filter { (bucket, count) -> bucket in BUCKETS && count > 0 }),
    )

    private companion object {
        /** The buckets that [LatencyHistogram] may use; the bound of a higher one is no duration. */
        val BUCKETS = 0..LatencyHistogram.bucketOf(Duration.INFINITE)
    }
}

/** The [responses] of [target], of which [failures] were failures and [slow] ones took several times as long as usual to start. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class EncodedTargetEvidence(val target: String, val responses: Long, val failures: Long, val slow: Long)
