package org.cactuspulley.core.requests

import com.github.michaelbull.result.Ok
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.configuration.AuthorizationFailure
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.limits.AdmissionDecision
import org.cactuspulley.core.limits.RefusalReason
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.queueing.OfferResult
import org.cactuspulley.core.routing.NoTargetReason
import org.cactuspulley.core.routing.TargetDecision
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A scenario that ends in the refusal of a request, with the refusal that the caller must get.
 *
 * @property notRun the expected value of [Refusal.notRun].
 * @property steps the steps that lead to the refusal.
 */
private class RefusalScenario(
    val name: String,
    val kind: RefusalKind,
    val notRun: Boolean,
    val settings: RequestSettings = RequestSettings(),
    val steps: RequestFixture.() -> Unit,
)

private val ALL_TARGETS_BUSY = TargetDecision.Busy(MonotonicTime(Long.MAX_VALUE / 2))

private fun refusedByAuthorization(failure: AuthorizationFailure, kind: RefusalKind) = RefusalScenario("$failure", kind, true) {
    authorization.fail(failure)
    arrive()
}

private fun refusedByAdmission(reason: RefusalReason, kind: RefusalKind) = RefusalScenario("$reason", kind, true) {
    admission.decision = AdmissionDecision.Refused(reason, null)
    arrive()
}

private fun RequestFixture.nonRepeatable() {
    authorization.result = Ok(grant(repeatable = false))
}

/** Makes the fingerprint that all test requests share crash two targets. */
private fun RequestFixture.crashTwice() {
    arrive("crasher")
    finish(AttemptOutcome.Crashed(0))
    advance(1.milliseconds)
    finish(AttemptOutcome.Crashed(0))
}

private val BEFORE_ANY_ATTEMPT = listOf(
    refusedByAuthorization(AuthorizationFailure.KeyMissing, RefusalKind.KEY_MISSING),
    refusedByAuthorization(AuthorizationFailure.KeyUnknown, RefusalKind.KEY_UNKNOWN),
    refusedByAuthorization(AuthorizationFailure.KeyWithdrawn, RefusalKind.KEY_WITHDRAWN),
    refusedByAuthorization(AuthorizationFailure.ProfileNotPermitted, RefusalKind.PROFILE_NOT_PERMITTED),
    refusedByAuthorization(AuthorizationFailure.RouteUnknown, RefusalKind.ROUTE_UNKNOWN),
    refusedByAuthorization(AuthorizationFailure.ModelUnknown, RefusalKind.MODEL_UNKNOWN),
    refusedByAuthorization(AuthorizationFailure.ConfigurationStale, RefusalKind.CONFIGURATION_STALE),
    refusedByAdmission(RefusalReason.OVER_RATE, RefusalKind.OVER_RATE),
    refusedByAdmission(RefusalReason.LARGER_THAN_BURST, RefusalKind.LARGER_THAN_BURST),
    refusedByAdmission(RefusalReason.NO_GRANT, RefusalKind.NO_GRANT),
    RefusalScenario("admission pending at the deadline", RefusalKind.DEADLINE_PASSED, true) {
        admission.decision = AdmissionDecision.Pending(emptyList())
        arrive(timeout = 1.seconds)
        advance(2.seconds)
    },
    RefusalScenario("queue full", RefusalKind.QUEUE_FULL, true) {
        queue.offerResult = OfferResult.Full
        arrive()
    },
    RefusalScenario("queue too long to meet the deadline", RefusalKind.DEADLINE_UNREACHABLE, true) {
        queue.offerResult = OfferResult.TooLate(now + 99.seconds)
        arrive()
    },
    RefusalScenario("queued past the deadline", RefusalKind.DEADLINE_PASSED, true) {
        selection.fixedDecision = ALL_TARGETS_BUSY
        arrive(timeout = 1.seconds)
        advance(2.seconds)
    },
    RefusalScenario("key withdrawn while queued", RefusalKind.KEY_WITHDRAWN, true) {
        selection.fixedDecision = ALL_TARGETS_BUSY
        arrive()
        authorization.keyIsWithdrawn = true
        handle(ConfigurationChanged(Configuration()))
    },
    RefusalScenario("pool empty", RefusalKind.NO_TARGET, true) {
        selection.fixedDecision = TargetDecision.None(NoTargetReason.POOL_EMPTY)
        arrive()
    },
    RefusalScenario("every target unhealthy beyond the timeout", RefusalKind.NO_TARGET, true) {
        selection.fixedDecision = TargetDecision.None(NoTargetReason.ALL_UNHEALTHY)
        arrive()
        advance(10.seconds)
    },
    RefusalScenario("quarantined after another request crashed two targets", RefusalKind.QUARANTINED, true) {
        crashTwice()
        arrive()
    },
    RefusalScenario("suspect while another request runs the trial", RefusalKind.SUSPECT, true) {
        arrive("crasher")
        finish(AttemptOutcome.Crashed(0))
        arrive(timeout = 10.seconds)
        advance(9.seconds)
    },
    RefusalScenario("log unavailable, so an earlier send may have run", RefusalKind.LOG_UNAVAILABLE, false) {
        nonRepeatable()
        logIsAvailable = false
        arrive(idempotencyKey = "k")
        advance(20.seconds)
    },
    RefusalScenario("log unavailable until the deadline, so an earlier send may have run", RefusalKind.DEADLINE_PASSED, false) {
        nonRepeatable()
        logIsAvailable = false
        arrive(idempotencyKey = "k", timeout = 1.seconds)
        advance(20.seconds)
    },
    RefusalScenario("idempotency key reused with another body", RefusalKind.IDEMPOTENCY_KEY_REUSED, true) {
        nonRepeatable()
        arrive("first", idempotencyKey = "k", fingerprint = 1)
        arrive(idempotencyKey = "k", fingerprint = 2)
    },
)

