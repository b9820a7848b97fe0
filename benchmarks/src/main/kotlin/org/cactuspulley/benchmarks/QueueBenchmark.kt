package org.cactuspulley.benchmarks

import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.queueing.FairRequestQueue
import org.cactuspulley.core.queueing.QueueSettings
import org.cactuspulley.core.queueing.QueuedRequest
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.hours

/** Measures queueing and starting a request in a fair queue that holds 2,000 requests of 100 workspaces. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public open class QueueBenchmark {
    private val pool = PoolName("engines")
    private val queue = FairRequestQueue(QueueSettings(capacity = 100_000))
    private val buckets = (0 until WORKSPACE_COUNT).map { BucketId(WorkspaceId("workspace-$it"), ProfileName("standard")) }
    private var now = MonotonicTime(0)
    private var requestCount = 0L

    /** Queues 2,000 requests. */
    @Setup
    public open fun fillQueue() {
        repeat(QUEUED_REQUESTS) { offerRequest() }
    }

    private fun offerRequest() {
        val number = requestCount++
        now = MonotonicTime(now.nanoseconds + NANOSECONDS_BETWEEN_REQUESTS)
        val bucket = buckets[(number % WORKSPACE_COUNT).toInt()]
        queue.offer(QueuedRequest(RequestId(number.toString()), bucket, pool, 1, false, 1_000 + number % 500, now + 24.hours), now)
    }

    /** Queues one request and starts the next one, so that the queue keeps its size. */
    @Benchmark
    public open fun offerAndStart(): Int {
        offerRequest()
        // Starts the first request that the queue offers, and no other.
        var started = false
        queue.drain(pool, now) { !started.also { started = true } }
        return queue.size
    }

    private companion object {
        const val WORKSPACE_COUNT = 100
        const val QUEUED_REQUESTS = 2_000
        const val NANOSECONDS_BETWEEN_REQUESTS = 1_000L
    }
}
