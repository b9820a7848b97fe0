package org.cactuspulley.core.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val START = MonotonicTime.ZERO + 1_000.seconds
private const val ROOT = 1L
private const val SHARED = 2L
private const val DEADLY = 666L

private fun target(number: Int) = TargetStart(TargetId("t-$number"), 1_000)

private fun pieces(vararg hashes: Long): Set<RequestTrait> = hashes.mapTo(LinkedHashSet()) { RequestTrait.Piece(it) }

private fun request(number: Long): Set<RequestTrait> = setOf(RequestTrait.PathAndBody(number))

/** Records the crash of target [number] on requests with [traits], [after] the start. */
private fun CrashQuarantine.crash(number: Int, after: Duration, traits: Set<RequestTrait>) =
    recordCrash(target(number), traits, START + after, START + after)

private fun CrashQuarantine.crash(number: Int, after: Duration, vararg hashes: Long) = crash(number, after, pieces(*hashes))

/** Records that a request with [traits] was served, [after] the start. */
private fun CrashQuarantine.serve(after: Duration, traits: Set<RequestTrait>) = recordServed(traits, START + after, START + after)

/** Records the first event of an answer to a prompt with the pieces [hashes], [after] the start. */
private fun CrashQuarantine.begin(after: Duration, vararg hashes: Long) = serve(after, pieces(*hashes))

/** Returns the pieces that hold a prompt with the pieces [hashes] back; null if it may run, also as a trial. */
private fun CrashQuarantine.verdict(hashes: List<Long>, now: MonotonicTime): Set<Long>? =
    (verdict(pieces(*hashes.toLongArray()), now) as? CrashVerdict.Held)?.traits?.map { it.hash }?.toSet()

private fun CrashQuarantine.held(now: MonotonicTime): List<Set<RequestTrait>> = entries(now).filter { now < it.heldUntil }.map { it.traits }

private fun CrashQuarantine.adopt(hashes: Set<Long>, lastCrashAt: MonotonicTime) =
    adopt(CrashQuarantineEntry(pieces(*hashes.toLongArray()), lastCrashAt, 1, lastCrashAt + 2.hours))

