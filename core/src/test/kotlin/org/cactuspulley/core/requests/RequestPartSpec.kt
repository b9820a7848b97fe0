package org.cactuspulley.core.requests

import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.effect.CancelAttempt
import org.cactuspulley.core.effect.CompleteAnswer
import org.cactuspulley.core.effect.DrainConnections
import org.cactuspulley.core.effect.ReleaseRequest
import org.cactuspulley.core.effect.SendRecordedAnswer
import org.cactuspulley.core.effect.StopCompleted
import org.cactuspulley.core.event.RequestAbandoned
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.journal.JournalEntry
import org.cactuspulley.core.journal.JournalOutcome
import org.cactuspulley.core.model.RequestId
import kotlin.time.Duration.Companion.seconds

class RequestPartSpec : DescribeSpec({
    val request = RequestId("r")

    fun nonRepeatable() = RequestFixture().apply { authorization.result = Ok(grant(repeatable = false)) }

    describe("a repeatable request") {
        it("is retried at another target when its target fails, and completed once") {
            val fixture = RequestFixture()
            fixture.arrive()
            fixture.finish(AttemptOutcome.TargetFailed(500))
            fixture.finish(completed())
            fixture.attempts.map { it.target.id.text } shouldContainExactly listOf("a", "b")
            fixture.effects.filterIsInstance<CompleteAnswer>().map { it.attempt } shouldContainExactly listOf(fixture.attempts[1].attempt)
            fixture.requests.activeRequests shouldBe 0
        }

        it("is resumed after the delivered tokens by a target with the same weights") {
            val fixture = RequestFixture()
            fixture.selection.weights["b"] = "2"
            fixture.arrive()
            fixture.finish(AttemptOutcome.Invalid(InvalidAnswer.OUT_OF_ORDER, deliveredTokens = 7))
            fixture.attempts.last().resumeFrom shouldBe 7
            fixture.attempts.last().target.id.text shouldBe "c"
        }

        it("restarts at a target with any weights when no token was delivered") {
            val fixture = RequestFixture()
            fixture.selection.weights["b"] = "2"
            fixture.arrive()
            fixture.finish(AttemptOutcome.Invalid(InvalidAnswer.UNREADABLE, deliveredTokens = 0))
            fixture.attempts.last().resumeFrom shouldBe 0
            fixture.attempts.last().target.id.text shouldBe "b"
        }

        it("is retried at another target when the first byte is late, and the late answer is ignored") {
            val fixture = RequestFixture()
            fixture.arrive()
            val first = fixture.attempts.single()
            fixture.advance(31.seconds)
            fixture.effects shouldContain CancelAttempt(request, first.attempt)
            fixture.finish(AttemptOutcome.Cancelled(0, sent = true), first)
            fixture.attempts shouldHaveSize 2
            fixture.finish(completed(), first)
            fixture.effects.filterIsInstance<CompleteAnswer>().shouldBeEmpty()
        }

        it("is cancelled at its target when the caller closes the connection") {
            val fixture = RequestFixture()
            fixture.arrive()
            fixture.handle(RequestAbandoned(request))
            fixture.effects shouldContain CancelAttempt(request, fixture.attempts.single().attempt)
            fixture.finish(AttemptOutcome.Cancelled(4, sent = true))
            fixture.effects shouldContain ReleaseRequest(request)
            fixture.admission.settled shouldContainExactly mapOf(request to 104L)
        }

        it("has its charge released when it did not run") {
            val fixture = RequestFixture()
            fixture.arrive()
            repeat(4) { fixture.finish(AttemptOutcome.NotSent) }
            fixture.admission.released shouldContainExactly listOf(request)
            fixture.admission.settled.keys.shouldBeEmpty()
        }

        it("is charged for the tokens it used, without cached tokens if the profile does not charge them") {
            for ((chargeCached, used) in listOf(true to 120L, false to 40L)) {
                val fixture = RequestFixture()
                fixture.authorization.result = Ok(grant(repeatable = true, chargeCachedTokens = chargeCached))
                fixture.arrive()
                fixture.finish(completed(cachedTokens = 80))
                fixture.admission.settled shouldContainExactly mapOf(request to used)
            }
        }
    }

    describe("a non-repeatable request") {
        it("is not sent again after an attempt that may have run") {
            val failures = listOf(
                AttemptOutcome.Crashed(0),
                AttemptOutcome.Invalid(InvalidAnswer.FOREIGN_REQUEST, 0),
                AttemptOutcome.Cancelled(0, sent = true),
            )
            for (failure in failures) {
                val fixture = nonRepeatable()
                fixture.arrive(idempotencyKey = "k")
                fixture.finish(failure)
                fixture.advance(60.seconds)
                fixture.attempts shouldHaveSize 1
            }
        }

        it("is not sent before its intent is in the log") {
            val fixture = nonRepeatable()
            fixture.logIsAvailable = false
            fixture.arrive(idempotencyKey = "k")
            fixture.attempts.shouldBeEmpty()
        }

        it("answers a resend with the recorded answer and releases its charge") {
            val answer = RecordedAnswer(201, emptyList(), AnswerBody("done".toByteArray()))
            val fixture = nonRepeatable()
            fixture.arrive("first", idempotencyKey = "k")
            fixture.finish(completed(answer = answer))
            fixture.arrive(idempotencyKey = "k")
            fixture.effects shouldContain SendRecordedAnswer(request, answer)
            fixture.attempts shouldHaveSize 1
            fixture.admission.released shouldContainExactly listOf(request)
        }

        it("completes after the caller closed the connection, so that a resend gets the answer") {
            val answer = RecordedAnswer(201, emptyList(), AnswerBody("done".toByteArray()))
            val fixture = nonRepeatable()
            fixture.arrive("first", idempotencyKey = "k")
            fixture.handle(RequestAbandoned(RequestId("first")))
            fixture.effects.filterIsInstance<CancelAttempt>().shouldBeEmpty()
            fixture.finish(completed(answer = answer))
            fixture.arrive(idempotencyKey = "k")
            fixture.effects shouldContain SendRecordedAnswer(request, answer)
        }

        it("releases its idempotency key when it was certainly not sent") {
            val fixture = nonRepeatable()
            fixture.arrive("first", idempotencyKey = "k")
            repeat(4) { fixture.finish(AttemptOutcome.NotSent) }
            fixture.journalEntries().filterIsInstance<JournalEntry.Outcome>().map { it.outcome } shouldContainExactly
                listOf(JournalOutcome.NeverSent)
            fixture.arrive(idempotencyKey = "k")
            fixture.attempts.last().request shouldBe request
        }

        it("gets one attempt with a generated idempotency key if it has none, even if the log is unavailable") {
            val fixture = nonRepeatable()
            fixture.logIsAvailable = false
            fixture.arrive()
            fixture.attempts.single().idempotencyKey?.text shouldBe fixture.attempts.single().attempt.text
        }
    }

    describe("a graceful stop") {
        it("lasts until the entry answers have expired and the last request has ended") {
            val fixture = RequestFixture()
            fixture.arrive()
            fixture.handle(StopRequested(fixture.now + 100.seconds))
            fixture.effects shouldContain DrainConnections
            fixture.advance(6.seconds)
            fixture.effects shouldNotContain StopCompleted
            fixture.finish(completed())
            fixture.effects.count { it == StopCompleted } shouldBe 1
        }

        it("serves requests that arrive before the entry answers have expired") {
            val fixture = RequestFixture()
            fixture.handle(StopRequested(fixture.now + 100.seconds))
            fixture.arrive()
            fixture.finish(completed())
            fixture.effects shouldNotContain StopCompleted
            fixture.advance(6.seconds)
            fixture.effects.count { it == StopCompleted } shouldBe 1
        }

        it("completes at the stop deadline at the latest") {
            val fixture = RequestFixture()
            fixture.arrive()
            fixture.handle(StopRequested(fixture.now + 20.seconds))
            fixture.advance(19.seconds)
            fixture.effects shouldNotContain StopCompleted
            fixture.advance(1.seconds)
            fixture.effects shouldContain StopCompleted
        }

        it("waits for outcomes that the log has not acknowledged") {
            val fixture = nonRepeatable()
            fixture.arrive(idempotencyKey = "k")
            fixture.logIsAvailable = false
            fixture.handle(StopRequested(fixture.now + 20.seconds))
            fixture.finish(completed())
            fixture.advance(19.seconds)
            fixture.effects shouldNotContain StopCompleted
        }
    }
})
