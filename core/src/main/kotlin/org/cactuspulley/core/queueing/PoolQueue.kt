package org.cactuspulley.core.queueing

import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import kotlin.time.Duration.Companion.nanoseconds

/** The waiting requests of one pool in some order. */
internal interface WaitingPool {
    /** The number of waiting requests. */
    val size: Int

    /** Adds [request], or returns why it is refused. */
    fun offer(request: QueuedRequest, now: MonotonicTime): OfferResult

    /** Removes and returns a request; null if it was not waiting. */
    fun remove(request: RequestId): QueuedRequest?

    /** Passes waiting requests to [start] in their order and removes those for which it returns true. */
    fun drain(now: MonotonicTime, start: (QueuedRequest) -> Boolean)

    /** Returns when [request] is expected to start; null if the drain rate is not known yet. */
    fun expectedStart(request: QueuedRequest, now: MonotonicTime): MonotonicTime?
}

/** The waiting requests of one pool, with separate schedulers for interactive requests and those that may wait. */
internal class PoolQueue(private val settings: QueueSettings) : WaitingPool {
    private val interactive = FlowScheduler()
    private val mayWait = FlowScheduler()
    private val drainRate = DrainRate()
    override val size: Int get() = interactive.size + mayWait.size

    override fun offer(request: QueuedRequest, now: MonotonicTime): OfferResult {
        val scheduler = schedulerOf(request)
        val limit = if (request.mayWait) settings.capacity - settings.interactiveReserve else settings.capacity
        if (size >= limit || scheduler.sizeOf(request.bucket) >= settings.capacityPerFlow) return OfferResult.Full
        val expectedStart = expectedStart(request, now)
        if (expectedStart != null && expectedStart > request.deadline) return OfferResult.TooLate(expectedStart)
        if (size == 0) drainRate.resume(now)
        scheduler.add(request)
        return OfferResult.Queued
    }

    override fun remove(request: RequestId): QueuedRequest? = interactive.remove(request) ?: mayWait.remove(request)

    override fun drain(now: MonotonicTime, start: (QueuedRequest) -> Boolean) {
        if (size == 0) return
        val startedTokens = interactive.drain(start) + mayWait.drain(start)
        drainRate.record(startedTokens, now)
    }

    override fun expectedStart(request: QueuedRequest, now: MonotonicTime): MonotonicTime? {
        val nanosecondsPerToken = drainRate.nanosecondsPerToken ?: return null
        val ahead = when {
            request.mayWait -> interactive.backlogTokens + mayWait.tokensAhead(request)
            else -> interactive.tokensAhead(request)
        }
        return now + (ahead * nanosecondsPerToken).nanoseconds
    }

    private fun schedulerOf(request: QueuedRequest) = if (request.mayWait) mayWait else interactive
}

/** Start-time fair queueing among the flows of one traffic class. */
internal class FlowScheduler {
    private val flows = HashMap<BucketId, Flow>()
    private val flowOf = HashMap<RequestId, Flow>()
    private val backloggedFlows = java.util.TreeSet(compareBy<Flow> { it.headStartTag }.thenBy { it.order })
    private var virtualTime = 0.0
    private var nextOrder = 0L

    val size: Int get() = flowOf.size

    /** The cost of all waiting requests, in tokens. */
    var backlogTokens: Long = 0
        private set

    fun sizeOf(bucket: BucketId): Int = flows[bucket]?.waiting?.size ?: 0

    fun add(request: QueuedRequest) {
        val flow = flows.getOrPut(request.bucket) { Flow(nextOrder++) }
        val wasEmpty = flow.waiting.isEmpty()
        flow.weight = request.weight.coerceAtLeast(1)
        flow.waiting[request.id] = request
        flow.backlogTokens += request.costTokens
        backlogTokens += request.costTokens
        flowOf[request.id] = flow
        if (wasEmpty) {
            flow.headStartTag = maxOf(virtualTime, flow.lastFinishTag)
            backloggedFlows.add(flow)
        }
    }

    fun remove(request: RequestId): QueuedRequest? {
        val flow = flowOf.remove(request) ?: return null
        val removed = flow.waiting.remove(request) ?: return null
        removeBacklog(flow, removed)
        return removed
    }

    /** Starts requests in fair order until [start] returns false; returns the cost of the started requests, in tokens. */
    fun drain(start: (QueuedRequest) -> Boolean): Long {
        var startedTokens = 0L
        while (backloggedFlows.isNotEmpty()) {
            val flow = backloggedFlows.first()
            val request = flow.waiting.values.first()
            if (!start(request)) break
            startedTokens += request.costTokens
            dequeue(flow, request)
        }
        return startedTokens
    }

    private fun dequeue(flow: Flow, request: QueuedRequest) {
        backloggedFlows.remove(flow)
        virtualTime = maxOf(virtualTime, flow.headStartTag)
        flow.lastFinishTag = flow.headStartTag + request.costTokens.coerceAtLeast(1).toDouble() / flow.weight
        flow.headStartTag = flow.lastFinishTag
        flow.waiting.remove(request.id)
        flowOf.remove(request.id)
        if (flow.waiting.isNotEmpty()) backloggedFlows.add(flow)
        removeBacklog(flow, request)
    }

    private fun removeBacklog(flow: Flow, request: QueuedRequest) {
        flow.backlogTokens -= request.costTokens
        backlogTokens -= request.costTokens
        if (flow.waiting.isEmpty()) backloggedFlows.remove(flow)
        if (flows.size > MAX_RETAINED_FLOWS) flows.values.removeIf { it.waiting.isEmpty() && it.lastFinishTag <= virtualTime }
    }

    /** Returns the cost that would be started before [request], in tokens, if every flow stays backlogged. */
    fun tokensAhead(request: QueuedRequest): Long {
        val own = flows[request.bucket]?.backlogTokens ?: 0
        val weight = request.weight.coerceAtLeast(1)
        val others = flows.entries.sumOf { (bucket, flow) ->
            if (bucket == request.bucket) 0 else minOf(flow.backlogTokens, (own + request.costTokens) * flow.weight / weight)
        }
        return own + others
    }

    /**
     * The waiting requests of one workspace under one profile.
     *
     * @property order the creation order, which breaks ties between flows.
     * @property backlogTokens the cost of the waiting requests, in tokens.
     * @property headStartTag the virtual start time of the first waiting request.
     * @property lastFinishTag the virtual finish time of the last started request.
     */
    internal class Flow(val order: Long) {
        val waiting = LinkedHashMap<RequestId, QueuedRequest>()
        var weight = 1
        var backlogTokens = 0L
        var headStartTag = 0.0
        var lastFinishTag = 0.0
    }

    private companion object {
        /** The number of flows above which idle flows are removed. */
        const val MAX_RETAINED_FLOWS = 1024
    }
}
