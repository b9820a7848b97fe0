package org.cactuspulley.core.configuration

import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.effect.WithdrawalState
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.WithdrawKey
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationUnderFailureSpec : DescribeSpec({
    describe("an accepted change") {
        it("is in force on all eight instances within 2 s") {
            val fleet = servingFleet(seed = 1)
            val offset = fleet.log.append(PutProfile(deskProfile.copy(weight = 7), LogOffset(0)))
            fleet.runUntil(5.seconds) { fleet.instances.all { it.configuration.effective.next > offset } }
                .shouldNotBeNull() shouldBeLessThanOrEqualTo 2.seconds
        }

        it("reaches an instance that can't read the log by relay from its peers") {
            val fleet = servingFleet(seed = 2)
            val withoutLog = fleet.instances[3]
            withoutLog.readsLog = false
            fleet.run(10.seconds)
            val offset = fleet.log.append(PutProfile(deskProfile.copy(weight = 7), LogOffset(0)))
            fleet.runUntil(5.seconds) { withoutLog.configuration.effective.next > offset }.shouldNotBeNull() shouldBeLessThanOrEqualTo
                2.seconds
            withoutLog.configuration.statusAt(fleet.now) shouldBe ConfigurationStatus.FRESH
        }

        it("prevails over a concurrent change on every instance") {
            val fleet = servingFleet(seed = 3)
            fleet.log.append(PutProfile(deskProfile.copy(tokensPerSecond = 2_000), LogOffset(0)))
            fleet.log.append(PutProfile(deskProfile.copy(tokensPerSecond = 10), LogOffset(0)))
            fleet.run(3.seconds)
            fleet.instances.map { it.configuration.effective.profiles.getValue(deskProfile.name).value.tokensPerSecond }.toSet() shouldBe
                setOf(2_000L)
        }
    }

    describe("an instance that is isolated") {
        it("only from the log continues to serve on the knowledge of its peers") {
            val fleet = servingFleet(seed = 4)
            fleet.log.isUp = false
            fleet.run(60.seconds)
            fleet.instances.filterNot { it.isServing }.shouldBeEmpty()
            fleet.instances.map { it.configuration.statusAt(fleet.now) }.toSet() shouldBe setOf(ConfigurationStatus.MAJORITY)
        }

        it("from the log and from its peers refuses every request") {
            val fleet = servingFleet(seed = 5)
            val isolated = fleet.instances[0]
            fleet.log.isUp = false
            fleet.isolate(setOf(isolated.id))
            fleet.run(4.seconds)
            isolated.configuration.authorize(request(), fleet.now).getError() shouldBe AuthorizationFailure.ConfigurationStale
            isolated.configuration.mayStart(key(0).digest, fleet.now) shouldBe false
            fleet.instances.drop(1).filterNot { it.isServing }.shouldBeEmpty()
        }

        it("serves again after it reconnects") {
            val fleet = servingFleet(seed = 6)
            fleet.log.isUp = false
            fleet.isolate(setOf(fleet.instances[0].id))
            fleet.run(30.seconds)
            fleet.isolate(emptySet())
            fleet.runUntil(10.seconds) { fleet.instances[0].isServing }.shouldNotBeNull()
        }

        it("together with half of the fleet does not serve, and neither does the other half") {
            val fleet = servingFleet(seed = 7)
            fleet.log.isUp = false
            fleet.isolate(fleet.instances.take(4).map { it.id }.toSet())
            fleet.run(20.seconds)
            fleet.instances.filter { it.isServing }.shouldBeEmpty()
        }
    }

    describe("a withdrawal during an outage of the log") {
        it("is in force on every instance, is reported as not kept, and is appended when the log returns") {
            val fleet = servingFleet(seed = 8)
            fleet.log.isUp = false
            fleet.run(10.seconds)
            fleet.instances[2].withdraw(1, key(0).digest)
            fleet.run(1.seconds)
            fleet.instances.map { it.configuration.authorize(request(), fleet.now).getError() }.toSet() shouldBe
                setOf(AuthorizationFailure.KeyWithdrawn)
            fleet.run(5.seconds)
            fleet.instances[2].withdrawalAnswers[1] shouldBe WithdrawalState.IN_FORCE_NOT_KEPT
            fleet.log.isUp = true
            fleet.run(10.seconds)
            (key(0).digest in fleet.log.configuration.withdrawnKeys) shouldBe true
        }

        it("is appended by another instance if the instance that received it crashes") {
            val fleet = servingFleet(seed = 9)
            fleet.log.isUp = false
            fleet.run(5.seconds)
            fleet.instances[2].withdraw(1, key(0).digest)
            fleet.run(500.milliseconds)
            fleet.instances[2].crash()
            fleet.log.isUp = true
            fleet.run(30.seconds)
            (key(0).digest in fleet.log.configuration.withdrawnKeys) shouldBe true
        }

        it("received by an instance without a majority is reported as in force only there") {
            val fleet = servingFleet(seed = 10)
            fleet.log.isUp = false
            fleet.isolate(fleet.instances.take(2).map { it.id }.toSet())
            fleet.run(5.seconds)
            fleet.instances[0].withdraw(1, key(0).digest)
            fleet.run(15.seconds)
            fleet.instances[0].withdrawalAnswers[1] shouldBe WithdrawalState.IN_FORCE_HERE_ONLY
        }

        it("survives a restart of all instances except one") {
            val fleet = servingFleet(seed = 11)
            fleet.log.isUp = false
            fleet.run(5.seconds)
            fleet.instances[2].withdraw(1, key(0).digest)
            fleet.run(5.seconds)
            fleet.instances.drop(1).forEach { it.crash() }
            fleet.run(1.seconds)
            fleet.instances.drop(1).forEach { it.start() }
            fleet.run(10.seconds)
            fleet.instances.map { it.configuration.authorize(request(), fleet.now).getError() }.toSet() shouldBe
                setOf(AuthorizationFailure.KeyWithdrawn)
        }
    }

    describe("a restart") {
        it("of one instance completes within 1 s, with the log up or down") {
            for (isLogUp in listOf(true, false)) {
                val fleet = servingFleet(seed = 12)
                fleet.log.isUp = isLogUp
                fleet.run(10.seconds)
                fleet.instances[5].crash()
                fleet.run(200.milliseconds)
                fleet.instances[5].start()
                fleet.runUntil(5.seconds) { fleet.instances[5].isServing }.shouldNotBeNull() shouldBeLessThanOrEqualTo 1.seconds
            }
        }

        it("of all instances except one at the same time completes within 2 s, with the log up or down") {
            for (isLogUp in listOf(true, false)) {
                val fleet = servingFleet(seed = 13)
                fleet.log.isUp = isLogUp
                fleet.run(10.seconds)
                fleet.instances.drop(1).forEach { it.crash() }
                fleet.run(500.milliseconds)
                fleet.instances.drop(1).forEach { it.start() }
                fleet.runUntil(10.seconds) { fleet.instances.all { it.isServing } }.shouldNotBeNull() shouldBeLessThanOrEqualTo 2.seconds
            }
        }
    }

    describe("log retention") {
        val timing = ConfigurationTiming(snapshotInterval = 20.seconds, firstSnapshotDelay = 5.seconds)

        it("never drops the last snapshot before the next is appended, so a new fleet can restore the state from the log") {
            val fleet = servingFleet(seed = 14, timing = timing)
            val tails = ArrayDeque<Int>()
            repeat(150) {
                fleet.run(2.seconds)
                tails.addLast(fleet.log.tail)
                if (tails.size > RETENTION_ROUNDS) fleet.log.dropBefore(tails.removeFirst())
            }
            fleet.instances.forEach { it.crash() }
            fleet.run(30.seconds)
            fleet.startAll()
            fleet.runUntil(10.seconds) { fleet.instances.all { it.isServing } }.shouldNotBeNull()
            fleet.instances.map { it.configuration.effective.keys.size }.toSet() shouldBe setOf(10)
            fleet.log.firstKept shouldBeGreaterThan deploymentRecords(10).size
        }

        it("leaves the same state on every instance when changes are concurrent with a snapshot") {
            val fleet = servingFleet(seed = 15, timing = timing)
            fleet.faults = Faults(longDelay = 0.5)
            repeat(40) { round ->
                fleet.log.append(WithdrawKey(keyDigestOf("other-$round")))
                fleet.run(1.seconds)
            }
            fleet.faults = Faults()
            fleet.run(20.seconds)
            fleet.log.dropBefore(fleet.log.tail - 45)
            fleet.instances[0].crash()
            fleet.instances[0].start()
            fleet.run(5.seconds)
            fleet.instances.map { it.configuration.effective }.toSet() shouldBe setOf(fleet.log.configuration)
        }
    }
})

/** How long the log keeps a record, in rounds of 2 s. */
private const val RETENTION_ROUNDS = 45
