package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.getOrElse
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.cactuspulley.core.forwarding.Availability
import org.cactuspulley.core.forwarding.ForwardedRequest
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.ForwardingRefusal
import org.cactuspulley.core.forwarding.NextStep
import org.cactuspulley.core.forwarding.Repeatability
import org.cactuspulley.core.forwarding.RequestProgress
import org.cactuspulley.core.forwarding.RequestTerms
import org.cactuspulley.core.forwarding.SelectionCriteria
import org.cactuspulley.core.forwarding.SendFailure
import org.cactuspulley.core.forwarding.ServiceTimes
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.forwarding.TargetLoad
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.quarantine.CrashVerdict
import org.cactuspulley.core.quarantine.RequestTrait
import org.cactuspulley.core.queueing.OfferResult
import org.cactuspulley.core.queueing.QueuedRequest
import org.cactuspulley.runtime.platform.HostAndPort
import java.util.concurrent.Future
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Writes the response of one exchange to the caller. */
internal interface ResponseWriter {
    /** Whether the connection accepts more bytes without queueing them beyond its high-water mark. */
    val isWritable: Boolean

    /** Refuses the request and ends the exchange; the caller may retry after [retryAfter]. */
    fun refuse(refusal: ForwardingRefusal, retryAfter: Duration?)

    /** Sends a complete response and ends the exchange; takes ownership of [body]. */
    fun respond(head: HttpResponse, body: ByteBuf)

    /** Starts a chunked response. */
    fun startChunked(head: HttpResponse)

    /** Sends a chunk; takes ownership of [chunk]. */
    fun sendChunk(chunk: ByteBuf)

    /** Completes a chunked response. */
    fun endChunked()

    /** Closes the connection, so that the caller detects that the response is incomplete. */
    fun abort()
}

/**
 * Forwards one caller's request to a target and passes the response back. [RequestProgress] decides on retries.
 * It is confined to the event loop.
 */
