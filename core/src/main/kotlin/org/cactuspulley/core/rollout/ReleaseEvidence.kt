package org.cactuspulley.core.rollout

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import kotlin.math.floor
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The number of latencies in each bucket; buckets without any are left out. Messages carry the map. */
public data class LatencyHistogram(val buckets: Map<Int, Long> = emptyMap()) {
    /** The number of latencies. */
    val count: Long get() = buckets.values.sum()

    /** Returns the sum of both histograms. */
    public operator fun plus(other: LatencyHistogram): LatencyHistogram = combine(other, Long::plus)

    /** Returns what was added since [earlier]. */
    public operator fun minus(earlier: LatencyHistogram): LatencyHistogram =
        combine(earlier) { own, before -> (own - before).coerceAtLeast(0) }

    /** Returns the smallest bound of a bucket that [fraction] of the latencies do not exceed; null if there are none. */
    public fun quantile(fraction: Double): Duration? {
        val rank = fraction * count
        var sum = 0L
        for ((bucket, number) in buckets.entries.sortedBy { it.key }) {
            sum += number
            if (sum >= rank) return upperBound(bucket)
        }
        return null
    }

    /** Returns the number of latencies that are certainly longer than [limit]. */
    public fun countAbove(limit: Duration): Long = buckets.filterKeys { it > bucketOf(limit) }.values.sum()

    /** Returns the latency above which a response is several times slower than usual; null if too few are known. */
    public fun slowLimit(): Duration? =
        if (count < MINIMUM_COUNT) null else quantile(0.5)?.let { maxOf(it * SLOW_FACTOR, it + SMALL_DELAY) }

    private fun combine(other: LatencyHistogram, operation: (Long, Long) -> Long) = LatencyHistogram(
        (buckets.keys + other.buckets.keys).associateWith { operation(buckets[it] ?: 0, other.buckets[it] ?: 0) }.filterValues { it != 0L },
    )

    public companion object {
        /** The ratio of the bounds of successive buckets; a latency that is several times longer is several buckets away. */
        private const val BUCKET_RATIO = 1.15
        private val FIRST_BOUND = 1.milliseconds

        /** The last bucket begins above a minute, which no response to a caller takes to start. */
        private const val LAST_BUCKET = 80

        /** A median of fewer latencies is too uncertain. */
        private const val MINIMUM_COUNT = 10

        /**
         * Targets that share their machines differ by a factor of two; a version that is several times slower exceeds this. With the
         * width of two buckets it is 2.2 to 2.9.
         */
        private const val SLOW_FACTOR = 2.2

        /** Delays of the event loop are not a fault of a version whose responses take only a few milliseconds. */
        private val SMALL_DELAY = 5.milliseconds

        /** Returns the bucket of [latency]. */
        public fun bucketOf(latency: Duration): Int {
            val ratio = latency / FIRST_BOUND
            return if (ratio < 1.0) 0 else minOf(floor(ln(ratio) / ln(BUCKET_RATIO)) + 1, LAST_BUCKET.toDouble()).toInt()
        }

        /** Returns the end of [bucket]. */
        public fun upperBound(bucket: Int): Duration = FIRST_BOUND * BUCKET_RATIO.pow(bucket)
    }
}

/**
 * The number of [responses] of a target since the order, how many of them were [failures], and how many were [slow]: they took several
 * times as long to start as the instance that counted them was used to on their route.
 */
public data class TargetEvidence(val responses: Long, val failures: Long, val slow: Long = 0) {
    /** Returns the sum of both. */
    public operator fun plus(other: TargetEvidence): TargetEvidence =
        TargetEvidence(responses + other.responses, failures + other.failures, slow + other.slow)

    /** Returns what was added since [earlier]. */
    public operator fun minus(earlier: TargetEvidence): TargetEvidence =
        TargetEvidence(
            (responses - earlier.responses).coerceAtLeast(0),
            (failures - earlier.failures).coerceAtLeast(0),
            (slow - earlier.slow).coerceAtLeast(0),
        )
}

/** What is counted together: the responses of one software version on one route. */
public data class EvidenceKey(val route: RouteName, val version: String)

/**
 * The responses of one version on one route since the order.
 *
 * @property starts the times from sending a request to the first event of a stream or to the head of another response.
 */
