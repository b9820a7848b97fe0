package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val TOLERANCE = 1e-9

private fun at(millis: Int) = MonotonicTime.ZERO + millis.milliseconds

class TargetLoadSpec : DescribeSpec({
    describe("the load that peers report") {
        it("counts until it expires, each peer with its newest report") {
            val load = TargetLoad()
            load.add(1.0)
            load.recordPeerLoad(InstanceId("i-1"), 4.0, at(900))
            load.recordPeerLoad(InstanceId("i-2"), 2.0, at(500))
            load.recordPeerLoad(InstanceId("i-1"), 3.0, at(1_200))
            load.total(at(400)) shouldBe 6.0
            load.total(at(500)) shouldBe 4.0
            load.total(at(1_200)) shouldBe 1.0
        }

        it("is the sum of the reports that have not expired, in any order of reports and questions") {
            val random = Random(1)
            val load = TargetLoad()
            val reports = HashMap<Int, Pair<Double, Int>>()
            repeat(2_000) { step ->
                val peer = random.nextInt(20)
                val report = random.nextDouble(9.0) to step + random.nextInt(1, 60)
                reports[peer] = report
                load.recordPeerLoad(InstanceId("i-$peer"), report.first, at(report.second))
                if (random.nextBoolean()) {
                    val expected = reports.values.filter { it.second > step }.sumOf { it.first }
                    load.total(at(step)) shouldBe (expected plusOrMinus TOLERANCE)
                }
            }
        }
    }
})
