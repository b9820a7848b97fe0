package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.getOrElse
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.cactuspulley.core.forwarding.ForwardedRequest
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.ForwardingRefusal
import org.cactuspulley.core.forwarding.NextStep
import org.cactuspulley.core.forwarding.Repeatability
import org.cactuspulley.core.forwarding.RequestProgress
import org.cactuspulley.core.forwarding.SelectionCriteria
import org.cactuspulley.core.forwarding.SendFailure
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.quarantine.CrashNotice
import org.cactuspulley.core.quarantine.Fingerprint
import org.cactuspulley.core.quarantine.QuarantineVerdict
import org.cactuspulley.runtime.platform.HostAndPort
import java.util.concurrent.Future
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The caller's end of an exchange. */
internal interface CallerSide {
    /** Whether the caller takes bytes without their being queued here. */
    val isWritable: Boolean

    /** Refuses the request and ends the exchange. */
    fun refuse(refusal: ForwardingRefusal, comeBackAfter: Duration?)

    /** Sends a whole answer and ends the exchange; takes over [body]. */
    fun answer(head: HttpResponse, body: ByteBuf)

    /** Begins an answer in pieces. */
    fun begin(head: HttpResponse)

    /** Sends a piece; takes over [piece]. */
    fun send(piece: ByteBuf)

    /** Ends an answer in pieces as whole. */
    fun end()

    /** Ends an answer so that the caller sees that it is not whole. */
    fun breakOff()
}

/**
 * Leads one caller's request to a target and the answer back; carries out what [RequestProgress] decides.
 * Confined to the event loop.
 */
