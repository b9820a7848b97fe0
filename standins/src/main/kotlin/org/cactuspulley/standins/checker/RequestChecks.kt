/*
 * Checks of individual requests and their answers.
 */
package org.cactuspulley.standins.checker

import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.standins.load.ObservedRequest
import org.cactuspulley.standins.load.ObservedSend
import org.cactuspulley.standins.load.SendOutcome
import org.cactuspulley.standins.server.ObservedCall
import org.cactuspulley.standins.trace.InstanceCrash
import java.util.Base64

/** Checks that a non-repeatable request runs at most once, even if its caller sends it again. */
internal object AtMostOnceCheck : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> {
        val nonRepeatableDigests = run.requests.filter { !it.repeatable }.map { it.contentDigest }.toSet()
        return run.calls.filter { it.contentDigest in nonRepeatableDigests }
            .groupBy { it.contentDigest }
            .filter { it.value.size > 1 }
            .map { (digest, calls) -> Violation(Promise.AT_MOST_ONCE, "$digest ran ${calls.size} times: ${calls.map { it.attempt }}") }
    }
}

/**
 * Checks that each caller gets the whole answer to its own request. An answer with a terminal marker must be complete.
 * An answer may break off only if the instance that served it crashed meanwhile.
 */
internal object AnswerIntegrityCheck : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> {
        val crashes = run.incidents.filter { it.incident is InstanceCrash }
        return run.requests.flatMap { request ->
            request.sends.mapNotNull { problem(it, crashes)?.let { text -> violation(run, request, text) } }
        }
    }

    /** Includes the calls at targets, because their attempts identify the instance's decisions on the time line. */
    private fun violation(run: RunRecord, request: ObservedRequest, problem: String): Violation {
        val calls = run.calls.filter { it.contentDigest == request.contentDigest }.map { "${it.attempt} at ${it.target}: ${it.outcome}" }
        return Violation(Promise.OWN_WHOLE_ANSWER, "${request.id}: $problem; $calls")
    }

    private fun problem(send: ObservedSend, crashes: List<ExecutedIncident>): String? = when (send.outcome) {
        SendOutcome.FOREIGN -> "the answer belongs to another request or is out of order"
        SendOutcome.INCOMPLETE -> "the answer has its terminal marker but lacks a part"
        SendOutcome.BROKEN -> "the answer ended before its terminal marker".takeIf { crashes.none { crash -> causedBreak(crash, send) } }
        SendOutcome.WHOLE, SendOutcome.REFUSED, SendOutcome.NO_ANSWER, SendOutcome.TIMED_OUT -> null
    }

    /** Whether [crash] hit the instance that served [send] during that send. */
    private fun causedBreak(crash: ExecutedIncident, send: ObservedSend) =
        send.address in crash.addresses && crash.startNanoseconds in send.startNanoseconds..send.endNanoseconds
}

/** Checks that a refusal marked as "not run" is true: no target received the request because of that send. */
internal object NotRunCheck : PromiseCheck {
    private class RequestSend(val request: ObservedRequest, val send: ObservedSend) {
        fun covers(call: ObservedCall) = call.startNanoseconds in send.startNanoseconds..send.endNanoseconds
    }

    override fun violations(run: RunRecord): List<Violation> {
        val calls = run.calls.groupBy { it.contentDigest }
        return run.requests.flatMap { request -> request.sends.map { RequestSend(request, it) } }
            .groupBy { it.request.contentDigest }
            .flatMap { (digest, sends) -> falseNotRunRefusals(sends, calls[digest].orEmpty()) }
    }

    private fun falseNotRunRefusals(sends: List<RequestSend>, calls: List<ObservedCall>): List<Violation> =
        sends.filter { it.send.outcome == SendOutcome.REFUSED && it.send.notRun == true }.flatMap { refused ->
            val otherSends = sends.filter { it !== refused }
            calls.filter { call -> contradictsRefusal(refused, otherSends, call) }.map {
                Violation(
                    Promise.TRUTHFUL_NOT_RUN,
                    "${refused.request.id} was refused with ${refused.send.errorType} as not run, but ${it.target} ran ${it.attempt}",
                )
            }
        }

    /**
     * Whether [call] proves that [refused] was run. A call that starts during one of [otherSends] may belong to that
     * send. For a request with an idempotency key, every call up to the end of [refused] counts, because the request
     * had then already run under that key.
     */
    private fun contradictsRefusal(refused: RequestSend, otherSends: List<RequestSend>, call: ObservedCall): Boolean {
        val belongsToOtherSend = otherSends.any { it.covers(call) }
        if (refused.request.idempotencyKey != null && call.startNanoseconds <= refused.send.endNanoseconds) return true
        return call.startNanoseconds >= refused.send.startNanoseconds && !belongsToOtherSend
    }
}

/** Checks that no target receives a caller's key. */
internal object KeyExposureCheck : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> {
        val keys = run.requests.map { it.key }.toSet()
        return run.calls.mapNotNull { call ->
            call.headers.entries.find { (_, value) -> keys.any { it in value } }
                ?.let { Violation(Promise.KEY_HIDDEN, "${call.target} received a caller's key in header ${it.key} of ${call.attempt}") }
        }
    }
}

/** Checks that a request runs, and shares cache entries, only in the cache scope of the workspace whose key it carries. */
internal object WorkspaceIsolationCheck : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> {
        val owners = run.requests.associate { it.contentDigest to it.workspace }
        return run.calls.mapNotNull { call ->
            val scope = call.headers[TargetHeaders.CACHE_SCOPE.lowercase()] ?: return@mapNotNull null
            val workspace = Base64.getDecoder().decode(scope).decodeToString().substringBefore('\u0000')
            val owner = owners[call.contentDigest]?.text
            if (workspace == owner) null else Violation(Promise.OWN_WORKSPACE, "${call.attempt} of $owner ran in the scope of $workspace")
        }
    }
}