/** Refusals before the journal has decided whether an earlier send with the same idempotency key ran. */
private val BEFORE_JOURNAL_DECISION = listOf(
    RefusalScenario("possible resend, configuration stale", RefusalKind.CONFIGURATION_STALE, false) {
        authorization.fail(AuthorizationFailure.ConfigurationStale)
        arrive(idempotencyKey = "k")
    },
    RefusalScenario("possible resend, over rate", RefusalKind.OVER_RATE, false) {
        nonRepeatable()
        admission.decision = AdmissionDecision.Refused(RefusalReason.OVER_RATE, null)
        arrive(idempotencyKey = "k")
    },
    RefusalScenario("possible resend of a repeatable request, queue full", RefusalKind.QUEUE_FULL, false) {
        queue.offerResult = OfferResult.Full
        arrive(idempotencyKey = "k")
    },
    RefusalScenario("first send according to the journal, queue full", RefusalKind.QUEUE_FULL, true) {
        nonRepeatable()
        queue.offerResult = OfferResult.Full
        arrive(idempotencyKey = "k")
    },
)

private val AFTER_AN_ATTEMPT = listOf(
    RefusalScenario("connection to every target failed", RefusalKind.NO_TARGET, true) {
        arrive()
        repeat(4) { finish(AttemptOutcome.NotSent) }
    },
    RefusalScenario("wrong weights at every target", RefusalKind.NO_TARGET, true) {
        arrive()
        repeat(4) { finish(AttemptOutcome.WrongWeights) }
    },
    RefusalScenario("non-repeatable, crashed", RefusalKind.ATTEMPT_FAILED, false) {
        nonRepeatable()
        arrive()
        finish(AttemptOutcome.Crashed(0))
    },
    RefusalScenario("non-repeatable, foreign answer", RefusalKind.ATTEMPT_FAILED, false) {
        nonRepeatable()
        arrive()
        finish(AttemptOutcome.Invalid(InvalidAnswer.FOREIGN_REQUEST, 0))
    },
    RefusalScenario("non-repeatable, cancelled at the deadline", RefusalKind.DEADLINE_PASSED, false) {
        nonRepeatable()
        arrive(timeout = 1.seconds)
        advance(2.seconds)
        finish(AttemptOutcome.Cancelled(0, sent = true))
    },
    RefusalScenario("cancelled at the deadline before it was sent", RefusalKind.DEADLINE_PASSED, true) {
        arrive(timeout = 1.seconds)
        advance(2.seconds)
        finish(AttemptOutcome.Cancelled(0, sent = false))
    },
    RefusalScenario("every attempt failed", RefusalKind.ATTEMPT_FAILED, false) {
        arrive()
        repeat(4) { finish(AttemptOutcome.TargetFailed(500)) }
    },
    RefusalScenario("one attempt failed, then every connection failed", RefusalKind.NO_TARGET, false) {
        arrive()
        finish(AttemptOutcome.TargetFailed(500))
        repeat(3) { finish(AttemptOutcome.NotSent) }
    },
    RefusalScenario("attempt failed, then pool empty", RefusalKind.NO_TARGET, false) {
        arrive()
        selection.fixedDecision = TargetDecision.None(NoTargetReason.POOL_EMPTY)
        finish(AttemptOutcome.TargetFailed(500))
    },
    RefusalScenario("attempt failed, then queue full", RefusalKind.QUEUE_FULL, false) {
        arrive()
        queue.offerResult = OfferResult.Full
        finish(AttemptOutcome.TargetFailed(500))
    },
    RefusalScenario("attempt failed, then key withdrawn", RefusalKind.KEY_WITHDRAWN, false) {
        arrive()
        authorization.keyIsWithdrawn = true
        finish(AttemptOutcome.TargetFailed(500))
    },
    RefusalScenario("request crashed two targets", RefusalKind.QUARANTINED, false) {
        arrive()
        finish(AttemptOutcome.Crashed(0))
        finish(AttemptOutcome.Crashed(0))
    },
    RefusalScenario("broken stream that no target can resume", RefusalKind.STREAM_BROKEN, false) {
        selection.weights += mapOf("b" to "2", "c" to "2")
        selection.targets = listOf("a", "b", "c")
        arrive()
        firstByte()
        selection.targets = listOf("b", "c")
        finish(AttemptOutcome.TargetFailed(500))
        finish(AttemptOutcome.Invalid(InvalidAnswer.OUT_OF_ORDER, 3))
        selection.fixedDecision = TargetDecision.None(NoTargetReason.POOL_EMPTY)
        if (refusals().isEmpty()) finish(AttemptOutcome.Invalid(InvalidAnswer.OUT_OF_ORDER, 3))
    },
    RefusalScenario("earlier send with unknown outcome", RefusalKind.OUTCOME_UNKNOWN, false) {
        nonRepeatable()
        arrive("first", idempotencyKey = "k")
        finish(AttemptOutcome.Invalid(InvalidAnswer.UNREADABLE, 0))
        arrive(idempotencyKey = "k")
    },
    RefusalScenario("earlier send still running at the deadline", RefusalKind.OUTCOME_UNKNOWN, false) {
        nonRepeatable()
        arrive("first", idempotencyKey = "k")
        arrive(idempotencyKey = "k", timeout = 1.seconds)
        advance(2.seconds)
    },
    RefusalScenario("earlier send whose answer is too large to keep", RefusalKind.OUTCOME_NOT_KEPT, false) {
        nonRepeatable()
        arrive("first", idempotencyKey = "k")
        finish(completed(answer = null))
        arrive(idempotencyKey = "k")
    },
    RefusalScenario("retry budget used up", RefusalKind.RETRIES_EXHAUSTED, false, RequestSettings(retryFraction = 0.0, retryBurst = 1.0)) {
        arrive()
        finish(AttemptOutcome.TargetFailed(500))
        finish(AttemptOutcome.TargetFailed(500))
    },
)