class CrashQuarantineSpec : DescribeSpec({
    describe("a piece") {
        it("is quarantined once three targets have crashed on it without a first event") {
            val quarantine = CrashQuarantine()
            quarantine.crash(1, 0.seconds, DEADLY).shouldBeEmpty()
            quarantine.crash(2, 1.seconds, DEADLY).shouldBeEmpty()
            quarantine.verdict(listOf(ROOT, DEADLY), START + 1.seconds) shouldBe null
            quarantine.crash(3, 2.seconds, DEADLY) shouldBe
                listOf(CrashQuarantineChange.Quarantined(pieces(DEADLY), setOf(target(1), target(2), target(3))))
            quarantine.verdict(listOf(ROOT, DEADLY), START + 2.seconds) shouldBe setOf(DEADLY)
            quarantine.verdict(listOf(ROOT), START + 2.seconds) shouldBe null
        }

        it("is not quarantined by several reports of one crash") {
            val quarantine = CrashQuarantine()
            repeat(5) { quarantine.crash(1, it.seconds, DEADLY, it.toLong()) }
            quarantine.held(START + 5.seconds).shouldBeEmpty()
        }

        it("is not quarantined by targets that crash at the same moment") {
            val quarantine = CrashQuarantine()
            repeat(5) { quarantine.crash(it, it.milliseconds, DEADLY) }
            quarantine.held(START + 1.seconds).shouldBeEmpty()
        }

        it("is cleared of earlier crashes by a first event, also if the crash is reported later") {
            val quarantine = CrashQuarantine()
            quarantine.crash(1, 0.seconds, SHARED)
            quarantine.crash(2, 0.5.seconds, SHARED)
            quarantine.begin(1.seconds, SHARED)
            quarantine.crash(3, 2.seconds, SHARED)
            quarantine.crash(4, 3.seconds, SHARED)
            quarantine.recordCrash(target(5), pieces(SHARED), START + 0.9.seconds, START + 3.seconds)
            quarantine.held(START + 3.seconds).shouldBeEmpty()
        }

        it("is held back for ten minutes after the last crash, and may then be tried") {
            val quarantine = CrashQuarantine()
            repeat(3) { quarantine.crash(it, it.seconds, DEADLY) }
            quarantine.verdict(listOf(DEADLY), START + 10.minutes) shouldBe setOf(DEADLY)
            quarantine.verdict(pieces(DEADLY), START + 10.minutes + 3.seconds) shouldBe CrashVerdict.OnTrial(pieces(DEADLY))
        }
    }

    describe("pieces that occur together in all crashes") {
        it("hold back only prompts with all of them, until one is proved sound") {
            val quarantine = CrashQuarantine()
            quarantine.crash(1, 0.seconds, ROOT, SHARED, DEADLY)
            quarantine.begin(500.milliseconds, ROOT)
            quarantine.crash(2, 1.seconds, SHARED, DEADLY)
            quarantine.crash(3, 2.seconds, SHARED, DEADLY)
            quarantine.verdict(listOf(ROOT, SHARED), START + 2.seconds) shouldBe null
            quarantine.verdict(listOf(ROOT, SHARED, DEADLY), START + 2.seconds) shouldBe setOf(SHARED, DEADLY)
            quarantine.begin(3.seconds, ROOT, SHARED)
            quarantine.verdict(listOf(ROOT, DEADLY), START + 3.seconds) shouldBe setOf(DEADLY)
        }

        it("are released if an answer to a prompt with all of them begins") {
            val quarantine = CrashQuarantine()
            repeat(3) { quarantine.crash(it, it.seconds, SHARED, DEADLY) }
            quarantine.begin(3.seconds, SHARED, DEADLY) shouldBe listOf(CrashQuarantineChange.Released(pieces(SHARED, DEADLY)))
            quarantine.verdict(listOf(SHARED, DEADLY), START + 3.seconds) shouldBe null
        }
    }

    describe("a crash that a piece with more crashes explains") {
        it("is no evidence against the other pieces of it") {
            val quarantine = CrashQuarantine()
            quarantine.crash(1, 0.seconds, DEADLY)
            repeat(3) { quarantine.crash(2 + it, (1 + it).seconds, DEADLY, SHARED) }
            quarantine.held(START + 4.seconds) shouldBe listOf(pieces(DEADLY))
        }
    }

    describe("a request that comes again with the same path and body") {
        it("is held back once three targets have crashed on it, whether or not their answers had begun") {
            val quarantine = CrashQuarantine()
            repeat(3) { quarantine.crash(it, it.seconds, request(1)) }
            quarantine.verdict(request(1), START + 3.seconds) shouldBe CrashVerdict.Held(request(1))
            quarantine.verdict(request(2), START + 3.seconds) shouldBe CrashVerdict.Clear
        }

        // Guards against counting the attempts that one crash breaks: three equal requests were held back by a single crash.
        it("is not held back by one crash of a target that ran it several times, whoever reports it") {
            val quarantine = CrashQuarantine()
            repeat(5) { quarantine.crash(1, it.seconds, request(1)) }
            quarantine.held(START + 5.seconds).shouldBeEmpty()
        }

        // Guards against holding equal sound requests back because some of them run at each target that crashes by itself.
        it("is not held back if it is served between the crashes, also if a crash is reported later") {
            val quarantine = CrashQuarantine()
            repeat(20) {
                quarantine.crash(it, (4 * it).seconds, request(1) + request(100L + it))
                quarantine.serve((4 * it + 1).seconds, request(1))
                quarantine.recordCrash(target(it), request(1), START + (4 * it).seconds, START + (4 * it + 2).seconds)
            }
            quarantine.held(START + 80.seconds).shouldBeEmpty()
        }

        it("is not held back for running beside one that crashes all targets") {
            val quarantine = CrashQuarantine()
            repeat(3) { quarantine.crash(it, it.seconds, request(1) + request(2)) }
            quarantine.held(START + 3.seconds).shouldBeEmpty()
            quarantine.crash(3, 3.seconds, request(1))
            quarantine.held(START + 4.seconds) shouldBe listOf(request(1))
        }

        it("is held back together with another one if neither is seen without the other five times") {
            val quarantine = CrashQuarantine()
            repeat(5) { quarantine.crash(it, it.seconds, request(1) + request(2)) }
            quarantine.held(START + 5.seconds) shouldBe listOf(request(1), request(2))
        }

        // Guards against taking the crashes of a target that comes back before the registry lists its start for one crash.
        it("is held back although the registry does not list the starts of the targets yet") {
            val quarantine = CrashQuarantine()
            for (second in 0..4 step 2) {
                val at = START + second.seconds
                val start = quarantine.startAt(target(1), sentAt = at - 5.milliseconds)
                start.restarts shouldBe second / 2
                quarantine.recordCrash(start, request(1), at, at)
                quarantine.startAt(target(1), sentAt = at - 100.milliseconds) shouldBe start
            }
            quarantine.held(START + 5.seconds) shouldBe listOf(request(1))
        }

        it("is told apart from requests with another query unless the query differs each time") {
            val query = setOf<RequestTrait>(RequestTrait.WholeRequest(11))
            val sameQuery = CrashQuarantine()
            repeat(3) { sameQuery.crash(it, it.seconds, request(1) + query) }
            sameQuery.verdict(request(1) + query, START + 3.seconds) shouldBe CrashVerdict.Held(request(1) + query)
            sameQuery.verdict(request(1) + RequestTrait.WholeRequest(12), START + 3.seconds) shouldBe CrashVerdict.Clear
            val otherQueries = CrashQuarantine()
            repeat(3) { otherQueries.crash(it, it.seconds, request(1) + RequestTrait.WholeRequest(20L + it)) }
            otherQueries.verdict(request(1) + query, START + 3.seconds) shouldBe CrashVerdict.Held(request(1))
        }

        it("is found although minutes lie between its crashes") {
            val quarantine = CrashQuarantine()
            repeat(3) { quarantine.crash(it, (4 * it).minutes, request(1)) }
            quarantine.held(START + 9.minutes) shouldBe listOf(request(1))
        }
    }

    describe("a quarantined request that keeps coming") {
        // Guards against a quarantine that ends by itself: the request crashed three more targets each time.
        it("crashes at most three more targets in a day, one with each trial") {
            val quarantine = CrashQuarantine()
            repeat(3) { quarantine.crash(it, it.seconds, request(1)) }
            var trials = 0
            for (second in 3..86_400) {
                val now = START + second.seconds
                quarantine.expire(now)
                when (quarantine.verdict(request(1), now)) {
                    is CrashVerdict.Held -> quarantine.recordRefusal(request(1), now)
                    is CrashVerdict.OnTrial -> quarantine.crash(10 + trials++, second.seconds, request(1))
                    CrashVerdict.Clear -> error("the quarantine was forgotten after $second seconds")
                }
            }
            trials shouldBe 3
        }

        it("is released by a trial that is served") {
            val quarantine = CrashQuarantine()
            repeat(3) { quarantine.crash(it, it.seconds, request(1)) }
            quarantine.serve(11.minutes, request(1)) shouldBe listOf(CrashQuarantineChange.Released(request(1)))
            quarantine.verdict(request(1), START + 11.minutes) shouldBe CrashVerdict.Clear
        }
    }

    describe("what is remembered") {
        // Guards against memory that grows with each body that crashes targets.
        it("is bounded while the bodies differ each time, and ends when no such request comes any more") {
            val quarantine = CrashQuarantine()
            for (body in 1..500) repeat(3) { quarantine.crash(3 * body + it, (3 * body + it).seconds, request(body.toLong())) }
            val end = START + 1_503.seconds
            quarantine.entries(end).size shouldBe 64
            quarantine.expire(end + 2.hours)
            quarantine.entries(end + 2.hours).shouldBeEmpty()
            quarantine.isSuspect(RequestTrait.PathAndBody(500), end + 2.hours) shouldBe false
        }
    }

    describe("the quarantine of another instance") {
        it("is adopted by an instance that has heard of no crash") {
            val quarantine = CrashQuarantine()
            quarantine.adopt(setOf(DEADLY), START)
            quarantine.verdict(listOf(ROOT, DEADLY), START + 1.seconds) shouldBe setOf(DEADLY)
        }

        it("is adopted without the pieces for which an answer has begun since the last crash") {
            val quarantine = CrashQuarantine()
            quarantine.begin(1.seconds, SHARED)
            quarantine.adopt(setOf(SHARED, DEADLY), START)
            quarantine.verdict(listOf(ROOT, DEADLY), START + 1.seconds) shouldBe setOf(DEADLY)
            quarantine.adopt(setOf(SHARED), START) shouldBe null
            quarantine.held(START + 1.seconds) shouldBe listOf(pieces(DEADLY))
        }

        it("is not extended by the transit time each time that it is passed on") {
            val quarantine = CrashQuarantine()
            quarantine.adopt(setOf(DEADLY), START - 9.minutes)
            repeat(100) { quarantine.adopt(setOf(DEADLY), START - 9.minutes + it.milliseconds) }
            quarantine.verdict(listOf(DEADLY), START + 1.minutes + 1.milliseconds) shouldBe null
        }
    }

    describe("in a simulation of many prompts with ordinary crashes and one piece that crashes targets") {
        // Guards against sound pieces that are held back because their prompts were being answered when targets crashed.
        it("the piece is quarantined after few crashes and sound prompts are not held back") {
            for (seed in 1..SIMULATED_SEEDS) {
                val outcome = simulate(Random(seed))
                outcome.lateCrashes shouldBe 0
                outcome.crashesOnPiece shouldBeLessThanOrEqual 8
                outcome.quarantined shouldNotBe null
                outcome.soundRefusals shouldBe 0
            }
        }
    }
})

