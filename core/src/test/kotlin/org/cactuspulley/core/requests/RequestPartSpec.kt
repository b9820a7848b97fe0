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
        it("is tried at another target when its target fails, and completed once") {
            val fixture = RequestFixture()
            fixture.arrive()
            fixture.finish(AttemptOutcome.TargetFailed(500))
            fixture.finish(completed())
            fixture.attempts.map { it.target.id.text } shouldContainExactly listOf("a", "b")
            fixture.effects.filterIsInstance<CompleteAnswer>().map { it.attempt } shouldContainExactly listOf(fixture.attempts[1].attempt)
            fixture.requests.activeRequests shouldBe 0
        }

        it("is resumed after the tokens that the caller has, by a target with the same weights") {
            val fixture = RequestFixture()
            fixture.selection.weights["b"] = "2"
            fixture.arrive()
            fixture.finish(AttemptOutcome.Invalid(InvalidAnswer.OUT_OF_ORDER, deliveredTokens = 7))
            fixture.attempts.last().resumeFrom shouldBe 7
            fixture.attempts.last().target.id.text shouldBe "c"
        }

        it("starts over with any weights when the caller has nothing yet") {
            val fixture = RequestFixture()
            fixture.selection.weights["b"] = "2"
            fixture.arrive()
            fixture.finish(AttemptOutcome.Invalid(InvalidAnswer.UNREADABLE, deliveredTokens = 0))
            fixture.attempts.last().resumeFrom shouldBe 0
            fixture.attempts.last().target.id.text shouldBe "b"
        }

        it("is tried elsewhere when the first byte is overdue, and the late answer changes nothing") {
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

        it("is cancelled at its target when the caller hangs up") {
            val fixture = RequestFixture()
            fixture.arrive()
            fixture.handle(RequestAbandoned(request))
            fixture.effects shouldContain CancelAttempt(request, fixture.attempts.single().attempt)
            fixture.finish(AttemptOutcome.Cancelled(4, sent = true))
            fixture.effects shouldContain ReleaseRequest(request)
            fixture.admission.settled shouldContainExactly mapOf(request to 104L)
        }

        it("returns its charge when it did not run") {
            val fixture = RequestFixture()
            fixture.arrive()
            repeat(4) { fixture.finish(AttemptOutcome.NotSent) }
            fixture.admission.released shouldContainExactly listOf(request)
            fixture.admission.settled.keys.shouldBeEmpty()
        }

        it("is charged what it used, without cached tokens where the profile says so") {
            for ((chargeCached, used) in listOf(true to 120L, false to 40L)) {
                val fixture = RequestFixture()
                fixture.authorization.result = Ok(grant(repeatable = true, chargeCachedTokens = chargeCached))
                fixture.arrive()
                fixture.finish(completed(cachedTokens = 80))
                fixture.admission.settled shouldContainExactly mapOf(request to used)
            }
        }
    }

    describe("a request that must not be repeated") {
        it("is sent once, whatever becomes of it") {
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

        it("is sent only after its intent stands in the log") {
            val fixture = nonRepeatable()
            fixture.logIsAvailable = false
            fixture.arrive(idempotencyKey = "k")
            fixture.attempts.shouldBeEmpty()
        }

        it("gives a second sender the recorded answer and releases that one's charge") {
            val answer = RecordedAnswer(201, emptyList(), AnswerBody("done".toByteArray()))
            val fixture = nonRepeatable()
            fixture.arrive("first", idempotencyKey = "k")
            fixture.finish(completed(answer = answer))
            fixture.arrive(idempotencyKey = "k")
            fixture.effects shouldContain SendRecordedAnswer(request, answer)
            fixture.attempts shouldHaveSize 1
            fixture.admission.released shouldContainExactly listOf(request)
        }

        it("runs to its end when the caller hangs up, for a second sender") {
            val answer = RecordedAnswer(201, emptyList(), AnswerBody("done".toByteArray()))
            val fixture = nonRepeatable()
            fixture.arrive("first", idempotencyKey = "k")
            fixture.handle(RequestAbandoned(RequestId("first")))
            fixture.effects.filterIsInstance<CancelAttempt>().shouldBeEmpty()
            fixture.finish(completed(answer = answer))
            fixture.arrive(idempotencyKey = "k")
            fixture.effects shouldContain SendRecordedAnswer(request, answer)
        }

        it("gives its key free when it was surely never sent") {
            val fixture = nonRepeatable()
            fixture.arrive("first", idempotencyKey = "k")
            repeat(4) { fixture.finish(AttemptOutcome.NotSent) }
            fixture.journalEntries().filterIsInstance<JournalEntry.Outcome>().map { it.outcome } shouldContainExactly
                listOf(JournalOutcome.NeverSent)
            fixture.arrive(idempotencyKey = "k")
            fixture.attempts.last().request shouldBe request
        }

        it("gets one attempt under a generated key when it came without one, also with the log down") {
            val fixture = nonRepeatable()
            fixture.logIsAvailable = false
            fixture.arrive()
            fixture.attempts.single().idempotencyKey?.text shouldBe fixture.attempts.single().attempt.text
        }
    }

    describe("a graceful stop") {
        it("lasts until callers are no longer sent here and the last request has ended") {
            val fixture = RequestFixture()
            fixture.arrive()
            fixture.handle(StopRequested(fixture.now + 100.seconds))
            fixture.effects shouldContain DrainConnections
            fixture.advance(6.seconds)
            fixture.effects shouldNotContain StopCompleted
            fixture.finish(completed())
            fixture.effects.count { it == StopCompleted } shouldBe 1
        }

        it("serves requests that arrive before callers are no longer sent here") {
            val fixture = RequestFixture()
            fixture.handle(StopRequested(fixture.now + 100.seconds))
            fixture.arrive()
            fixture.finish(completed())
            fixture.effects shouldNotContain StopCompleted
            fixture.advance(6.seconds)
            fixture.effects.count { it == StopCompleted } shouldBe 1
        }

        it("ends at the stop deadline at the latest") {
            val fixture = RequestFixture()
            fixture.arrive()
            fixture.handle(StopRequested(fixture.now + 20.seconds))
            fixture.advance(19.seconds)
            fixture.effects shouldNotContain StopCompleted
            fixture.advance(1.seconds)
            fixture.effects shouldContain StopCompleted
        }

        it("waits for outcomes that are on their way to the log") {
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