class RefusalNotRunSpec : DescribeSpec({
    describe("a refusal") {
        for (scenario in BEFORE_ANY_ATTEMPT + BEFORE_JOURNAL_DECISION + AFTER_AN_ATTEMPT) {
            it("reports whether the request may have run: ${scenario.name}") {
                val fixture = RequestFixture(scenario.settings)
                scenario.steps(fixture)
                val refusal = withClue(fixture.effects.takeLast(6)) { fixture.refusals().single() }
                refusal.kind shouldBe scenario.kind
                refusal.notRun shouldBe scenario.notRun
            }
        }

        it("is tested for every kind that the core produces") {
            val edgeKinds = setOf(
                RefusalKind.MALFORMED_REQUEST,
                RefusalKind.KEY_IN_REQUEST,
                RefusalKind.METHOD_NOT_ALLOWED,
                RefusalKind.REQUEST_TIMEOUT,
                RefusalKind.BODY_TOO_LARGE,
                RefusalKind.HEADERS_TOO_LARGE,
                RefusalKind.MEMORY_SHORT,
                RefusalKind.TOO_MANY_CONNECTIONS,
                RefusalKind.IDEMPOTENCY_KEY_EXPIRED,
            )
            val covered = (BEFORE_ANY_ATTEMPT + AFTER_AN_ATTEMPT).map { it.kind }.toSet()
            covered shouldContainExactlyInAnyOrder RefusalKind.entries.toSet() - edgeKinds
        }
    }
})