public data class RouteEvidence(
    val targets: Map<TargetId, TargetEvidence> = emptyMap(),
    val starts: LatencyHistogram = LatencyHistogram(),
) {
    /** The responses of all targets. */
    val total: TargetEvidence get() = targets.values.fold(TargetEvidence(0, 0), TargetEvidence::plus)

    /** Returns the sum of both. */
    public operator fun plus(other: RouteEvidence): RouteEvidence = RouteEvidence(
        (targets.keys + other.targets.keys).associateWith { (targets[it] ?: NONE) + (other.targets[it] ?: NONE) },
        starts + other.starts,
    )

    /** Returns what was added since [earlier]. */
    public operator fun minus(earlier: RouteEvidence): RouteEvidence =
        RouteEvidence(targets.mapValues { (id, counts) -> counts - (earlier.targets[id] ?: NONE) }, starts - earlier.starts)

    private companion object {
        val NONE = TargetEvidence(0, 0)
    }
}

/** What one instance, or several together, have observed of the versions of [service] since the order [orderId]. */
public data class ReleaseEvidence(
    val service: PoolName,
    val orderId: ReleaseOrderId,
    val routes: Map<EvidenceKey, RouteEvidence> = emptyMap(),
) {
    /** Returns the sum of both. */
    public operator fun plus(other: ReleaseEvidence): ReleaseEvidence =
        copy(routes = (routes.keys + other.routes.keys).associateWith { of(it) + other.of(it) })

    /** Returns what was added since [earlier]. */
    public operator fun minus(earlier: ReleaseEvidence): ReleaseEvidence =
        copy(routes = routes.mapValues { (key, counts) -> counts - earlier.of(key) })

    private fun of(key: EvidenceKey) = routes[key] ?: RouteEvidence()
}

/** Counts what this instance observes during one release; confined to one thread. */
public class EvidenceRecorder(private val service: PoolName, private val orderId: ReleaseOrderId) {
    private val routes = HashMap<EvidenceKey, RouteEvidence>()

    /** What was observed so far. */
    public val evidence: ReleaseEvidence get() = ReleaseEvidence(service, orderId, routes.toMap())

    /** Records that a response that is not a failure so far began [latency] after its request was sent to [target]. */
    public fun recordStart(route: RouteName, version: String, target: TargetId, latency: Duration) {
        val bucket = LatencyHistogram.bucketOf(latency)
        val usual = routes.filterKeys { it.route == route }.values.fold(LatencyHistogram()) { sum, counts -> sum + counts.starts }
        val isSlow = usual.slowLimit()?.let { bucket > LatencyHistogram.bucketOf(it) } ?: false
        val counts = TargetEvidence(1, 0, if (isSlow) 1 else 0)
        add(route, version, RouteEvidence(mapOf(target to counts), LatencyHistogram(mapOf(bucket to 1))))
    }

    /** Records a failure of [target]; [hasStarted] tells that [recordStart] has counted the response. */
    public fun recordFailure(route: RouteName, version: String, target: TargetId, hasStarted: Boolean): Unit =
        add(route, version, RouteEvidence(mapOf(target to TargetEvidence(if (hasStarted) 0 else 1, 1))))

    private fun add(route: RouteName, version: String, evidence: RouteEvidence) {
        routes.merge(EvidenceKey(route, version), evidence, RouteEvidence::plus)
    }
}

/** The evidence of all instances. What an instance reported before it was lost or restarted still counts. */
public class EvidenceTotals {
    private val reports = HashMap<Pair<InstanceId, InstanceIncarnation>, Map<PoolName, ReleaseEvidence>>()

    /** The evidence of all instances and their incarnations. */
    public val all: List<ReleaseEvidence> get() = reports.values.flatMap { it.values }

    /** Records the cumulative [evidence] that [instance] reported. */
    public fun record(instance: InstanceId, incarnation: InstanceIncarnation, evidence: Collection<ReleaseEvidence>) {
        if (evidence.isNotEmpty()) reports.merge(instance to incarnation, evidence.associateBy { it.service }) { old, new -> old + new }
    }

    /** Discards the evidence of all releases but [current]; that of an order whose id has changed with the store's era is kept. */
    public fun retain(current: Set<ReleaseOrderId>) {
        reports.replaceAll { _, byService ->
            byService.filterValues { evidence -> current.any { it == evidence.orderId || it.era != evidence.orderId.era } }
        }
        reports.values.removeIf { it.isEmpty() }
    }
}