internal class ForwardedExchange(
    private val context: ForwardingContext,
    private val writer: ResponseWriter,
    private val head: HttpRequest,
    private val body: ByteArray,
    private val request: ForwardedRequest,
    private val arrivedAt: MonotonicTime,
) : AttemptObserver {
    private val state = context.state
    private val log = context.log
    private lateinit var grant: ForwardingGrant
    private lateinit var progress: RequestProgress
    private lateinit var traits: Set<RequestTrait>

    /** The units that were consumed from the workspace's token bucket and may still be refunded. */
    private var charged = 0.0
    private var currentAttempt: SendAttempt? = null
    private var ended = false
    private var isHeldForRateLimit = false

    /** Whether the request runs, at one target only, to find out whether requests like it still crash targets. */
    private var isTrial = false

    /** Identifies the request in the queue of this instance. */
    private val queueId = context.waiting.nextId()

    override var lastEventId: Long? = request.lastEventId
        private set
    override val isEnded: Boolean get() = ended
    override val hasStreamBegun: Boolean get() = progress.hasBegun
    private var deadlineTimer: Future<*>? = null
    private val timing = StreamTiming(arrivedAt)
    private val serviceTimes: ServiceTimes get() = state.serviceTimes.of(grant.pool, grant.route.name)

    /** Authorizes the request, charges it to the workspace's token bucket and starts the first attempt. */
    fun start() {
        grant = state.authorizer.authorize(request).getOrElse { refusal -> return refuseEarly(refusal, RETRY_AFTER_UNCONFIGURED) }
        progress = RequestProgress(grant, request.deadline, arrivedAt, state.retryBudget(grant.pool, arrivedAt), serviceTimes)
        if (context.plannedStop?.refuses(progress.deadline, serviceTimes.totalLimit(arrivedAt), arrivedAt) ?: false) {
            return refuseEarly(ForwardingRefusal.STOPPING, RETRY_AFTER_STOPPING)
        }
        traits = requestTraits(head, request, body, grant.workspace?.name)
        when (val verdict = context.quarantine.admit(traits, progress.deadline, arrivedAt)) {
            CrashVerdict.Clear -> Unit

            is CrashVerdict.OnTrial -> isTrial = true

            is CrashVerdict.Held -> {
                log.quarantined(request, verdict.traits)
                return refuseEarly(ForwardingRefusal.CRASHES_TARGETS, RETRY_AFTER_CRASHING)
            }
        }
        if (!charge()) return
        val remaining = progress.deadline - arrivedAt
        deadlineTimer = context.schedule(remaining, ::deadlinePassed)
        startAttempt()
    }

    private fun charge(): Boolean {
        val workspace = grant.workspace ?: return true
        val bucket = state.tokenBucket(workspace) ?: return true
        if (bucket.tryConsume(grant.cost, arrivedAt)) {
            charged = grant.cost
            if (bucket.isRunningLow(arrivedAt)) context.scheduleDigest()
            return true
        }
        log.overRate(request, workspace, grant.cost, bucket.available(arrivedAt))
        refuseEarly(ForwardingRefusal.OVER_RATE, bucket.timeUntilAvailable(grant.cost, arrivedAt) + RETRY_AFTER_OVER_RATE)
        return false
    }

    private fun refuseEarly(refusal: ForwardingRefusal, retryAfter: Duration) {
        finish()
        val inForce = state.authorizer.configuration?.version
        log.refused(request, refusal, inForce, sentAttempts = 0, waited = Duration.ZERO)
        writer.refuse(refusal, retryAfter)
    }

    private fun startAttempt() {
        if (ended || withdrawIfQuarantined()) return
        val now = context.clock.now()
        if (!progress.canComplete(now)) return giveUp(progress.cannotComplete())
        val target = selectTarget(now) ?: return
        context.waiting.started(queueId, grant.pool)?.let { log.startedAfterWaiting(grant.pool, it) }
        val address = HostAndPort.parse(target.entry.address) ?: return giveUp(progress.noTarget())
        val attempt = SendAttempt(context, this, GrantedRequest(head, body, request, grant, traits), progress, target)
        currentAttempt = attempt
        attempt.start(address)
    }

    private fun selectionCriteria(now: MonotonicTime): SelectionCriteria {
        val model = request.prompt?.model
        val minimum = model?.let { state.desiredWeights.minimum(it, state.weightsLimits.sendLimit(progress.silenceLimit(now)), now) }
        val newest = model?.let { state.desiredWeights.newest(it) }
        val preferred = state.selector.preferredWeights(grant.pool, newest, now)
        val affinityWeights = if (newest == null) FIRST_WEIGHTS_VERSION else preferred
        val affinity = request.prompt?.let { state.cacheAffinity(grant, it, affinityWeights, now) }
        val terms = if (state.usesExpectedStarts) requestTerms(preferred, now) else null
        return SelectionCriteria(grant, request.prompt, progress.excluded, minimum, preferred, affinity, terms = terms)
    }

    private fun requestTerms(weights: Long?, now: MonotonicTime): RequestTerms {
        val reusableTokens = request.prompt?.let { state.reusableTokens(grant, it, weights ?: FIRST_WEIGHTS_VERSION, now) } ?: 0
        return RequestTerms(
            objectiveAt = arrivedAt + grant.route.latencyObjective,
            latestStart = progress.latestStart(now),
            units = TargetLoad.unitsUntilFirstEvent(request.prompt, reusableTokens),
            usualTotal = serviceTimes.medianTotal(now),
            bodyBytes = body.size,
        )
    }

    /**
     * Returns the target for the next attempt. If there is none now, the request waits while a target may still accept it in time,
     * and is refused otherwise.
     */
    private fun selectTarget(now: MonotonicTime): Target? {
        val criteria = selectionCriteria(now)
        val queued = queuedRequest(now)
        val mustYield = context.waiting.mustYield(queued)
        if (!mustYield) state.selector.select(criteria, now)?.let { return it }
        val latestStart = progress.latestStart(now)
        val availability = state.selector.availability(criteria, now)
        val isWaiting = now < latestStart && when (availability) {
            Availability.Unknown -> true
            Availability.AllTried, Availability.Elsewhere, Availability.TooLarge -> false
            is Availability.From -> availability.time <= latestStart
        }
        val limitedTarget = (availability as? Availability.From)?.limitedTarget
        if (isWaiting) {
            limitedTarget?.let(::holdForRateLimit)
            val result = context.waiting.offer(queued, ::startAttempt) { refuseAsFull("displaced", it, context.clock.now()) }
            if (result != OfferResult.Queued) refuseFromQueue(result, queued, now)
            return null
        }
        val lastResort = if (mustYield) null else state.selector.select(criteria.copy(isLastResort = true), now)
        if (lastResort == null) refuseWithoutTarget(availability, now)
        return lastResort
    }

    private fun queuedRequest(now: MonotonicTime): QueuedRequest {
        val cost = grant.cost.toLong()
        return QueuedRequest(queueId, state.flow(grant.workspace), grant.pool, 1, false, cost, progress.deadline, progress.dueTimes(now))
    }

    private fun refuseFromQueue(result: OfferResult, queued: QueuedRequest, now: MonotonicTime) = when (result) {
        is OfferResult.TooLate -> refuseAsFull("too_late", result.expectedStart, now)
        OfferResult.Full, OfferResult.Queued -> refuseAsFull("queue_full", context.waiting.expectedStart(queued), now)
    }

    /** Refuses the request because of the load; [expectedStart] is when one like it could start, if that is known. */
    private fun refuseAsFull(cause: String, expectedStart: MonotonicTime?, now: MonotonicTime) {
        if (ended) return
        val interval = context.waiting.startInterval(grant.pool)
        val returnDelay = if (progress.mayHaveRun) null else state.fullReturnDelay(grant.pool, interval, expectedStart, now)
        log.refusedAsFull(request, grant.pool, cause, returnDelay)
        giveUp(progress.noTarget(returnDelay = returnDelay))
    }

    private fun holdForRateLimit(target: TargetId) {
        state.rateLimits.reserve(target)
        if (!isHeldForRateLimit) log.heldForRateLimit(request, target)
        isHeldForRateLimit = true
    }

    private fun refuseWithoutTarget(availability: Availability, now: MonotonicTime) {
        if (availability == Availability.TooLarge) {
            log.refusedAsFull(request, grant.pool, "too_large", RETRY_AFTER_TOO_LARGE)
            return giveUp(progress.noTarget(returnDelay = RETRY_AFTER_TOO_LARGE))
        }
        if (availability is Availability.From && availability.isFull) return refuseAsFull("no_room", availability.time, now)
        val isLimited = availability == Availability.Elsewhere || (availability as? Availability.From)?.limitedTarget != null
        val returnDelay = if (isLimited && !progress.mayHaveRun) state.returnDelay(grant.pool, now) else null
        if (isLimited) log.refusedForRateLimit(request, returnDelay)
        giveUp(progress.noTarget(arePaused = availability is Availability.From || availability == Availability.Elsewhere, returnDelay))
    }

    override fun canBeSentElsewhere(attempt: SendAttempt): Boolean {
        val now = context.clock.now()
        if (ended || !progress.mayRepeatAfterSilence(now)) return false
        val criteria = selectionCriteria(now)
        return state.selector.select(criteria.copy(excluded = criteria.excluded + attempt.target.id), now) != null
    }

    override fun failed(attempt: SendAttempt, failure: SendFailure, reason: String) {
        val now = context.clock.now()
        val target = attempt.target
        log.attemptFailed(request, attempt, failure, reason)
        target.health.recordFailure(failure, now)
        state.zoneBalance?.recordFailure(target.entry.zone, failure, now)
        if (ended) return
        val next = progress.recordFailure(target.id, failure, now)
        val mayResume = !hasStreamBegun || grant.route.repeatability == Repeatability.RESUMABLE
        when {
            next is NextStep.GiveUp -> giveUp(next)
            mayResume -> startAttempt()
            else -> giveUp(NextStep.GiveUp(ForwardingRefusal.TARGET_FAILED, null))
        }
    }

    private fun giveUp(step: NextStep.GiveUp) {
        if (ended) return
        finish()
        log.refused(request, step.refusal, grant.configurationVersion, progress.sentAttempts, context.clock.now() - arrivedAt)
        if (!progress.mayHaveRun) refundCharge()
        if (hasStreamBegun) writer.abort() else writer.refuse(step.refusal, step.retryAfter)
    }

    /**
     * Ends the request if it is quarantined and no answer has begun, so that it crashes no further target; returns whether it did.
     */
    fun withdrawIfQuarantined(): Boolean {
        val outstanding = currentAttempt
        if (ended || outstanding?.hasEvents == true) return false
        // A plain request may have taken effect, and its outcome shows whether the quarantine is right.
        if (request.prompt == null && outstanding?.isWritten == true) return false
        val quarantined = when (val verdict = context.quarantine.verdict(traits, context.clock.now())) {
            CrashVerdict.Clear -> return false
            is CrashVerdict.OnTrial -> if (outstanding != null || isFirstSendOfTrial) return false else verdict.traits
            is CrashVerdict.Held -> verdict.traits
        }
        log.quarantined(request, quarantined)
        val mayHaveRun = progress.mayHaveRun || outstanding?.isWritten == true
        outstanding?.cancel(null)
        giveUp(
            if (mayHaveRun) {
                NextStep.GiveUp(ForwardingRefusal.TARGET_FAILED, null)
            } else {
                NextStep.GiveUp(ForwardingRefusal.CRASHES_TARGETS, RETRY_AFTER_CRASHING)
            },
        )
        return true
    }

    private val isFirstSendOfTrial: Boolean get() = isTrial && progress.sentAttempts == 0

    private fun refundCharge() {
        if (charged > 0) grant.workspace?.let { state.tokenBucket(it) }?.refund(charged, context.clock.now())
        charged = 0.0
    }

    private fun deadlinePassed() {
        if (ended) return
        val outstanding = currentAttempt
        val sent = outstanding?.isWritten == true
        val isFailure = sent && (!outstanding.hasResponse || !grant.route.isStream) && outstanding.isUnusuallySlow
        endOutstanding(SendFailure.SILENT.takeIf { isFailure })
    }

    /** Ends the request without a response, whatever its last attempt does; [failure], if any, counts against the target. */
    private fun endOutstanding(failure: SendFailure?) {
        val outstanding = currentAttempt
        val sent = outstanding?.isWritten == true
        outstanding?.cancel(failure)
        // A request that was sent may have run, so its charge is not refunded.
        if (sent) charged = 0.0
        giveUp(progress.timedOut(sent))
    }

    /** Ends the request because the process exits. */
    fun endForShutdown() {
        if (!ended) endOutstanding(null)
    }

    /** Handles the caller's disconnect: cancels the attempt at the target if the request is repeatable or streams. */
    fun callerGone() {
        if (ended) return
        finish()
        log.abandoned(request, progress.sentAttempts, context.clock.now() - arrivedAt)
        val outstanding = currentAttempt ?: return
        if (grant.route.isStream || grant.route.repeatability != Repeatability.AT_MOST_ONCE) {
            outstanding.cancel(null)
        } else {
            context.schedule(progress.deadline - context.clock.now()) { outstanding.cancel(null) }
        }
    }

    /** Withdraws the request from a target where it waits to begin on weights of [model] older than [minimum]. */
    fun withdrawIfOutdated(model: ModelName, minimum: Long) {
        val waiting = currentAttempt ?: return
        if (ended || request.prompt?.model != model || !waiting.isWaiting) return
        val known = waiting.target.weights(model) ?: return
        if (maxOf(known, waiting.expectedWeights ?: known) >= minimum) return
        waiting.cancel(null)
        failed(waiting, SendFailure.WITHDRAWN, "waits on weights older than $minimum")
    }

    /** Pauses or resumes reading from the target when the writability of the caller's connection changes. */
    fun writabilityChanged() {
        currentAttempt?.pause(!writer.isWritable)
    }

    private fun finish() {
        ended = true
        if (::progress.isInitialized) progress.recordEnd()
        context.waiting.remove(queueId)
        deadlineTimer?.cancel(false)
        context.exchanges.remove(this)
    }

    override fun closed(attempt: SendAttempt) {
        if (currentAttempt === attempt) currentAttempt = null
    }

    override fun streamBegan(response: HttpResponse) {
        if (hasStreamBegun) return
        progress.recordBeginning()
        writer.startChunked(context.targetProtocol.callerHead(response))
    }

    override fun eventsArrived(attempt: SendAttempt, events: ByteBuf, lastId: Long?, at: MonotonicTime) {
        if (lastId != null) lastEventId = lastId
        timing.eventsArrived(at)
        writer.sendChunk(events)
        attempt.pause(!writer.isWritable)
    }

    override fun streamEnded(attempt: SendAttempt, status: Int) {
        if (ended) return
        writer.endChunked()
        delivered(attempt, status)
    }

    override fun responseReceived(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf) {
        if (ended) {
            body.release()
            return
        }
        writer.respond(context.targetProtocol.callerHead(response), body)
        delivered(attempt, status)
    }

    /** Passes a target's error response on, unless the request may be retried at another target. */
    override fun targetFailed(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf) {
        val now = context.clock.now()
        val target = attempt.target
        target.health.recordFailure(SendFailure.FAILED, now)
        log.attemptFailed(request, attempt, SendFailure.FAILED, "status $status")
        if (ended ||
            progress.recordFailure(target.id, SendFailure.FAILED, now) is NextStep.GiveUp
        ) {
            return responseReceived(attempt, response, status, body)
        }
        body.release()
        startAttempt()
    }

    private fun delivered(attempt: SendAttempt, status: Int) {
        if (ended) return
        finish()
        val duration = context.clock.now() - arrivedAt
        log.delivered(request, attempt, grant, status, progress.sentAttempts, duration, timing)
    }

    private companion object {
        /** An instance without a configuration gets one as soon as the store answers, usually within a second. */
        val RETRY_AFTER_UNCONFIGURED = 500.milliseconds

        /** Another instance accepts the request immediately. */
        val RETRY_AFTER_STOPPING = 50.milliseconds

        /** A request that crashes targets is not retried within the deadline of any caller. */
        val RETRY_AFTER_CRASHING = 5_000.milliseconds

        /** A request that is larger than the memory of every target has no use in a retry within the deadline of any caller. */
        val RETRY_AFTER_TOO_LARGE = 5_000.milliseconds

        /** Added to the time until the rate permits the request, to allow for the digests of other instances. */
        val RETRY_AFTER_OVER_RATE = 100.milliseconds

        /** The version of weights that is assumed until a desired one is known; versions start at 1. */
        const val FIRST_WEIGHTS_VERSION = 1L
    }
}