private const val SIMULATED_SEEDS = 200
private const val SIMULATED_REQUESTS = 3_000

private class Outcome(val crashesOnPiece: Int, val lateCrashes: Int, val soundRefusals: Int, val quarantined: Set<Long>?)

/**
 * Simulates requests with a root piece, one of 20 pieces of a subject and one of 200 of a session, 20 milliseconds apart. One
 * target in 300 requests crashes by itself between the beginning of an answer and its first event. A twentieth of the requests also
 * has the deadly piece. Late crashes are those more than 3 seconds after the fifth on the piece.
 */
private fun simulate(random: Random): Outcome {
    val quarantine = CrashQuarantine()
    var crashes = 0
    val crashesOnPiece = mutableListOf<MonotonicTime>()
    var soundRefusals = 0
    repeat(SIMULATED_REQUESTS) { index ->
        val now = START + (index * 20).milliseconds
        val sound = listOf(ROOT, 100L + random.nextInt(20), 1_000L + random.nextInt(200))
        val isDeadly = random.nextInt(20) == 0
        val prompt = if (isDeadly) sound + DEADLY else sound
        val traits = request(index.toLong()) + pieces(*prompt.toLongArray())
        val isHeld = quarantine.verdict(traits, now) != CrashVerdict.Clear
        when {
            isHeld && !isDeadly -> soundRefusals++

            isHeld -> Unit

            isDeadly || random.nextInt(300) == 0 -> {
                if (isDeadly) crashesOnPiece += now
                quarantine.recordCrash(target(crashes++), traits, now, now)
            }

            else -> quarantine.recordServed(traits, now, now)
        }
    }
    val late = crashesOnPiece.count { time -> crashesOnPiece.getOrNull(4)?.let { fifth -> time - fifth > 3.seconds } ?: false }
    return Outcome(
        crashesOnPiece.size,
        late,
        soundRefusals,
        quarantine.verdict(
            listOf(DEADLY),
            START + (SIMULATED_REQUESTS * 20).milliseconds,
        ),
    )
}