internal class ForwardedExchange(
    private val instance: ForwardingContext,
    private val caller: CallerSide,
    private val head: HttpRequest,
    private val body: ByteArray,
    private val request: ForwardedRequest,
    private val arrivedAt: MonotonicTime,
) : SendObserver {
    private val state = instance.state
    private val log = instance.log
    private lateinit var grant: ForwardingGrant
    private lateinit var progress: RequestProgress
    private var fingerprint: Fingerprint? = null
    private var charged = 0.0
    private var send: SendAttempt? = null
    private var ended = false
    private var begun = false

    override var lastEventId: Long? = request.lastEventId
        private set
    override val isEnded: Boolean get() = ended
    override val hasBegun: Boolean get() = begun
    private var deadlineTimer: Future<*>? = null
    private val pace = StreamPace(arrivedAt)

    /** Authorizes and sends the request. */
    fun start() {
        grant = state.gate.authorize(request).getOrElse { refusal -> return refuseEarly(refusal, COME_BACK_UNCONFIGURED) }
        if (grant.route.isStream && instance.isTooLateForStreams()) return refuseEarly(ForwardingRefusal.STOPPING, COME_BACK_STOPPING)
        val mark = Fingerprint(grant.workspace?.name, instance.hash(request.path, body))
        fingerprint = mark
        if (state.crashes.verdict(mark, arrivedAt) is QuarantineVerdict.Quarantined) {
            return refuseEarly(ForwardingRefusal.CRASHES_TARGETS, COME_BACK_CRASHING)
        }
        if (!charge()) return
        progress = RequestProgress(grant, request.deadline, arrivedAt, state.budget(grant.pool))
        val patience = progress.deadline - arrivedAt
        deadlineTimer = instance.schedule(patience, ::deadlinePassed)
        sendSomewhere()
    }

    private fun charge(): Boolean {
        val workspace = grant.workspace ?: return true
        val allowance = state.allowance(workspace) ?: return true
        if (allowance.tryConsume(grant.cost, arrivedAt)) {
            charged = grant.cost
            if (allowance.isRunningLow(arrivedAt)) instance.tellSoon()
            return true
        }
        log.overRate(request, workspace, grant.cost, allowance.available(arrivedAt))
        refuseEarly(ForwardingRefusal.OVER_RATE, allowance.timeUntilAvailable(grant.cost, arrivedAt) + COME_BACK_OVER_RATE)
        return false
    }

    private fun refuseEarly(refusal: ForwardingRefusal, comeBackAfter: Duration) {
        finish()
        val inForce = state.gate.configuration?.version
        log.refused(request, refusal, inForce, sends = 0, waited = Duration.ZERO)
        caller.refuse(refusal, comeBackAfter)
    }

    private fun sendSomewhere() {
        if (ended) return
        val now = instance.clock.now()
        val model = request.prompt?.model
        val minimum = model?.let { state.weights.minimum(it, OLD_WEIGHTS_PATIENCE, now) }
        val newest = model?.let { state.weights.newest(it) }
        val preferred = newest?.takeIf { now - it.learnedAt > OLD_WEIGHTS_FREE }?.version
        val affinity = request.prompt?.let { state.cache.affinity(grant, it, if (newest == null) FIRST_WEIGHTS else preferred, now) }
        val wanted = SelectionCriteria(grant, request.prompt, progress.excluded, minimum, preferred, affinity)
        val mustEnd = now >= progress.queueDeadline
        val target = state.choice.select(wanted.copy(isLastResort = mustEnd), now)
        if (target == null) {
            if (mustEnd) return giveUp(progress.noTarget())
            instance.schedule(LOOK_AGAIN) { sendSomewhere() }
            return
        }
        val address = HostAndPort.parse(target.entry.address) ?: return giveUp(progress.noTarget())
        val attempt = SendAttempt(instance, this, SentRequest(head, body, request, grant), progress, target)
        send = attempt
        attempt.start(address)
    }

    override fun failed(attempt: SendAttempt, failure: SendFailure, reason: String) {
        val now = instance.clock.now()
        val target = attempt.target
        log.sendFailed(request, target.id, failure, reason)
        target.health.recordFailure(failure, now)
        if (ended) return
        val next = progress.recordFailure(target.id, failure, now)
        val mayResume = !begun || grant.route.repeatability == Repeatability.RESUMABLE
        when {
            next is NextStep.GiveUp -> giveUp(next)
            mayResume -> sendSomewhere()
            else -> giveUp(NextStep.GiveUp(ForwardingRefusal.TARGET_FAILED, null))
        }
    }

    private fun giveUp(step: NextStep.GiveUp) {
        if (ended) return
        finish()
        log.refused(request, step.refusal, grant.configurationVersion, progress.sends, instance.clock.now() - arrivedAt)
        if (!progress.mayHaveRun) giveBack()
        if (begun) caller.breakOff() else caller.refuse(step.refusal, step.retryAfter)
    }

    private fun giveBack() {
        if (charged > 0) grant.workspace?.let { state.allowance(it) }?.refund(charged, instance.clock.now())
        charged = 0.0
    }

    private fun deadlinePassed() {
        if (ended) return
        val outstanding = send
        val sent = outstanding?.isWritten == true
        outstanding?.cancel(SendFailure.SILENT.takeIf { sent && !outstanding.hasAnswered && isLate() })
        // What was sent may run: it keeps what it was charged.
        if (sent) charged = 0.0
        giveUp(progress.timedOut(sent))
    }

    /** Whether the target had at least the objective's time. */
    private fun isLate(): Boolean = instance.clock.now() - arrivedAt > grant.route.latencyObjective

    /** The caller has gone: work that can be repeated, or a stream, is stopped at the target. */
    fun callerGone() {
        if (ended) return
        finish()
        log.abandoned(request, progress.sends, instance.clock.now() - arrivedAt)
        val outstanding = send
        if (outstanding != null &&
            (grant.route.isStream || grant.route.repeatability != Repeatability.AT_MOST_ONCE)
        ) {
            outstanding.cancel(null)
        }
    }

    /** The caller's connection takes bytes again, or does not. */
    fun writabilityChanged() {
        send?.pause(!caller.isWritable)
    }

    private fun finish() {
        ended = true
        deadlineTimer?.cancel(false)
        instance.exchanges.remove(this)
    }

    override fun closed(attempt: SendAttempt) {
        if (send === attempt) send = null
    }

    override fun streamBegan(response: HttpResponse) {
        if (begun) return
        begun = true
        caller.begin(instance.targetProtocol.callerHead(response))
    }

    override fun eventsArrived(attempt: SendAttempt, events: ByteBuf, lastId: Long?, at: MonotonicTime) {
        if (lastId != null) lastEventId = lastId
        pace.eventsArrived(at)
        caller.send(events)
        attempt.pause(!caller.isWritable)
    }

    override fun streamEnded(attempt: SendAttempt, status: Int) {
        if (ended) return
        caller.end()
        delivered(attempt, status)
    }

    override fun answered(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf) {
        if (ended) {
            body.release()
            return
        }
        caller.answer(instance.targetProtocol.callerHead(response), body)
        delivered(attempt, status)
    }

    /** Passes a target's own failure on, unless another target may try. */
    override fun targetFailed(attempt: SendAttempt, response: HttpResponse, status: Int, body: ByteBuf) {
        val now = instance.clock.now()
        val target = attempt.target
        target.health.recordFailure(SendFailure.FAILED, now)
        log.sendFailed(request, target.id, SendFailure.FAILED, "status $status")
        if (ended ||
            progress.recordFailure(target.id, SendFailure.FAILED, now) is NextStep.GiveUp
        ) {
            return answered(attempt, response, status, body)
        }
        body.release()
        sendSomewhere()
    }

    override fun crashed(attempt: SendAttempt) {
        val mark = fingerprint ?: return
        if (request.prompt != null) instance.noteCrash(CrashNotice(mark, attempt.id, CRASH_LIFETIME.inWholeMilliseconds))
    }

    private fun delivered(attempt: SendAttempt, status: Int) {
        if (ended) return
        finish()
        val took = instance.clock.now() - arrivedAt
        log.delivered(request, attempt.target.id, grant, status, progress.sends, took, pace)
    }

    private companion object {
        /** An instance without a configuration has one as soon as the store answers, within a second mostly. */
        val COME_BACK_UNCONFIGURED = 500.milliseconds

        /** Another instance takes the request at once. */
        val COME_BACK_STOPPING = 50.milliseconds

        /** A request that crashes targets is not tried again within any caller's time. */
        val COME_BACK_CRASHING = 5_000.milliseconds

        /** Added to the time until the rate allows the request, for the digests of other instances. */
        val COME_BACK_OVER_RATE = 100.milliseconds

        /** How often a waiting request looks for a target: a plain service's work takes about as long. */
        val LOOK_AGAIN = 20.milliseconds

        /** How long after newer weights were named a request may begin on older ones: the users' bound of 8 s, less the way. */
        val OLD_WEIGHTS_PATIENCE = 6_500.milliseconds

        /** How long after newer weights were named a start on older ones costs nothing: 1.5 s, less the way to the first token. */
        val OLD_WEIGHTS_FREE = 1_200.milliseconds

        /** Versions of weights begin at 1; none other was named yet. */
        const val FIRST_WEIGHTS = 1L

        /** How long a crash counts against a request; callers send it again within a minute. */
        val CRASH_LIFETIME = 60_000.milliseconds
    }
}
